"""The steps that are ready to start, in placement order."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _wait_cause

__all__ = ('ReadySteps',)

_MS_PER_S: typing.Final = 1000.0
# Causes that do not indicate a lack of worker capacity.
_NOT_CAPACITY_CAUSES: typing.Final = frozenset(
    {_wait_cause.Cause.DENIED.value, _wait_cause.Cause.ACCOUNT_LIMIT.value}
)


class ReadySteps:
    """Finds the ready steps among the open jobs of a term."""

    __slots__ = ('_context',)

    def __init__(self, context: _context.Context) -> None:
        self._context = context

    def queued_steps(self) -> list[_placement_order.QueuedStep]:
        """Return every step with startable tasks, in placement order."""
        context = self._context
        now_ms = context.now_ms()
        policies = context.settings.policies
        self._compute_overload()
        queued_steps = []
        for job in context.open_jobs.values():
            queue = context.queue_of(job)
            if (
                not job.may_have_ready_steps
                and not job.document.occurrence_count
            ):
                continue
            job.may_have_ready_steps = False
            standing = context.overload.standing(job.document.job_id)
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
                queued_steps.append(
                    _placement_order.QueuedStep(rank, queue, step)
                )
        queued_steps.sort(key=lambda queued: queued.rank)
        return queued_steps

    def _compute_overload(self) -> None:
        """Compute which jobs are served, if that is due."""
        context = self._context
        policies = context.settings.policies
        now_s = context.timer.now_s()
        if policies.served_set and context.overload.is_due(now_s):
            context.overload.compute(context)

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
    ) -> collections.abc.Iterator[_state.StepProgress]:
        early_ms = self._context.settings.early_s * _MS_PER_S
        for number in job.due_occurrences(now_ms, early_ms):
            steps = job.occurrence(number)
            for step in steps:
                if step.done or not step.waiting():
                    continue
                if all(steps[earlier].done for earlier in step.step.after):
                    if step.ready_s is None:
                        step.ready_s = self._context.timer.now_s()
                    yield step
