"""Conversion between a job and its stored progress."""

from __future__ import annotations

import dataclasses
import typing

from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _progress

__all__ = ('Changes', 'durable_state', 'restore', 'to_progress')

_Phase = _model.Phase
_UNSETTLED_PHASES: typing.Final = (_Phase.READY, _Phase.DOUBTFUL)


@dataclasses.dataclass(slots=True)
class Changes:
    """Flags for changes to a shard's progress that are not yet written."""

    has_urgent: bool = False
    has_deferrable: bool = False


def to_progress(job: _model.Job) -> _progress.JobProgress:
    """Return the progress of a job to store."""
    marks = tuple(
        _progress.TaskMark(
            task.index,
            task.counted_attempt,
            task.failures,
            task.preemptions,
            task.checkpoint,
        )
        for task in job.tasks.values()
        if task.phase is not _Phase.DONE
        and (task.failures or task.preemptions or task.checkpoint)
    )
    done = (task.index for task in job.in_phase(_Phase.DONE))
    return _progress.JobProgress(
        job.item.key,
        job.item.created,
        job.accepted_unix_s,
        _progress.to_ranges(done),
        marks,
        job.failures,
    )


def restore(
    job: _model.Job, stored: _progress.JobProgress, now_s: float
) -> None:
    """Merge the stored progress of earlier owners where it is newer."""
    job.accepted_unix_s = min(job.accepted_unix_s, stored.accepted_unix_s)
    job.failures = max(job.failures, stored.failures)
    for index in stored.done_indices():
        task = job.tasks.get(index)
        if task is not None and task.phase in _UNSETTLED_PHASES:
            job.move(task, _Phase.DONE, now_s)
    for mark in stored.marks:
        task = job.tasks.get(mark.index)
        if task is None or task.counted_attempt >= mark.attempt:
            continue
        task.counted_attempt = mark.attempt
        task.attempt = max(task.attempt, mark.attempt)
        task.failures = max(task.failures, mark.failures)
        task.preemptions = max(task.preemptions, mark.preemptions)
        task.checkpoint = mark.checkpoint or task.checkpoint
        if task.phase in _UNSETTLED_PHASES and _has_failed(job, task):
            job.move(task, _Phase.FAILED, now_s)


def durable_state(
    job: _model.Job, task: _model.Task
) -> tuple[bool, bool, int, int, str | None, int] | None:
    """Return the state that a successor can get only from the store."""
    if job.item.kind is _model.JobKind.SERVICE:
        return None
    return (
        task.phase is _Phase.DONE,
        task.phase is _Phase.FAILED,
        task.failures,
        task.preemptions,
        task.checkpoint,
        job.failures,
    )


def _has_failed(job: _model.Job, task: _model.Task) -> bool:
    if job.item.kind is _model.JobKind.GANG:
        declared = job.item.item.on_member_lost
        return declared == 'continue' and task.failures > 0
    return task.failures >= int(job.item.item.max_attempts)
