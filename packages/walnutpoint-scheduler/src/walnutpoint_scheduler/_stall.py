"""How long a run may make no progress before it is restarted elsewhere."""

from __future__ import annotations

import typing

from walnutpoint_scheduler import _remaining
from walnutpoint_scheduler import _run

__all__ = (
    'STALLS_BLAMED_ON_WORKER',
    'last_progress_s',
    'limit_s',
)

# Share of its estimate that a task may make no progress for: progress is
# reported in hundredths, and each takes long on a slow worker.
_ESTIMATE_SHARE: typing.Final = 0.75
# Reports come up to 0.5 s apart, so that a shorter limit makes no difference.
_LIMIT_MIN_S: typing.Final = 0.45
# Filling tasks may get little processor time for seconds.
_FILLING_FACTOR: typing.Final = 4.0
# The first members of a gang wait for the others to start.
_GANG_START_FACTOR: typing.Final = 4.0
# Stalls of a task that count as the fault of its workers: one worker in seven
# may be faulty, but hardly three in a row. Later stalls are the task's own,
# and its limit grows each time.
STALLS_BLAMED_ON_WORKER: typing.Final = 2
_BACKOFF_FACTOR: typing.Final = 4.0
_BACKOFF_STEPS_MAX: typing.Final = 6


def limit_s(run: _run.Run, stall_s: float) -> float:
    """Return how long a run may report the same progress.

    A worker that accepts tasks without executing them delays each by this
    time, and gets more tasks until the first is detected.
    """
    task = run.task
    if task is None:
        return stall_s
    step = task.step.step
    limit = stall_s
    if not task.checkpoint:
        # A task that resumes makes no progress while it restores its state.
        estimate_share_s = _remaining.expected_s(run, task) * _ESTIMATE_SHARE
        limit = min(stall_s, max(_LIMIT_MIN_S, estimate_share_s))
    if step.fills:
        limit = stall_s * _FILLING_FACTOR
    if step.gang and run.progress_percent <= 0.0:
        limit = stall_s * _GANG_START_FACTOR
    backoff_steps = max(0, task.stalls - STALLS_BLAMED_ON_WORKER + 1)
    return limit * _BACKOFF_FACTOR ** min(backoff_steps, _BACKOFF_STEPS_MAX)


def last_progress_s(run: _run.Run) -> float:
    """Return when a run, or the gang that it waits for, last progressed.

    Members end together: one that is done reports the same progress until the
    last is. One that is behind another is not waiting.
    """
    if run.task is None or not run.task.step.step.gang:
        return run.progress_changed_s
    members = [other for task in run.task.step.tasks for other in task.runs]
    if any(other.progress_percent > run.progress_percent for other in members):
        return run.progress_changed_s
    return max(
        (other.progress_changed_s for other in members),
        default=run.progress_changed_s,
    )
