"""Expected run times of tasks and relative speeds of workers."""

from __future__ import annotations

from walnutpoint_scheduler.estimates import _declared
from walnutpoint_scheduler.estimates import _disturbance
from walnutpoint_scheduler.estimates import _observed
from walnutpoint_scheduler.estimates import _run_times

__all__ = (
    'DeclaredRunTimes',
    'ObservedRunTimes',
    'RunTimes',
    'probability_disturbed',
)

DeclaredRunTimes = _declared.DeclaredRunTimes
ObservedRunTimes = _observed.ObservedRunTimes
RunTimes = _run_times.RunTimes
probability_disturbed = _disturbance.probability
