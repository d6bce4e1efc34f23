"""Expected run times of tasks and relative speeds of workers."""

from __future__ import annotations

from walnutpoint_scheduler.estimates import _declared
from walnutpoint_scheduler.estimates import _disturbance
from walnutpoint_scheduler.estimates import _observed
from walnutpoint_scheduler.estimates import _run_times
from walnutpoint_scheduler.estimates import _snapshot

__all__ = (
    'DeclaredRunTimes',
    'ObservedRunTimes',
    'RunTimes',
    'UnreadableError',
    'encode_snapshot',
    'encode_snapshot_within',
    'probability_disturbed',
)

DeclaredRunTimes = _declared.DeclaredRunTimes
ObservedRunTimes = _observed.ObservedRunTimes
RunTimes = _run_times.RunTimes
UnreadableError = _snapshot.UnreadableError
encode_snapshot = _snapshot.encode
encode_snapshot_within = _snapshot.encode_within
probability_disturbed = _disturbance.probability
