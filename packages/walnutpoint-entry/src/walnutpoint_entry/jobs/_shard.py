"""The jobs of one shard while this process owns it."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from walnutpoint_core import documents
from walnutpoint_core import logs
from walnutpoint_entry.jobs import _batch
from walnutpoint_entry.jobs import _estimate
from walnutpoint_entry.jobs import _gang
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry.jobs import _ports
from walnutpoint_entry.jobs import _progress
from walnutpoint_entry.jobs import _recovery
from walnutpoint_entry.jobs import _service
from walnutpoint_entry import tasks

__all__ = ('Ended', 'POLICIES', 'Shard', 'Stray', 'items_by_shard')

_LOG = logs.get_logger(__name__)
_Phase = _model.Phase

# Attempts of different owners must differ without a write for each of them:
# the epoch of the shard is part of the number.
_ATTEMPTS_PER_EPOCH: typing.Final = 1_000_000_000

POLICIES: typing.Final[
    collections.abc.Mapping[_model.JobKind, _policy.JobPolicy]
] = {
    _model.JobKind.SERVICE: _service.ServicePolicy(),
    _model.JobKind.BATCH: _batch.BatchPolicy(),
    _model.JobKind.GANG: _gang.GangPolicy(),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Stray:
    """An attempt that runs and must not."""

    owner: str
    key: tasks.TaskKey
    attempt: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A report whose end is to be recorded before it is acknowledged."""

    owner: str
    report: tasks.TaskReport
    must_record: bool


