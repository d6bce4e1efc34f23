"""The choice of batch tasks that make room for urgent requests."""

from __future__ import annotations

import collections.abc

from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _model

__all__ = (
    'holds',
    'victims',
)


def holds(
    entries: collections.abc.Iterable[_entry.Entry],
) -> tuple[_entry.Entry, ...]:
    """Return the batch tasks that hold room and have not started."""
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

    They lose least when they cannot checkpoint. Attempts that already make
    room are counted, so that a repeated call stops nothing more.
    """
    batch = [
        entry
        for entry in entries
        if entry.note.task_class is _model.TaskClass.BATCH
    ]
    leaving = sum(entry.stop_mode is not None for entry in batch)
    running = [
        entry
        for entry in batch
        if entry.phase is _entry.Phase.RUNNING and entry.stop_mode is None
    ]
    running.sort(key=lambda entry: entry.begun_s, reverse=True)
    return tuple(running[: max(0, count - leaving)])
