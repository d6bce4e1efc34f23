"""Policy of services: instances spread over failure domains."""

from __future__ import annotations

import collections
import typing

from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry import tasks

__all__ = ('ServicePolicy',)

# While a failure domain is down, an instance does not wait longer for it but
# runs in any domain.
_SPREAD_WAIT_S: typing.Final = 10.0


class ServicePolicy:
    """Keep the declared number of instances running."""

    __slots__ = ()

    def plan(self, job: _model.Job, context: _policy.Context) -> _policy.Plan:
        """Start missing instances and stop those beyond the count."""
        instance_count = job.item.tasks_count
        stops = tuple(
            _policy.PlannedStop(task, tasks.StopMode.STOP, 'scaled_down')
            for task in job.in_phase(_model.Phase.HELD, _model.Phase.RUNNING)
            if task.index >= instance_count
        )
        ready = [
            task
            for task in job.in_phase(_model.Phase.READY)
            if task.index < instance_count
        ]
        due = [task for task in ready if task.not_before_s <= context.now_s]
        if job.not_before_s > context.now_s:
            # A start was just refused, and would be again.
            due = []
        starts = []
        for task in sorted(due, key=lambda task: task.index):
            start = self._planned_start(job, task, context)
            if start is not None:
                starts.append(start)
        reason = ''
        if ready and not starts:
            reason = 'quota' if due else 'backoff'
        if job.item.item.spread_over > 1:
            # The domain of a start in flight is unknown: it may fill the one
            # that the next start would choose.
            starting = job.count(_model.Phase.STARTING)
            starts = [] if starting else starts[:1]
        return _policy.Plan(
            starts=tuple(starts[: context.starts_max]),
            stops=stops,
            reason=reason,
        )

    def on_attempt_end(
        self,
        job: _model.Job,
        task: _model.Task,
        state: tasks.TaskState,
        now_s: float,
    ) -> None:
        """Restart an instance with exponential backoff."""
        restart = job.item.item.restart
        if state in (tasks.TaskState.FAILED, tasks.TaskState.FINISHED):
            if now_s - task.started_s > restart.backoff_max_s:
                task.failures = 0
            wait_s = restart.backoff_s * 2.0 ** min(task.failures, 32)
            task.failures += 1
            task.not_before_s = now_s + min(wait_s, restart.backoff_max_s)
        job.move(task, _model.Phase.READY, now_s)

    def _planned_start(
        self, job: _model.Job, task: _model.Task, context: _policy.Context
    ) -> _policy.PlannedStart | None:
        avoid = self._full_domains(job, task, context.now_s)
        if task.index < context.entitled:
            return _policy.PlannedStart(
                task, _policy.Rank.SERVICE, tasks.TaskClass.SERVICE, avoid
            )
        if context.may_borrow:
            return _policy.PlannedStart(
                task, _policy.Rank.BORROWED, tasks.TaskClass.BATCH, avoid
            )
        return None

    @staticmethod
    def _full_domains(
        job: _model.Job, task: _model.Task, now_s: float
    ) -> frozenset[str]:
        spread_over = job.item.item.spread_over
        due_s = max(task.waiting_since_s, task.not_before_s)
        if spread_over == 1 or now_s - due_s > _SPREAD_WAIT_S:
            return frozenset()
        each = -(-job.item.tasks_count // spread_over)
        running = collections.Counter(
            other.domain
            for other in job.in_phase(_model.Phase.RUNNING)
            if other.index < job.item.tasks_count
        )
        return frozenset(
            domain for domain, count in running.items() if count >= each
        )