class Shard:
    """Jobs, what is known of their tasks, and what is still in doubt."""

    __slots__ = (
        '_attempts',
        '_estimate',
        '_settings',
        '_stored',
        'asset',
        'changed_lazily',
        'changed_soon',
        'ended',
        'epoch',
        'floor_revision',
        'gained_s',
        'index',
        'is_loaded',
        'is_open',
        'is_synced',
        'jobs',
        'search',
        'strays',
        'synced_revision',
    )

    def __init__(
        self,
        asset: str,
        index: int,
        epoch: int,
        gained_s: float,
        settings: _ports.JobSettings,
        estimate: _estimate.SizeEstimate,
    ) -> None:
        self.asset = asset
        self.index = index
        self.epoch = epoch
        self.gained_s = gained_s
        self.is_open = True
        self.is_loaded = False
        self.is_synced = False
        self.jobs: dict[str, _model.Job] = {}
        self.search: _recovery.Search | None = None
        self.floor_revision = 0
        self.synced_revision = -1
        self.strays: dict[tuple[str, tasks.TaskKey, int], Stray] = {}
        self.ended: dict[tuple[str, tasks.TaskKey, int], Ended] = {}
        self.changed_lazily = False
        self.changed_soon = False
        self._attempts = epoch * _ATTEMPTS_PER_EPOCH
        self._settings = settings
        self._estimate = estimate
        self._stored: dict[str, _progress.JobProgress] = {}

    def next_attempt(self) -> int:
        """Return a number that no other attempt has."""
        self._attempts += 1
        return self._attempts

    def restore(
        self, progress: _progress.ShardProgress | None, floor_revision: int
    ) -> None:
        """Take what earlier owners recorded, and since when they knew."""
        self.is_loaded = True
        self.floor_revision = floor_revision
        if progress is None:
            return
        self._stored = {job.key: job for job in progress.jobs}
        self._estimate.restore(progress.families)

    def merge(self, progress: _progress.ShardProgress, now_s: float) -> None:
        """Take what the predecessor wrote after its progress was read."""
        for stored in progress.jobs:
            job = self.jobs.get(stored.key)
            if job is not None and job.item.created == stored.created:
                self._restore_job(job, stored, now_s)

    def sync(
        self,
        items: collections.abc.Mapping[str, _model.JobItem],
        revision: int,
        now_s: float,
        unix_now_s: float,
    ) -> None:
        """Follow the configuration."""
        # An older configuration lacks jobs that the predecessor has started:
        # their tasks would be stopped as nobody's.
        if revision < self.floor_revision:
            return
        # What was accepted after the configuration was read at the takeover
        # is unknown to every earlier owner: it has never been started.
        is_new = self.synced_revision >= self.floor_revision
        phase = _Phase.READY if is_new else _Phase.DOUBTFUL
        for key, item in items.items():
            job = self.jobs.get(key)
            if job is not None and job.item.created != item.created:
                job.is_gone = True
                continue
            if job is None:
                job = self._add(item, unix_now_s)
            job.item = item
            for index in range(len(job.tasks), item.tasks_count):
                job.add(index, phase, now_s)
            stored = self._stored.pop(key, None)
            if stored is not None and stored.created == item.created:
                self._restore_job(job, stored, now_s)
        for key, job in self.jobs.items():
            if key not in items:
                job.is_gone = True
        self.synced_revision = revision
        self.is_synced = True

    def take_inventory(
        self,
        owner: str,
        inventory: tasks.Inventory,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Take an owner's answer on what it runs of this shard."""
        shown = set()
        for report in inventory.reports:
            shown.add((report.key, report.attempt))
            self.take(owner, report, sent_s, now_s)
        for job in self.jobs.values():
            for task in job.in_phase(_Phase.RUNNING, _Phase.STOPPING):
                if task.board != owner or task.since_s >= sent_s:
                    continue
                key = tasks.TaskKey(job.item.key, task.index)
                if (key, task.attempt) not in shown:
                    # Its worker has moved to another owner, or is gone.
                    _LOG.warning('task_unseen', job=key.job, task=key.index)
                    job.move(task, _Phase.DOUBTFUL, now_s)

    def take(
        self,
        owner: str,
        report: tasks.TaskReport,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Take a report that was asked for at a time."""
        job = self.jobs.get(report.key.job)
        if job is None or job.is_finished:
            self._take_unknown(owner, report)
            return
        task = job.tasks.get(report.key.index)
        if task is None:
            task = job.add(report.key.index, _Phase.DOUBTFUL, sent_s)
        if sent_s < task.since_s:
            return
        if report.attempt < task.attempt and task.phase in _NEWER_RUNS:
            self._take_older(owner, job, task, report)
        elif report.state in _model.ENDED_STATES:
            self._take_end(owner, job, task, report, now_s)
        else:
            self._take_live(owner, job, task, report, now_s)

    def resolve_doubts(self, started_s: float, now_s: float) -> None:
        """Let go of the tasks that a search has proved to run nowhere."""
        for job in self.jobs.values():
            for task in job.in_phase(_Phase.DOUBTFUL):
                if task.since_s <= started_s:
                    policy = POLICIES[job.item.kind]
                    policy.end(job, task, tasks.TaskState.LAPSED, now_s)
                    self._forget_place(task)

    def doubtful_since_s(self) -> float | None:
        """Return since when the newest doubt stands, if there is any."""
        return max(
            (
                task.since_s
                for job in self.jobs.values()
                for task in job.in_phase(_Phase.DOUBTFUL)
            ),
            default=None,
        )

    def owners_used(self) -> set[str]:
        """Return the owners on whose workers tasks run or may run."""
        return {
            task.board
            for job in self.jobs.values()
            for task in job.in_phase(
                _Phase.HELD, _Phase.STARTING, _Phase.RUNNING, _Phase.STOPPING
            )
        } | {stray.owner for stray in self.strays.values()}

    def drop_gone(self) -> None:
        """Forget jobs that left the configuration and run nowhere."""
        for key, job in list(self.jobs.items()):
            if job.is_gone and not job.may_run and not job.is_reserving:
                del self.jobs[key]
                self.changed_lazily = True
                self.is_synced = False

    def snapshot(self) -> _progress.ShardProgress:
        """Return what is to be kept in the store."""
        families = {job.item.family for job in self.jobs.values()}
        kept = sorted(families)[: _progress.FAMILIES_MAX]
        live = tuple(
            _record(job)
            for job in self.jobs.values()
            if not job.is_finished
            and not job.is_gone
            and job.item.kind is not _model.JobKind.SERVICE
        )
        return _progress.ShardProgress(
            epoch=self.epoch,
            jobs=live,
            families=self._estimate.records(kept),
        )

    def _add(self, item: _model.JobItem, unix_now_s: float) -> _model.Job:
        job = _model.Job(item, self.index, unix_now_s)
        self.jobs[item.key] = job
        if item.kind is not _model.JobKind.SERVICE:
            self.changed_lazily = True
        return job

    @staticmethod
    def _restore_job(
        job: _model.Job, stored: _progress.JobProgress, now_s: float
    ) -> None:
        job.accepted_unix_s = min(job.accepted_unix_s, stored.accepted_unix_s)
        job.failures = max(job.failures, stored.failures)
        for index in stored.done_indices():
            task = job.tasks.get(index)
            if task is not None and task.phase in _UNSETTLED:
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
            if task.phase in _UNSETTLED and _has_failed(job, task):
                job.move(task, _Phase.FAILED, now_s)

    def _take_unknown(self, owner: str, report: tasks.TaskReport) -> None:
        if report.state in _model.ENDED_STATES:
            self._note_end(owner, report, must_record=False)
        else:
            self._note_stray(owner, report, 'no_such_job')

    def _take_older(
        self,
        owner: str,
        job: _model.Job,
        task: _model.Task,
        report: tasks.TaskReport,
    ) -> None:
        """Take a report of an attempt that a newer one has followed."""
        if report.state not in _model.ENDED_STATES:
            self._note_stray(owner, report, 'older_attempt')
            return
        is_batch = job.item.kind is _model.JobKind.BATCH
        self._note_end(owner, report, must_record=is_batch)
        if not is_batch or report.state is not tasks.TaskState.FINISHED:
            return
        # It ran to its end on a worker that was cut off; the newer attempt
        # would do the same work again.
        self.changed_soon = True
        if task.phase is _Phase.RUNNING:
            task.stop_reason = DONE_BEFORE
            key = (task.board, report.key, task.attempt)
            self.strays[key] = Stray(*key, DONE_BEFORE)

    def _take_end(
        self,
        owner: str,
        job: _model.Job,
        task: _model.Task,
        report: tasks.TaskReport,
        now_s: float,
    ) -> None:
        if report.attempt <= task.counted_attempt:
            # Recorded by an earlier owner that died before it said so, or
            # waiting to be recorded by this one.
            key = (owner, report.key, report.attempt)
            if key not in self.ended:
                self._note_end(owner, report, must_record=False)
            return
        before = _facts(job, task)
        self._count_end(job, task, report, now_s)
        must_record = _facts(job, task) != before
        self._note_end(owner, report, must_record)
        if must_record and not job.item.is_cancelled:
            self.changed_soon = True

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
        if task.stop_reason == DONE_BEFORE:
            state = tasks.TaskState.FINISHED
        POLICIES[job.item.kind].end(job, task, state, now_s)
        self._learn(job, report)
        self._forget_place(task)
        if was_doubtful and task.phase is _Phase.READY:
            # A newer attempt may run on a worker that has not answered yet.
            job.move(task, _Phase.DOUBTFUL, now_s)

    def _take_live(
        self,
        owner: str,
        job: _model.Job,
        task: _model.Task,
        report: tasks.TaskReport,
        now_s: float,
    ) -> None:
        if task.phase in (_Phase.DONE, _Phase.FAILED):
            self._note_stray(owner, report, 'has_ended')
            return
        is_same = task.board == owner and task.attempt == report.attempt
        if is_same and task.phase in (_Phase.RUNNING, _Phase.STOPPING):
            task.checkpoint = report.checkpoint or task.checkpoint
            return
        # An inventory may be taken before a start sent earlier arrives. Put
        # back to held, the task would never run for its gang, which would
        # stop and start again whole. The answer to the start decides.
        may_be_held = task.phase in (_Phase.HELD, _Phase.STARTING)
        if is_same and may_be_held and report.state is tasks.TaskState.HELD:
            return
        if task.phase is _Phase.RUNNING and report.attempt == task.attempt:
            task.board = owner
            return
        task.attempt = report.attempt
        task.board = owner
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

    def _learn(self, job: _model.Job, report: tasks.TaskReport) -> None:
        family = job.item.family
        if report.state is tasks.TaskState.FINISHED and report.run_s > 0.0:
            declared_s = job.item.declared_run_s
            if declared_s > 0.0:
                self._estimate.observe_run(family, declared_s, report.run_s)
        if report.used_cpu_cores or report.used_memory_mb:
            self._estimate.observe_use(
                family, report.used_cpu_cores, report.used_memory_mb
            )

    @staticmethod
    def _forget_place(task: _model.Task) -> None:
        task.board = ''
        task.worker = ''
        task.domain = ''
        task.stop_reason = ''
        task.is_asking = False

    def _note_stray(
        self, owner: str, report: tasks.TaskReport, reason: str
    ) -> None:
        key = (owner, report.key, report.attempt)
        self.strays[key] = Stray(owner, report.key, report.attempt, reason)

    def _note_end(
        self, owner: str, report: tasks.TaskReport, must_record: bool
    ) -> None:
        key = (owner, report.key, report.attempt)
        self.strays.pop(key, None)
        self.ended[key] = Ended(owner, report, must_record)


DONE_BEFORE: typing.Final = 'done_before'
_NEWER_RUNS: typing.Final = (
    _Phase.HELD,
    _Phase.STARTING,
    _Phase.RUNNING,
    _Phase.STOPPING,
)
_UNSETTLED: typing.Final = (_Phase.READY, _Phase.DOUBTFUL)


def _facts(
    job: _model.Job, task: _model.Task
) -> tuple[bool, bool, int, int, str | None, int] | None:
    """Return what a successor can learn from the store only."""
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


def _record(job: _model.Job) -> _progress.JobProgress:
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


def items_by_shard(
    configuration: documents.Configuration, shards: int
) -> dict[int, dict[str, _model.JobItem]]:
    """Return the services and jobs of each shard by their keys."""
    found: dict[int, dict[str, _model.JobItem]] = {
        index: {} for index in range(shards)
    }
    for item in _model.items_of(configuration):
        found[_model.job_shard(item.key, shards)][item.key] = item
    return found
