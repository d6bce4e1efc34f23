"""What waiting jobs demand of a pool, and which are served in an overload."""

from __future__ import annotations

from walnutpoint_scheduler.overload import _demand
from walnutpoint_scheduler.overload import _leaving
from walnutpoint_scheduler.overload import _overload
from walnutpoint_scheduler.overload import _served_set
from walnutpoint_scheduler.overload import _size_classes
from walnutpoint_scheduler.overload import _standing

__all__ = (
    'JobDemand',
    'Leaving',
    'Overload',
    'Place',
    'Selection',
    'ShareLevels',
    'SizeClasses',
    'Standing',
    'demand_of',
    'select',
    'standings',
)

JobDemand = _demand.JobDemand
Leaving = _leaving.Leaving
Overload = _overload.Overload
Place = _standing.Place
Selection = _served_set.Selection
ShareLevels = _leaving.ShareLevels
SizeClasses = _size_classes.SizeClasses
Standing = _standing.Standing
demand_of = _demand.demand_of
select = _served_set.select
standings = _standing.standings
