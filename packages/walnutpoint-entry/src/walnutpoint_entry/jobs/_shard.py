"""The jobs of one shard while this process owns it."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import documents
from walnutpoint_core import logs
from walnutpoint_entry.jobs import _estimate
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _ports
from walnutpoint_entry.jobs import _progress
from walnutpoint_entry.jobs import _record
from walnutpoint_entry.jobs import _recovery
from walnutpoint_entry.jobs import _reports
from walnutpoint_entry import tasks

__all__ = ('Shard', 'items_by_shard')

_LOG = logs.get_logger(__name__)
_Phase = _model.Phase

# The shard's epoch is part of each attempt number, so that the numbers of
# different owners differ without a write per attempt.
_ATTEMPTS_PER_EPOCH: typing.Final = 1_000_000_000


class Shard:
    """The jobs of an owned shard, its recovery search and attempts."""

    __slots__ = (
        '_attempts',
        '_estimator',
        '_reports',
        '_settings',
        '_stored',
        'asset',
        'changes',
        'ended_attempts',
        'epoch',
        'min_revision',
        'acquired_s',
        'index',
        'is_loaded',
        'is_open',
        'is_synced',
        'jobs',
        'search',
        'stray_attempts',
        'synced_revision',
    )

    def __init__(
        self,
        asset: str,
        index: int,
        epoch: int,
        acquired_s: float,
        settings: _ports.JobSettings,
        estimator: _estimate.SizeEstimator,
    ) -> None:
        self.asset = asset
        self.index = index
        self.epoch = epoch
        self.acquired_s = acquired_s
        self.is_open = True
        self.is_loaded = False
        self.is_synced = False
        self.jobs: dict[str, _model.Job] = {}
        self.search: _recovery.Search | None = None
        self.min_revision = 0
        self.synced_revision = -1
        self.changes = _record.Changes()
        self._reports = _reports.Reports(self.jobs, estimator, self.changes)
        self.stray_attempts = self._reports.stray_attempts
        self.ended_attempts = self._reports.ended_attempts
        self._attempts = epoch * _ATTEMPTS_PER_EPOCH
        self._settings = settings
        self._estimator = estimator
        self._stored: dict[str, _progress.JobProgress] = {}

    def next_attempt(self) -> int:
        """Return a unique attempt number."""
        self._attempts += 1
        return self._attempts

    def restore(
        self, progress: _progress.ShardProgress | None, min_revision: int
    ) -> None:
        """Load the progress of earlier owners, valid from min_revision."""
        self.is_loaded = True
        self.min_revision = min_revision
        if progress is None:
            return
        self._stored = {job.key: job for job in progress.jobs}
        self._estimator.restore(progress.families)

    def merge(self, progress: _progress.ShardProgress, now_s: float) -> None:
        """Merge progress that the predecessor wrote after the load."""
        for stored in progress.jobs:
            job = self.jobs.get(stored.key)
            if job is not None and job.item.created == stored.created:
                _record.restore(job, stored, now_s)

    def sync(
        self,
        items: collections.abc.Mapping[str, _model.JobItem],
        revision: int,
        now_s: float,
        unix_now_s: float,
    ) -> None:
        """Adopt the jobs of a configuration revision."""
        # An older configuration may lack jobs that the predecessor started:
        # their tasks would be stopped as those of no job.
        if revision < self.min_revision:
            return
        # A job accepted after the configuration was read at the takeover is
        # unknown to earlier owners, so it has never been started.
        is_new = self.synced_revision >= self.min_revision
        phase = _Phase.READY if is_new else _Phase.DOUBTFUL
        for key, item in items.items():
            job = self.jobs.get(key)
            if job is not None and job.item.created != item.created:
                job.is_removed = True
                continue
            if job is None:
                job = self._add(item, unix_now_s)
            job.item = item
            for index in range(len(job.tasks), item.tasks_count):
                job.add(index, phase, now_s)
            stored = self._stored.pop(key, None)
            if stored is not None and stored.created == item.created:
                _record.restore(job, stored, now_s)
        for key, job in self.jobs.items():
            if key not in items:
                job.is_removed = True
        self.synced_revision = revision
        self.is_synced = True

    def apply_inventory(
        self,
        owner: str,
        inventory: tasks.Inventory,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply the inventory of this shard's tasks at an owner."""
        reported = set()
        for report in inventory.reports:
            reported.add((report.key, report.attempt))
            self.apply_report(owner, report, sent_s, now_s)
        for job in self.jobs.values():
            for task in job.in_phase(_Phase.RUNNING, _Phase.STOPPING):
                if task.owner != owner or task.phase_since_s >= sent_s:
                    continue
                key = tasks.TaskKey(job.item.key, task.index)
                if (key, task.attempt) not in reported:
                    # Its worker has moved to another owner or is lost.
                    _LOG.warning('task_unseen', job=key.job, task=key.index)
                    job.move(task, _Phase.DOUBTFUL, now_s)

    def apply_report(
        self,
        owner: str,
        report: tasks.TaskReport,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Apply a report that was requested at sent_s."""
        self._reports.apply(owner, report, sent_s, now_s)

    def resolve_doubtful(self, started_s: float, now_s: float) -> None:
        """End the doubtful tasks that a search has proved not to run."""
        self._reports.resolve_doubtful(started_s, now_s)

    def doubtful_since_s(self) -> float | None:
        """Return when the newest doubtful task became so, if any."""
        return max(
            (
                task.phase_since_s
                for job in self.jobs.values()
                for task in job.in_phase(_Phase.DOUBTFUL)
            ),
            default=None,
        )

    def owners_in_use(self) -> set[str]:
        """Return the owners whose workers run or may run tasks."""
        return {
            task.owner
            for job in self.jobs.values()
            for task in job.in_phase(
                _Phase.HELD, _Phase.STARTING, _Phase.RUNNING, _Phase.STOPPING
            )
        } | {stray.owner for stray in self.stray_attempts.values()}

    def drop_removed(self) -> None:
        """Drop jobs removed from the configuration that have stopped."""
        for key, job in list(self.jobs.items()):
            if (
                job.is_removed
                and not job.occupying_count
                and not job.is_reserving
            ):
                del self.jobs[key]
                self.changes.has_deferrable = True
                self.is_synced = False

    def snapshot(self) -> _progress.ShardProgress:
        """Return the shard's progress to store."""
        families = {job.item.family for job in self.jobs.values()}
        kept = sorted(families)[: _progress.FAMILIES_MAX]
        unfinished = tuple(
            _record.to_progress(job)
            for job in self.jobs.values()
            if not job.is_end_recorded
            and not job.is_removed
            and job.item.kind is not _model.JobKind.SERVICE
        )
        return _progress.ShardProgress(
            epoch=self.epoch,
            jobs=unfinished,
            families=self._estimator.records(kept),
        )

    def _add(self, item: _model.JobItem, unix_now_s: float) -> _model.Job:
        job = _model.Job(item, self.index, unix_now_s)
        self.jobs[item.key] = job
        if item.kind is not _model.JobKind.SERVICE:
            self.changes.has_deferrable = True
        return job


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
