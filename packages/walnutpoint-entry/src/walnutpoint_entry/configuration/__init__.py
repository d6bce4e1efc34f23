"""The operators' configuration as this process applies it."""

from __future__ import annotations

from walnutpoint_entry.configuration import _capacity
from walnutpoint_entry.configuration import _ports
from walnutpoint_entry.configuration import _service

__all__ = (
    'CapacityView',
    'ConfigurationListener',
    'ConfigurationService',
    'ConfigurationStatus',
    'FOLLOW_PERIOD_S',
    'ListedCapacity',
)

CapacityView = _ports.CapacityView
ConfigurationListener = _ports.ConfigurationListener
ConfigurationService = _service.ConfigurationService
ConfigurationStatus = _service.ConfigurationStatus
FOLLOW_PERIOD_S = _service.FOLLOW_PERIOD_S
ListedCapacity = _capacity.ListedCapacity
