"""The surface of operators."""

from __future__ import annotations

from walnutpoint_entry.operators._app import OperatorSurface
from walnutpoint_entry.operators._views import EndpointRow
from walnutpoint_entry.operators._views import EndpointsView
from walnutpoint_entry.operators._views import ExplainView
from walnutpoint_entry.operators._views import OperatorHandler
from walnutpoint_entry.operators._views import OwnerRow
from walnutpoint_entry.operators._views import OwnersView
from walnutpoint_entry.operators._views import StatusView

__all__ = (
    'EndpointRow',
    'EndpointsView',
    'ExplainView',
    'OperatorHandler',
    'OperatorSurface',
    'OwnerRow',
    'OwnersView',
    'StatusView',
)
