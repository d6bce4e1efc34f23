"""What waiting jobs demand of a pool, and which are served in an overload."""

from __future__ import annotations

from walnutpoint_scheduler.overload import _demand

__all__ = (
    'JobDemand',
    'demand_of',
)

JobDemand = _demand.JobDemand
demand_of = _demand.demand_of
