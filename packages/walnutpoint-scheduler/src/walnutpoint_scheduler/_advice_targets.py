"""Selects the workers to request advice about."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import document

__all__ = (
    'batches',
    'select',
    'tasks_that_fit',
)

# The most workers that one request may name, a limit of the service.
TARGETS_MAX: typing.Final = 100
# Named even if fewer would do, as some fail or fill up meanwhile; within the
# 30 per step that the objective of a job allows for.
_TARGETS_MIN: typing.Final = 24
# Named if too few have capacity: the step waits anyway, and may start sooner
# with more workers granted.
WAITING_TARGETS_MAX: typing.Final = 50
# Requested over needed capacity: the granted share is estimated from few
# answers, and other steps take capacity until the answer arrives.
_CAPACITY_MARGIN: typing.Final = 1.5
# Returns how many more tasks of a step fit on a worker now.
TaskCapacity = collections.abc.Callable[[_worker.WorkerState], int]


def select(
    candidates: collections.abc.Iterable[_worker.WorkerState],
    task_capacity: TaskCapacity,
    task_count: int,
    granted_share: float,
    targets_max: int = TARGETS_MAX,
    *,
    only_with_capacity: bool = False,
) -> list[str]:
    """Return the likely workers for some tasks, those with capacity first.

    Candidates come freest first and are scanned only until there are enough.
    Each name adds to the time of the answer, and all steps share the queue of
    the service.
    """
    targets: list[str] = []
    full: list[str] = []
    wanted = task_count * _CAPACITY_MARGIN
    expected = 0.0
    for worker in candidates:
        is_enough = expected >= wanted
        if len(targets) >= (_TARGETS_MIN if is_enough else targets_max):
            break
        count = task_capacity(worker)
        if count:
            targets.append(worker.worker_id)
            expected += count * granted_share
        elif len(full) < WAITING_TARGETS_MAX:
            full.append(worker.worker_id)
    if not only_with_capacity:
        min_count = _TARGETS_MIN if expected >= wanted else WAITING_TARGETS_MAX
        targets += full[: max(0, min_count - len(targets))]
    return targets


def batches(targets: collections.abc.Sequence[str]) -> list[tuple[str, ...]]:
    """Split names into as few requests as possible, evenly."""
    count = -(-len(targets) // TARGETS_MAX)
    return [tuple(targets[index::count]) for index in range(count)]


def tasks_that_fit(free: resources.Resources, step: document.Step) -> int:
    """Return how many tasks of a step fit in some free capacity."""
    count = free.fit_count(step.need)
    return min(count, step.per_worker_max or count)
