"""Selection of the batch tasks to preempt."""

from __future__ import annotations

import collections.abc

from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _resources

__all__ = (
    'displaceable',
    'held_batch_tasks',
    'stopping_resources',
    'victims',
    'victims_on_worker',
)


def held_batch_tasks(
    entries: collections.abc.Iterable[_entry.Entry],
) -> tuple[_entry.Entry, ...]:
    """Return the batch tasks that are held and have not started."""
    return tuple(
        entry
        for entry in entries
        if entry.phase is _entry.Phase.HELD
        and entry.note.task_class is _model.TaskClass.BATCH
    )


def victims(
    entries: collections.abc.Iterable[_entry.Entry], count: int
) -> tuple[_entry.Entry, ...]:
    """Return the batch tasks to stop: those that were started last.

    They lose the least work without a checkpoint. Attempts that are already
    stopping count, so that a repeated call stops no more.
    """
    batch = [
        entry
        for entry in entries
        if entry.note.task_class is _model.TaskClass.BATCH
    ]
    stopping_count = sum(entry.stop_mode is not None for entry in batch)
    running = [
        entry
        for entry in batch
        if entry.phase is _entry.Phase.RUNNING and entry.stop_mode is None
    ]
    running.sort(key=lambda entry: entry.started_s, reverse=True)
    return tuple(running[: max(0, count - stopping_count)])


def stopping_resources(
    entries: collections.abc.Iterable[_entry.Entry],
) -> _resources.Resources:
    """Return the resources that stopping attempts free for tasks."""
    return sum(
        (
            entry.need
            for entry in entries
            if entry.stop_mode is not None and not entry.is_for_requests
        ),
        start=_resources.Resources(),
    )


def victims_on_worker(
    entries: collections.abc.Collection[_entry.Entry],
    free: _resources.Resources,
    need: _resources.Resources,
) -> tuple[_entry.Entry, ...] | None:
    """Return the batch tasks of a worker to stop, or None if not enough.

    Holds cost nothing and go first, then those started last. Resources that
    stopping attempts will free are counted, whoever stopped them.
    """
    free = free + stopping_resources(entries)
    running = [
        entry
        for entry in displaceable(entries)
        if entry.phase is _entry.Phase.RUNNING
    ]
    running.sort(key=lambda entry: entry.started_s, reverse=True)
    chosen: list[_entry.Entry] = []
    for entry in (*held_batch_tasks(entries), *running):
        if free.covers(need):
            break
        chosen.append(entry)
        free = free + entry.need
    if not free.covers(need):
        return None
    for entry in reversed(chosen):
        # An earlier choice may have become unnecessary.
        if (free - entry.need).covers(need):
            chosen.remove(entry)
            free = free - entry.need
    return tuple(chosen)


def displaceable(
    entries: collections.abc.Iterable[_entry.Entry],
) -> tuple[_entry.Entry, ...]:
    """Return the batch tasks that may be preempted."""
    return tuple(
        entry
        for entry in entries
        if entry.note.task_class is _model.TaskClass.BATCH
        and entry.phase in (_entry.Phase.HELD, _entry.Phase.RUNNING)
        and entry.stop_mode is None
    )
