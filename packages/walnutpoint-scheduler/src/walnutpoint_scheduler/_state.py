"""Jobs, their steps and tasks, and the runs of tasks in one term."""

from __future__ import annotations

import collections.abc
import enum
import typing

from walnutpoint_scheduler import _backoff
from walnutpoint_scheduler import _crash_odds
from walnutpoint_scheduler import _number_ranges
from walnutpoint_scheduler import _occurrence
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports

__all__ = (
    'JobProgress',
    'JobState',
    'StepProgress',
    'TaskProgress',
    'TaskState',
)

Occurrence = _occurrence.Occurrence

_MS_PER_S: typing.Final = 1000.0
# Callers of urgent jobs wait some 3 s in total.
_START_BACKOFF_MAX_S: typing.Final = 1.0
# Limits how often the same fault logs a traceback.
_FAULT_BACKOFF_MAX_S: typing.Final = 60.0


class JobState(enum.Enum):
    """State of a job as shown to its caller."""

    QUEUED = 'queued'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def final(self) -> bool:
        """Return whether no task of the job will start again."""
        return self in _FINAL


_FINAL: typing.Final = frozenset(
    {JobState.DONE, JobState.FAILED, JobState.CANCELLED}
)


class TaskState(enum.Enum):
    """Placement state of a task."""

    WAITING = 0
    ACTIVE = 1
    DONE = 2


class TaskProgress:
    """One task: its state, attempts, runs and failures."""

    __slots__ = (
        'attempt',
        'backoff',
        'checkpoint',
        'copy',
        'failures',
        'index',
        'losses',
        'run',
        'stalls',
        'state',
        'step',
        'waiting_since_s',
    )

    def __init__(self, step: StepProgress, index: int) -> None:
        self.step = step
        self.index = index
        self.state = TaskState.WAITING
        # The highest attempt planned so far; numbers are never reused.
        self.attempt = 0
        self.failures = 0
        self.checkpoint = ''
        self.run: _run.Run | None = None
        # A concurrent speculative run, where the step allows one.
        self.copy: _run.Run | None = None
        self.waiting_since_s = 0.0
        # The workers lost while this task may have run there.
        self.losses: list[_crash_odds.Loss] = []
        # Delays starts after failed starts, or losses of a suspect.
        self.backoff = _backoff.Backoff(_START_BACKOFF_MAX_S)
        # How often it was stopped for lack of progress.
        self.stalls = 0

    def back_off(self, now_s: float, max_delay_s: float | None = None) -> None:
        """Delay the next start after a failed one."""
        self.step.may_be_held = True
        self.backoff.record_failure(now_s, max_delay_s)

    def set_losses(self, losses: list[_crash_odds.Loss]) -> None:
        """Replace the losses weighed against this task."""
        self.step.may_be_held = self.step.may_be_held or bool(losses)
        self.losses = losses

    @property
    def is_suspect(self) -> bool:
        """Return whether the task must run isolated from others."""
        return _crash_odds.is_suspect(self.losses)

    @property
    def name(self) -> ports.TaskName:
        """Return the task's identity."""
        step = self.step
        return ports.TaskName(
            step.job.document.job_id, step.occurrence, step.number, self.index
        )

    @property
    def runs(self) -> tuple[_run.Run, ...]:
        """Return the runs that have not ended."""
        return tuple(run for run in (self.run, self.copy) if run is not None)


