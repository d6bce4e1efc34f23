"""Policy of gangs: all tasks start together or none does."""

from __future__ import annotations

import typing

from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry import tasks

__all__ = ('GangPolicy',)

_Phase = _model.Phase
_STOPPABLE_PHASES: typing.Final = (_Phase.HELD, _Phase.RUNNING)


class GangPolicy:
    """Reserve capacity for all tasks, and handle lost ones as declared."""

    __slots__ = ()

    def plan(self, job: _model.Job, context: _policy.Context) -> _policy.Plan:
        """Reserve a gang that is ready, and restart one that is partial."""
        if job.is_reserving or job.count(_Phase.DOUBTFUL):
            return _policy.Plan(reason='reserving')
        if job.failures >= job.item.item.max_attempts:
            return self._stop_all(job, 'failed', self._failed(job))
        if job.restarts_all or self._is_partial(job):
            return self._restart(job, context.now_s)
        if job.count(_Phase.READY) == len(job.tasks):
            return self._reserve(job, context)
        if job.occupying_count:
            return _policy.Plan()
        return _policy.Plan(ending=self._make_ending(job))

    def on_attempt_end(
        self,
        job: _model.Job,
        task: _model.Task,
        state: tasks.TaskState,
        now_s: float,
    ) -> None:
        """Handle the end of a member according to on_member_lost."""
        if state is tasks.TaskState.FINISHED:
            job.move(task, _Phase.DONE, now_s)
            return
        # A task can fail before the answer to its start arrives.
        failed_at_once = state is tasks.TaskState.FAILED
        was_running = task.phase is _Phase.RUNNING or failed_at_once
        is_lost = was_running and not task.stop_reason
        if not is_lost:
            job.move(task, _Phase.READY, now_s)
            return
        declared = job.item.item.on_member_lost
        if declared == 'continue':
            task.failures += 1
            job.move(task, _Phase.FAILED, now_s)
            return
        job.move(task, _Phase.READY, now_s)
        if declared == 'fail':
            job.failures = job.item.item.max_attempts
            return
        # Losing a host does not count against max_attempts.
        if state is tasks.TaskState.FAILED and not job.restarts_all:
            job.failures += 1
        job.restarts_all = True

    @staticmethod
    def _is_partial(job: _model.Job) -> bool:
        """Return whether only some tasks run, as after a takeover."""
        waiting = job.count(_Phase.READY, _Phase.HELD)
        return 0 < waiting < len(job.tasks) or job.count(_Phase.HELD) > 0

    def _restart(self, job: _model.Job, now_s: float) -> _policy.Plan:
        plan = self._stop_all(job, 'restarts_all', None)
        if not job.occupying_count:
            for task in job.in_phase(_Phase.DONE, _Phase.FAILED):
                job.move(task, _Phase.READY, now_s)
            job.restarts_all = False
        return plan

    @staticmethod
    def _stop_all(
        job: _model.Job, reason: str, ending: _model.Ending | None
    ) -> _policy.Plan:
        stops = tuple(
            _policy.PlannedStop(task, tasks.StopMode.STOP, reason)
            for task in job.in_phase(*_STOPPABLE_PHASES)
        )
        return _policy.Plan(
            stops=stops,
            ending=None if job.occupying_count else ending,
            reason=reason,
        )

    @staticmethod
    def _reserve(job: _model.Job, context: _policy.Context) -> _policy.Plan:
        if job.not_before_s > context.now_s:
            return _policy.Plan(reason=job.reason or 'backoff')
        if context.entitled >= len(job.tasks):
            return _policy.Plan(reserve=tasks.TaskClass.GANG)
        if context.may_borrow:
            return _policy.Plan(reserve=tasks.TaskClass.BATCH)
        return _policy.Plan(reason='quota')

    @staticmethod
    def _failed(job: _model.Job) -> _model.Ending:
        reason = f'members failed or were lost {job.failures} times'
        return _model.Ending(_model.Outcome.FAILED, reason)

    @staticmethod
    def _make_ending(job: _model.Job) -> _model.Ending:
        lost = job.count(_Phase.FAILED)
        if lost == len(job.tasks):
            return _model.Ending(_model.Outcome.FAILED, 'all members lost')
        reason = f'{lost} members were lost' if lost else 'all tasks are done'
        return _model.Ending(_model.Outcome.DONE, reason)
