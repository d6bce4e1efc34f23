"""Policy of batch jobs: they use leftover capacity and can be displaced.

Starvation bound: one task at a time is promoted of each job that is older
than wait_max_s or has a task displaced preemptions_max times. It precedes
other batch work, oldest job first, and runs in a class that displaces batch
tasks and is not displaced. While services, gangs and older jobs leave
capacity for one task, a job of n tasks ends within wait_max_s plus n run
times, regardless of other batch work. Promoting more tasks at a time would
let the old jobs of one team starve those of others.
"""

from __future__ import annotations

import typing

from walnutpoint_core import documents
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry import tasks

__all__ = ('RECLAIMED', 'BatchPolicy')


RECLAIMED: typing.Final = 'reclaimed'


class BatchPolicy:
    """Run each task until it succeeds or has failed max_attempts times."""

    __slots__ = ()

    def plan(self, job: _model.Job, context: _policy.Context) -> _policy.Plan:
        """Start as many tasks as quota and borrowing allow."""
        ended = job.count(_model.Phase.DONE, _model.Phase.FAILED)
        if ended == job.item.tasks_count:
            return _policy.Plan(ending=self._make_ending(job))
        if job.not_before_s > context.now_s:
            return _policy.Plan(reason='backoff')
        occupying = job.in_phase(*_model.OCCUPYING_PHASES)
        entitled = context.entitled - sum(
            not task.is_borrowed for task in occupying
        )
        may_promote = not any(
            task.task_class is tasks.TaskClass.GANG for task in occupying
        )
        starts: list[_policy.PlannedStart] = []
        for task in job.first(_model.Phase.READY, context.starts_max):
            start = None
            if may_promote and self._is_promoted(job, task, context):
                start = _policy.PlannedStart(
                    task, _policy.Rank.PROMOTED, tasks.TaskClass.GANG
                )
                may_promote = False
                entitled -= 1
            elif entitled > 0:
                start = _policy.PlannedStart(
                    task, _policy.Rank.ENTITLED, tasks.TaskClass.BATCH
                )
                entitled -= 1
            elif context.may_borrow:
                start = _policy.PlannedStart(
                    task, _policy.Rank.BORROWED, tasks.TaskClass.BATCH
                )
            if start is None:
                return _policy.Plan(starts=tuple(starts), reason='quota')
            starts.append(start)
        return _policy.Plan(starts=tuple(starts))

    def on_attempt_end(
        self,
        job: _model.Job,
        task: _model.Task,
        state: tasks.TaskState,
        now_s: float,
    ) -> None:
        """Count a failure or displacement, and requeue unless finished."""
        if state is tasks.TaskState.FINISHED:
            job.move(task, _model.Phase.DONE, now_s)
            return
        if state is tasks.TaskState.FAILED:
            task.failures += 1
            # The checkpoint may be what made the task fail.
            task.checkpoint = None
        elif state is tasks.TaskState.STOPPED and _was_displaced(task):
            task.preemptions += 1
        phase = _model.Phase.READY
        if task.failures >= job.item.item.max_attempts:
            phase = _model.Phase.FAILED
        job.move(task, phase, now_s)

    @staticmethod
    def _is_promoted(
        job: _model.Job, task: _model.Task, context: _policy.Context
    ) -> bool:
        age_s = context.unix_now_s - job.accepted_unix_s
        policy: documents.BatchPolicy = context.policy
        return (
            task.preemptions >= policy.preemptions_max
            or age_s > policy.wait_max_s
        )

    @staticmethod
    def _make_ending(job: _model.Job) -> _model.Ending:
        failed = job.count(_model.Phase.FAILED)
        if failed:
            reason = f'{failed} of {len(job.tasks)} tasks failed'
            return _model.Ending(_model.Outcome.FAILED, reason)
        return _model.Ending(_model.Outcome.DONE, 'all tasks are done')


def _was_displaced(task: _model.Task) -> bool:
    return task.stop_reason in ('', RECLAIMED)