class StepProgress:
    """One step of one occurrence of a job."""

    __slots__ = (
        'advice_not_before_s',
        'done_count',
        'failed_attempt',
        'fault_backoff',
        'job',
        'key',
        'last_placed_s',
        'may_be_held',
        'number',
        'occurrence',
        'ready_s',
        'step',
        'tasks',
        'wait_cause',
    )

    def __init__(
        self,
        job: JobProgress,
        occurrence: int,
        number: int,
        step: document.Step,
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.key = f'{job.document.job_id}.{occurrence}.{number}'
        self.step = step
        self.tasks = [TaskProgress(self, i) for i in range(step.task_count)]
        self.done_count = 0
        # The newest gang attempt counted as failed.
        self.failed_attempt = 0
        # Whether any task ever backed off or lost a worker.
        self.may_be_held = False
        # Delays placement after unexpected faults at this step.
        self.fault_backoff = _backoff.Backoff(_FAULT_BACKOFF_MAX_S)
        # When its dependencies were first seen to be done.
        self.ready_s: float | None = None
        self.last_placed_s: float | None = None
        # Earliest time of the next advice request.
        self.advice_not_before_s = 0.0
        # The cause of its wait as last logged.
        self.wait_cause = ''

    @property
    def idle_since_s(self) -> float | None:
        """Return since when no task of the step runs, or None if one does.

        Approximates the time of the last end by that of the last placement.
        """
        if any(task.run is not None for task in self.tasks):
            return None
        return (
            self.ready_s if self.last_placed_s is None else self.last_placed_s
        )

    @property
    def done(self) -> bool:
        """Return whether every task is done."""
        return self.done_count >= len(self.tasks)

    @property
    def has_waiting(self) -> bool:
        """Return whether a task may be placed."""
        return any(t.state is TaskState.WAITING for t in self.tasks)

    def waiting(self) -> list[TaskProgress]:
        """Return the tasks that may be placed."""
        return [t for t in self.tasks if t.state is TaskState.WAITING]

    def finish(self, task: TaskProgress) -> bool:
        """Mark a task done, and return whether it was not yet."""
        if task.state is TaskState.DONE:
            return False
        task.state = TaskState.DONE
        self.done_count += 1
        if self.done:
            self.job.finish_step(self)
        return True


class JobProgress:
    """State of one job within a scheduler term."""

    __slots__ = (
        '_next_number',
        '_successors',
        'account',
        'begun',
        'cancel_requested',
        'chain_ms',
        'changes',
        'document',
        'done_occurrences',
        'is_document_dropped',
        'is_owed',
        'may_have_ready_steps',
        'next_step_offset',
        'notes',
        'occurrences',
        'queue',
        'reason',
        'record_revision',
        'remaining_by_step_ms',
        'run_count',
        'saved_changes',
        'saved_state',
        'seen_s',
        'state',
    )

    def __init__(
        self, job: document.Job, queue: cell.Queue, seen_s: float
    ) -> None:
        self.document = job
        self.queue = queue
        # Its client account as last configured.
        self.account: accounts.Account | None = None
        # Whether it was accepted within its account's rate.
        self.is_owed = True
        self.seen_s = seen_s
        self.chain_ms = document.chain_s(job.steps) * _MS_PER_S
        # Estimated time from the start of each step to the job's end.
        self.remaining_by_step_ms = tuple(
            remaining_s * _MS_PER_S
            for remaining_s in document.remaining_by_step_s(job.steps)
        )
        # Whether a step may have become ready since the last pass.
        self.may_have_ready_steps = True
        # Index of the ready step to go on with, if a pass can't try all.
        self.next_step_offset = 0
        self.state = JobState.QUEUED
        # Failure reason for the caller; empty if attempts ran out.
        self.reason = ''
        self.cancel_requested = False
        # Whether a worker has accepted, run or ended a task of it.
        self.begun = False
        # How many runs are booked, from the plan to the end.
        self.run_count = 0
        # Whether a final marker has replaced the stored document.
        self.is_document_dropped = False
        # The open ones: created, and not yet dropped as done.
        self.occurrences: dict[int, Occurrence] = {}
        self.done_occurrences = _number_ranges.NumberRanges()
        # No lower one is left to create.
        self._next_number = 0
        self._successors = _occurrence.successors_of(job.steps)
        # Store revision of the record; zero where there is none.
        self.record_revision = 0
        self.changes = 0
        self.saved_changes = 0
        # The last stored state, the only one shown to callers; None for a
        # job that nobody has submitted.
        self.saved_state: str | None = JobState.QUEUED.value
        self.notes = ''

    @property
    def is_under_way(self) -> bool:
        """Return whether a task has begun, or its start is on the way."""
        return self.begun or self.run_count > 0

    @property
    def size(self) -> int:
        """Return a measure of the work to read its open occurrences."""
        return 1 + self.document.size * len(self.occurrences)

    def occurrence(self, number: int) -> tuple[StepProgress, ...]:
        """Return the steps of an occurrence, created on first use."""
        occurrence = self.occurrences.get(number)
        if occurrence is None:
            steps = tuple(
                StepProgress(self, number, index, step)
                for index, step in enumerate(self.document.steps)
            )
            occurrence = _occurrence.Occurrence(steps, self._successors)
            self.occurrences[number] = occurrence
        return occurrence.steps

    @property
    def occurrence_count(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.document.occurrence_count)

    def due_count(self, now_ms: float, early_ms: float) -> int:
        """Return how many occurrences may start at a time of day."""
        if not self.document.occurrence_count:
            return 1
        first, interval = self.document.first_due_ms, self.document.interval_ms
        if now_ms + early_ms < first:
            return 0
        if interval <= 0:
            return self.occurrence_count
        count = int((now_ms + early_ms - first) // interval) + 1
        return min(count, self.occurrence_count)

    def create_next(self, due_count: int) -> Occurrence | None:
        """Create the first due occurrence that is neither open nor done."""
        number = self._next_number
        while number < due_count:
            if number in self.occurrences:
                number += 1
                continue
            absent = self.done_occurrences.next_absent(number)
            if absent == number:
                break
            number = absent
        self._next_number = number
        if number >= due_count:
            return None
        self._next_number += 1
        self.occurrence(number)
        return self.occurrences[number]

    def finish_step(self, step: StepProgress) -> None:
        """Update the occurrence of a step that is done."""
        occurrence = self.occurrences[step.occurrence]
        occurrence.finish_step(step.number)
        if occurrence.done:
            self.done_occurrences.add(step.occurrence, step.occurrence + 1)

    def drop_if_over(self, number: int) -> tuple[StepProgress, ...]:
        """Drop a done occurrence without runs, and return its steps."""
        occurrence = self.occurrences.get(number)
        if (
            occurrence is None
            or not self.document.occurrence_count
            or not occurrence.done
            or occurrence.has_runs
        ):
            return ()
        del self.occurrences[number]
        return occurrence.steps

    def steps(self) -> collections.abc.Iterator[StepProgress]:
        """Return every step of every open occurrence."""
        for occurrence in self.occurrences.values():
            yield from occurrence.steps

    def runs(self) -> list[_run.Run]:
        """Return all runs that have not ended."""
        return [
            run
            for step in self.steps()
            for task in step.tasks
            for run in task.runs
        ]

    @property
    def finished(self) -> bool:
        """Return whether every task of every occurrence is done."""
        if self.document.lasting:
            return False
        return self.done_occurrences.count >= self.occurrence_count
