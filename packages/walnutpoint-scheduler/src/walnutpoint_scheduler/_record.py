"""The stored record of a job: encoding, decoding and restoring."""

from __future__ import annotations

import typing

import msgspec

from walnutpoint_core import decoding
from walnutpoint_scheduler import _crash_odds
from walnutpoint_scheduler import _state

__all__ = (
    'JobRecord',
    'RunRecord',
    'apply_record',
    'decode_record',
    'encode_record',
    'same_but_for_time',
)


class RunRecord(msgspec.Struct, array_like=True):
    """One run that is not known to have ended."""

    worker_id: str
    attempt: int
    # Time of day of the planning; zero where unknown.
    planned_ms: int = 0
    # Start time of the worker incarnation; zero where unknown.
    born_ms: int = 0


class TaskRecord(msgspec.Struct, array_like=True):
    """One task that has been planned at least once."""

    index: int
    attempt: int
    failures: int
    done: bool
    checkpoint: str
    runs: list[RunRecord]
    losses: list[_crash_odds.Loss] = []


class StepRecord(msgspec.Struct, array_like=True):
    """One step: done, or the state of its planned tasks."""

    occurrence: int
    number: int
    done: bool
    tasks: list[TaskRecord]
    # The newest gang attempt counted as failed.
    failed_attempt: int = 0


class JobRecord(msgspec.Struct, array_like=True):
    """State of a job that must survive the scheduler's term."""

    state: str
    begun: bool
    # Time of day of the write, to remove old records.
    written_ms: int
    steps: list[StepRecord]
    # Why the job failed, for its caller.
    reason: str = ''
    # The owning client account.
    account: str = ''
    # The done occurrences: ranges, each without its end.
    done_occurrences: list[tuple[int, int]] = []


# Steps of done occurrences that a record lists for earlier versions.
_LISTED_DONE_STEPS_MAX: typing.Final = 200
_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final = msgspec.msgpack.Decoder(JobRecord)


def decode_record(value: bytes) -> JobRecord:
    """Decode a record; raise UnreadableError if it is invalid."""
    return decoding.with_decoder(_DECODER, value)


def same_but_for_time(one: bytes, other: bytes) -> bool:
    """Return whether two records differ at most in the time written."""
    if one == other:
        return True
    try:
        first, second = decode_record(one), decode_record(other)
    except decoding.UnreadableError:
        # Written by somebody else.
        return False
    second.written_ms = first.written_ms
    return first == second


def encode_record(job: _state.JobProgress, now_ms: int) -> bytes:
    """Serialize a job's record."""
    steps: list[StepRecord] = []
    done_occurrences: list[tuple[int, int]] = []
    if not job.state.final:
        steps = [
            _step_record(step)
            for occurrence in job.occurrences.values()
            if not occurrence.done
            for step in occurrence.steps
            if _is_changed(step)
        ]
        done_occurrences = list(job.done_occurrences)
        steps += _listed_done_steps(job)
    return _ENCODER.encode(
        JobRecord(
            job.state.value,
            job.begun,
            now_ms,
            steps,
            job.reason,
            job.document.account,
            done_occurrences,
        )
    )


def apply_record(
    job: _state.JobProgress, record: JobRecord, revision: int
) -> list[tuple[_state.TaskProgress, RunRecord]]:
    """Restore a job, and return the runs that may still be running."""
    job.state = _state.JobState(record.state)
    job.saved_state = record.state
    job.begun = record.begun
    job.reason = record.reason
    job.record_revision = revision
    runs: list[tuple[_state.TaskProgress, RunRecord]] = []
    for start, end in record.done_occurrences:
        job.done_occurrences.add(start, end)
    for step_record in record.steps:
        if not 0 <= step_record.occurrence < job.occurrence_count:
            raise IndexError(f'no occurrence {step_record.occurrence}')
        if step_record.occurrence in job.done_occurrences:
            continue
        step = job.occurrence(step_record.occurrence)[step_record.number]
        if step_record.done:
            for task in step.tasks:
                step.finish(task)
            continue
        step.failed_attempt = step_record.failed_attempt
        for saved in step_record.tasks:
            task = step.tasks[saved.index]
            task.attempt = saved.attempt
            task.failures = saved.failures
            task.checkpoint = saved.checkpoint
            task.set_losses(saved.losses)
            if saved.done:
                step.finish(task)
            runs += [(task, run) for run in saved.runs]
    # Earlier versions list done occurrences step by step.
    for number in list(job.occurrences):
        job.drop_if_over(number)
    return runs


def _listed_done_steps(job: _state.JobProgress) -> list[StepRecord]:
    """Return the steps of done occurrences, if they are few.

    Earlier versions know done occurrences only by their steps.
    """
    step_count = len(job.document.steps)
    if job.done_occurrences.count * step_count > _LISTED_DONE_STEPS_MAX:
        return []
    return [
        StepRecord(occurrence, number, True, [])
        for start, end in job.done_occurrences
        for occurrence in range(start, end)
        for number in range(step_count)
    ]


def _is_changed(step: _state.StepProgress) -> bool:
    """Return whether a step differs from one that was just created."""
    return bool(
        step.done_count
        or step.failed_attempt
        or any(task.attempt for task in step.tasks)
    )


def _step_record(step: _state.StepProgress) -> StepRecord:
    if step.done:
        return StepRecord(step.occurrence, step.number, True, [])
    tasks = [
        TaskRecord(
            task.index,
            task.attempt,
            task.failures,
            task.state is _state.TaskState.DONE,
            task.checkpoint,
            [
                RunRecord(
                    run.worker_id,
                    run.name.attempt,
                    run.planned_ms,
                    run.born_ms,
                )
                for run in task.runs
            ],
            task.losses,
        )
        for task in step.tasks
        if task.attempt
    ]
    return StepRecord(
        step.occurrence, step.number, False, tasks, step.failed_attempt
    )
