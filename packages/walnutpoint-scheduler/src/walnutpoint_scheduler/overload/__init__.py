"""What waiting jobs demand of a pool, and which are served in an overload."""

from __future__ import annotations

from walnutpoint_scheduler.overload import _demand
from walnutpoint_scheduler.overload import _overload
from walnutpoint_scheduler.overload import _served_set

__all__ = (
    'JobDemand',
    'Overload',
    'Place',
    'Selection',
    'Standing',
    'demand_of',
    'select',
)

JobDemand = _demand.JobDemand
Overload = _overload.Overload
Place = _overload.Place
Selection = _served_set.Selection
Standing = _overload.Standing
demand_of = _demand.demand_of
select = _served_set.select
