"""Processing of the task reports of worker owners."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from walnutpoint_entry.jobs import _estimate
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _policies
from walnutpoint_entry.jobs import _record
from walnutpoint_entry import tasks

__all__ = ('EndedAttempt', 'Reports', 'StrayAttempt')

_Phase = _model.Phase
_DONE_BEFORE: typing.Final = 'done_before'
_ACTIVE_PHASES: typing.Final = (
    _Phase.HELD,
    _Phase.STARTING,
    _Phase.RUNNING,
    _Phase.STOPPING,
)


@dataclasses.dataclass(frozen=True, slots=True)
class StrayAttempt:
    """An attempt that runs but must be stopped."""

    owner: str
    key: tasks.TaskKey
    attempt: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """A reported end to acknowledge, recorded first if must_record."""

    owner: str
    report: tasks.TaskReport
    must_record: bool


class Reports:
    """Applies reports to the jobs of a shard."""

    __slots__ = (
        '_changes',
        '_estimator',
        '_jobs',
        'ended_attempts',
        'stray_attempts',
    )

    def __init__(
        self,
        jobs: collections.abc.Mapping[str, _model.Job],
        estimator: _estimate.SizeEstimator,
        changes: _record.Changes,
    ) -> None:
        self._jobs = jobs
        self._estimator = estimator
        self._changes = changes
        self.stray_attempts: dict[
            tuple[str, tasks.TaskKey, int], StrayAttempt
        ] = {}
        self.ended_attempts: dict[
            tuple[str, tasks.TaskKey, int], EndedAttempt
        ] = {}

    def apply(
        self,
        owner: str,
        report: tasks.TaskReport,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply a report that was requested at sent_s."""
        job = self._jobs.get(report.key.job)
        if job is None or job.is_end_recorded:
            self._apply_to_unknown_job(owner, report)
            return
        task = job.tasks.get(report.key.index)
        if task is None:
            task = job.add(report.key.index, _Phase.DOUBTFUL, sent_s)
        if sent_s < task.phase_since_s:
            return
        if report.attempt < task.attempt and task.phase in _ACTIVE_PHASES:
            self._apply_superseded(owner, job, task, report)
        elif report.state in _model.ENDED_STATES:
            self._apply_end(owner, job, task, report, now_s)
        else:
            self._apply_live(owner, job, task, report, now_s)

    def resolve_doubtful(self, started_s: float, now_s: float) -> None:
        """End the doubtful tasks that a search has proved not to run."""
        for job in self._jobs.values():
            for task in job.in_phase(_Phase.DOUBTFUL):
                if task.phase_since_s <= started_s:
                    policy = _policies.POLICIES[job.item.kind]
                    policy.on_attempt_end(
                        job, task, tasks.TaskState.LAPSED, now_s
                    )
                    self._clear_placement(task)

    def _apply_to_unknown_job(
        self, owner: str, report: tasks.TaskReport
    ) -> None:
        if report.state in _model.ENDED_STATES:
            self._add_end(owner, report, must_record=False)
        else:
            self._add_stray(owner, report, 'no_such_job')

    def _apply_superseded(
        self,
        owner: str,
        job: _model.Job,
        task: _model.Task,
        report: tasks.TaskReport,
    ) -> None:
        """Apply a report of an attempt superseded by a newer one."""
        if report.state not in _model.ENDED_STATES:
            self._add_stray(owner, report, 'older_attempt')
            return
        is_batch = job.item.kind is _model.JobKind.BATCH
        self._add_end(owner, report, must_record=is_batch)
        if not is_batch or report.state is not tasks.TaskState.FINISHED:
            return
        # It finished on a worker that was disconnected; the newer attempt
        # would repeat its work.
        self._changes.has_urgent = True
        if task.phase is _Phase.RUNNING:
            task.stop_reason = _DONE_BEFORE
            key = (task.owner, report.key, task.attempt)
            self.stray_attempts[key] = StrayAttempt(*key, _DONE_BEFORE)

    def _apply_end(
        self,
        owner: str,
        job: _model.Job,
        task: _model.Task,
        report: tasks.TaskReport,
        now_s: float,
    ) -> None:
        if report.attempt <= task.counted_attempt:
            # Recorded by an earlier owner that died before acknowledging
            # it, or not yet recorded by this one.
            key = (owner, report.key, report.attempt)
            if key not in self.ended_attempts:
                self._add_end(owner, report, must_record=False)
            return
        before = _record.durable_state(job, task)
        self._count_end(job, task, report, now_s)
        must_record = _record.durable_state(job, task) != before
        self._add_end(owner, report, must_record)
        if must_record and not job.item.is_cancelled:
            self._changes.has_urgent = True

    def _count_end(
        self,
        job: _model.Job,
        task: _model.Task,
        report: tasks.TaskReport,
        now_s: float,
    ) -> None:
        task.counted_attempt = report.attempt
        if task.phase in (_Phase.DONE, _Phase.FAILED):
            return
        task.attempt = max(task.attempt, report.attempt)
        task.checkpoint = report.checkpoint or task.checkpoint
        was_doubtful = task.phase is _Phase.DOUBTFUL
        state = report.state
        if task.stop_reason == _DONE_BEFORE:
            state = tasks.TaskState.FINISHED
        _policies.POLICIES[job.item.kind].on_attempt_end(
            job, task, state, now_s
        )
        self._update_estimator(job, report)
        self._clear_placement(task)
        if was_doubtful and task.phase is _Phase.READY:
            # A newer attempt may run on a worker not yet reported.
            job.move(task, _Phase.DOUBTFUL, now_s)

    def _apply_live(
        self,
        owner: str,
        job: _model.Job,
        task: _model.Task,
        report: tasks.TaskReport,
        now_s: float,
    ) -> None:
        if task.phase in (_Phase.DONE, _Phase.FAILED):
            self._add_stray(owner, report, 'has_ended')
            return
        is_same = task.owner == owner and task.attempt == report.attempt
        if is_same and task.phase in (_Phase.RUNNING, _Phase.STOPPING):
            task.checkpoint = report.checkpoint or task.checkpoint
            return
        # An inventory may be taken before a start sent earlier arrives.
        # Moving the task back to HELD would make its gang restart as a
        # whole, so only the answer to the start counts.
        may_be_held = task.phase in (_Phase.HELD, _Phase.STARTING)
        if is_same and may_be_held and report.state is tasks.TaskState.HELD:
            return
        if task.phase is _Phase.RUNNING and report.attempt == task.attempt:
            task.owner = owner
            return
        task.attempt = report.attempt
        task.owner = owner
        task.worker = report.worker
        task.domain = report.domain
        task.checkpoint = report.checkpoint or task.checkpoint
        if task.phase is _Phase.STOPPING:
            return
        if report.state is tasks.TaskState.HELD:
            job.move(task, _Phase.HELD, now_s)
        else:
            task.started_s = now_s - report.run_s
            job.move(task, _Phase.RUNNING, now_s)

    def _update_estimator(
        self, job: _model.Job, report: tasks.TaskReport
    ) -> None:
        family = job.item.family
        if report.state is tasks.TaskState.FINISHED and report.run_s > 0.0:
            declared_s = job.item.declared_run_s
            if declared_s > 0.0:
                self._estimator.observe_run(family, declared_s, report.run_s)
        if report.used_cpu_cores or report.used_memory_mb:
            self._estimator.observe_usage(
                family, report.used_cpu_cores, report.used_memory_mb
            )

    @staticmethod
    def _clear_placement(task: _model.Task) -> None:
        task.owner = ''
        task.worker = ''
        task.domain = ''
        task.stop_reason = ''
        task.is_stop_in_flight = False

    def _add_stray(
        self, owner: str, report: tasks.TaskReport, reason: str
    ) -> None:
        key = (owner, report.key, report.attempt)
        self.stray_attempts[key] = StrayAttempt(
            owner, report.key, report.attempt, reason
        )

    def _add_end(
        self, owner: str, report: tasks.TaskReport, must_record: bool
    ) -> None:
        key = (owner, report.key, report.attempt)
        self.stray_attempts.pop(key, None)
        self.ended_attempts[key] = EndedAttempt(owner, report, must_record)
