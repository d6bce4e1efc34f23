"""The steps that are ready to start, in placement order."""

from __future__ import annotations

import collections.abc
import heapq
import math
import typing

from walnutpoint_core import slices
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _wait_cause

__all__ = ('ReadySteps',)

_MS_PER_S: typing.Final = 1000.0
# The most steps of one job, and of all jobs, that a pass tries to place.
_JOB_STEPS_MAX: typing.Final = 128
_PASS_STEPS_MAX: typing.Final = 2000
# The least number of steps of a job, and of a pool and account, among them.
_GROUP_STEPS_MIN: typing.Final = 16
# Waiting tasks, for each of these steps, up to which further due occurrences
# of a job are created.
_CREATED_TASKS_FACTOR: typing.Final = 2
# Steps that are read before other work of the process goes on.
_SLICE_STEPS: typing.Final = 2000
# Causes that do not indicate a lack of worker capacity.
_NOT_CAPACITY_CAUSES: typing.Final = frozenset(
    {_wait_cause.Cause.DENIED.value, _wait_cause.Cause.ACCOUNT_LIMIT.value}
)


class ReadySteps:
    """Finds the ready steps among the open jobs of a term."""

    __slots__ = ('_context', '_job_steps_max')

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        # The most steps of one job in this pass.
        self._job_steps_max = _JOB_STEPS_MAX

    async def queued_steps(self) -> list[_placement_order.QueuedStep]:
        """Return the steps to place in this pass, in placement order.

        Where too many are ready, those that rank first in their pool and
        account, and those that have waited longest.
        """
        context = self._context
        now_ms = context.now_ms()
        await self._compute_overload()
        queued_steps: list[_placement_order.QueuedStep] = []
        jobs = list(context.open_jobs.values())
        recurring = sum(bool(job.document.occurrence_count) for job in jobs)
        self._job_steps_max = max(
            _GROUP_STEPS_MIN,
            min(_JOB_STEPS_MAX, _PASS_STEPS_MAX // max(1, recurring)),
        )
        async for job in slices.sliced(jobs, _SLICE_STEPS, _step_count):
            queued_steps += self._queued_in_job(job, now_ms)
        if len(queued_steps) > _PASS_STEPS_MAX:
            queued_steps = self._first_in_groups(queued_steps)
        # Jobs may have ended since they were read.
        queued_steps = [
            queued for queued in queued_steps if _is_startable(queued.step)
        ]
        queued_steps.sort(key=lambda queued: queued.rank)
        return queued_steps

    def _queued_in_job(
        self, job: _state.JobProgress, now_ms: float
    ) -> collections.abc.Iterator[_placement_order.QueuedStep]:
        """Yield the ready steps of a job with their ranks."""
        context = self._context
        policies = context.settings.policies
        if job.state.final:
            return
        if not job.may_have_ready_steps and not job.document.occurrence_count:
            return
        queue = context.queue_of(job)
        standing = context.overload.standing(job.document.job_id)
        job.may_have_ready_steps = False
        for step in self._ready_in_job(job, now_ms):
            job.may_have_ready_steps = True
            rank = _placement_order.rank(
                queue,
                step,
                now_ms,
                policies.late_tiers,
                policies.owed_first,
                standing,
            )
            yield _placement_order.QueuedStep(rank, queue, step)

    def _first_in_groups(
        self, queued_steps: list[_placement_order.QueuedStep]
    ) -> list[_placement_order.QueuedStep]:
        """Return an equal number of steps of each pool and account.

        Many steps that can't start would otherwise keep those of other pools
        and accounts out of each pass.
        """
        groups: dict[tuple[str, str], list[_placement_order.QueuedStep]] = {}
        for queued in queued_steps:
            account = queued.step.job.document.account
            groups.setdefault((queued.queue.pool, account), []).append(queued)
        count = max(_GROUP_STEPS_MIN, _PASS_STEPS_MAX // len(groups))
        chosen: dict[str, _placement_order.QueuedStep] = {}
        for group in groups.values():
            first = heapq.nsmallest(count, group, key=lambda each: each.rank)
            longest_idle = heapq.nsmallest(
                _GROUP_STEPS_MIN, group, key=_idle_since_s
            )
            for queued in (*first, *longest_idle):
                chosen[queued.step.key] = queued
        return list(chosen.values())

    async def _compute_overload(self) -> None:
        """Compute which jobs are served, if that is due."""
        context = self._context
        policies = context.settings.policies
        now_s = context.timer.now_s()
        if policies.served_set and context.overload.is_due(now_s):
            await context.overload.compute(context)

    def promoted(
        self,
        queued_steps: collections.abc.Sequence[_placement_order.QueuedStep],
        may_start: collections.abc.Callable[
            [_placement_order.QueuedStep], bool
        ],
    ) -> list[_placement_order.QueuedStep]:
        """Return the overdue steps to place first, one per pool."""
        context = self._context
        if not context.settings.policies.promotion:
            return []
        now_s = context.timer.now_s()
        return _placement_order.promote(
            queued_steps, now_s - context.settings.patience_s, may_start
        )

    def longest_wait_s(
        self,
        queued_steps: collections.abc.Iterable[_placement_order.QueuedStep],
    ) -> float:
        """Return the longest current wait for worker capacity."""
        now_s = self._context.timer.now_s()
        return max(
            (
                now_s - queued.step.idle_since_s
                for queued in queued_steps
                if queued.step.idle_since_s is not None
                and queued.step.wait_cause not in _NOT_CAPACITY_CAUSES
            ),
            default=0.0,
        )

    def _ready_in_job(
        self, job: _state.JobProgress, now_ms: float
    ) -> list[_state.StepProgress]:
        """Return the ready steps of a job with waiting tasks.

        Due occurrences are created in order and only as they are needed: a
        job may have any number of them.
        """
        steps = [
            step
            for occurrence in job.occurrences.values()
            for step in _waiting_in(occurrence)
        ]
        task_count = sum(len(step.tasks) for step in steps)
        early_ms = self._context.settings.early_s * _MS_PER_S
        due_count = job.due_count(now_ms, early_ms)
        created_tasks_max = self._job_steps_max * _CREATED_TASKS_FACTOR
        while task_count < created_tasks_max:
            occurrence = job.create_next(due_count)
            if occurrence is None:
                break
            created = _waiting_in(occurrence)
            task_count += sum(len(step.tasks) for step in created)
            steps += created
        if len(steps) > self._job_steps_max:
            steps = self._some_of(job, steps)
        now_s = self._context.timer.now_s()
        for step in steps:
            if step.ready_s is None:
                step.ready_s = now_s
        return steps

    def _some_of(
        self, job: _state.JobProgress, steps: list[_state.StepProgress]
    ) -> list[_state.StepProgress]:
        """Return the first steps of a job, and others in turn.

        If the first ones can't start, some other may.
        """
        first_count = self._job_steps_max // 2
        turn_count = self._job_steps_max - first_count
        first, others = steps[:first_count], steps[first_count:]
        offset = job.next_step_offset % len(others)
        job.next_step_offset = offset + turn_count
        return first + (others[offset:] + others[:offset])[:turn_count]


def _step_count(job: _state.JobProgress) -> int:
    """Return how many steps are read for a job."""
    return len(job.document.steps) * len(job.occurrences)


def _waiting_in(
    occurrence: _state.Occurrence,
) -> list[_state.StepProgress]:
    """Return the ready steps of an occurrence with waiting tasks."""
    return [step for step in occurrence.ready.values() if step.has_waiting]


def _is_startable(step: _state.StepProgress) -> bool:
    """Return whether a task of a step may still start."""
    return not step.job.state.final and not step.done and step.has_waiting


def _idle_since_s(queued: _placement_order.QueuedStep) -> float:
    """Return since when a step is idle; infinite if a task of it runs."""
    since_s = queued.step.idle_since_s
    return math.inf if since_s is None else since_s
