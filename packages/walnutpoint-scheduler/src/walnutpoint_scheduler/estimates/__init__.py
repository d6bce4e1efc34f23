"""Expected run times of tasks and relative speeds of workers."""

from __future__ import annotations

from walnutpoint_scheduler.estimates import _declared
from walnutpoint_scheduler.estimates import _run_times

__all__ = (
    'DeclaredRunTimes',
    'RunTimes',
)

DeclaredRunTimes = _declared.DeclaredRunTimes
RunTimes = _run_times.RunTimes
