"""Loads stored jobs and cancellations into a term, and follows them."""

from __future__ import annotations

import asyncio
import collections.abc
import enum
import typing

from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_core import ports as core_ports
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import document
from walnutpoint_scheduler.intake import _early_cancels
from walnutpoint_scheduler.intake import _job_reader
from walnutpoint_scheduler.intake import _restore

__all__ = (
    'Intake',
    'Source',
    'StoredJobs',
)

_LOG: typing.Final = logs.get_logger('intake')
_RESYNCS: typing.Final = metrics.Counter(
    'intake_resyncs', 'Full reads of jobs and cancellations by cause.'
)
_UNKNOWN_CANCELS: typing.Final = metrics.Counter(
    'unknown_cancels', 'Cancellations of jobs that were not known, by source.'
)
# A watch whose connection has gone silent gets no answer. If the notice of a
# cancellation is lost too, tasks start until the watch has timed out.
_WATCH_WAIT_S: typing.Final = 1.0
# Delay of the next watch after one without changes. The process that accepted
# a job notifies the scheduler; the watch covers lost notifications, and sees
# two changes for each job.
_WATCH_PAUSE_S: typing.Final = 0.1
_RETRY_S: typing.Final = 0.3


class Source(enum.Enum):
    """How a term learns of a stored entry."""

    # The full read at the start of the term.
    START = 'start'
    # A message of the process that stored the entry.
    NOTICE = 'notice'
    WATCH = 'watch'
    # A full read after the watch failed or lost its history.
    RESYNC = 'resync'


class StoredJobs:
    """All stored jobs and records, and the revision to watch from."""

    __slots__ = ('cancels', 'jobs', 'records', 'revision')

    def __init__(
        self,
        revision: int,
        cancels: collections.abc.Sequence[core_ports.StoredValue],
        jobs: list[core_ports.StoredValue],
        records: list[core_ports.StoredValue],
    ) -> None:
        self.revision = revision
        self.cancels = cancels
        self.jobs = jobs
        self.records = records


class Intake:
    """Follows stored jobs and cancellations, applying each change once."""

    __slots__ = (
        '_context',
        '_early_cancels',
        '_ends',
        '_reader',
        '_restorer',
        '_store',
    )

    def __init__(
        self,
        context: _context.Context,
        store: core_ports.WatchableStore,
        ends: _ends.EndHandler,
    ) -> None:
        self._context = context
        self._store = store
        self._ends = ends
        self._early_cancels = _early_cancels.EarlyCancels()
        self._reader = _job_reader.JobReader(context)
        self._restorer = _restore.Restorer(context, ends, self._reader)

    async def read(self) -> StoredJobs | None:
        """Read all shards of jobs and records concurrently."""
        shards = _keys.shards()
        parts = await asyncio.gather(
            self._store.read(_keys.CANCELS),
            *(self._store.read(_keys.JOBS + shard) for shard in shards),
            *(self._store.read(_keys.RECORDS + shard) for shard in shards),
        )
        if any(part.is_error() for part in parts):
            return None
        cancels, rest = parts[0], parts[1:]
        return StoredJobs(
            min(part.ok.revision for part in parts),
            cancels.ok.values,
            [item for part in rest[: len(shards)] for item in part.ok.values],
            [item for part in rest[len(shards) :] for item in part.ok.values],
        )

    async def restore(self, stored: StoredJobs) -> None:
        """Restore the state stored by earlier terms."""
        await self._restorer.restore(stored.jobs, stored.records)
        for item in stored.cancels:
            self.cancel(_keys.job_id(item.key), Source.START)

    async def follow(self, revision: int) -> None:
        """Apply changes until cancelled."""
        while True:
            changes = await self._store.watch(
                _keys.INTAKE, revision, _WATCH_WAIT_S
            )
            if changes.is_ok() and changes.ok is not None:
                if changes.ok.values or changes.ok.removed:
                    # A watch may miss changes, report none, and return a
                    # later revision.
                    revision = changes.ok.revision
                changed = [
                    self._apply_entry(item, Source.WATCH)
                    for item in changes.ok.values
                ]
                self._early_cancels.drop(
                    _keys.job_id(key)
                    for key in changes.ok.removed
                    if key.startswith(_keys.CANCELS)
                )
                if changed and not any(changed):
                    await self._context.timer.sleep(_WATCH_PAUSE_S)
                continue
            # The history was compacted or the watch failed: only a full read
            # shows the missed changes.
            cause = 'compacted'
            if changes.is_error():
                cause = changes.error.kind.value
                await self._context.timer.sleep(_RETRY_S)
            revision = await self._resync(revision, cause) or revision

    async def _resync(self, revision: int, cause: str) -> int | None:
        """Apply all stored entries; known jobs stay as they are."""
        early_before = self._early_cancels.all()
        intake = await self._store.read(_keys.INTAKE)
        if intake.is_error():
            return None
        # The removal of their entries may be part of the missed changes.
        self._early_cancels.drop(early_before)
        changed = [
            self._apply_entry(item, Source.RESYNC) for item in intake.ok.values
        ]
        _RESYNCS.add(cause)
        _LOG.info(
            'intake.resynced',
            cause=cause,
            token=self._context.token,
            revision_before=revision,
            revision=intake.ok.revision,
            entries=len(changed),
            changed=sum(changed),
            early_cancels=len(self._early_cancels),
        )
        return intake.ok.revision

    def add(self, job: document.Job, source: Source) -> None:
        """Add a stored job to the term, unless it is known."""
        context = self._context
        if job.job_id in context.jobs:
            return
        progress = self._reader.progress(job)
        context.jobs[job.job_id] = progress
        context.open_jobs[job.job_id] = progress
        _LOG.info(
            'job.seen',
            job=job.job_id,
            source=source.value,
            queue=job.queue,
            account=job.account or '-',
            owed=progress.is_owed,
            steps=len(job.steps),
            tasks=sum(step.task_count for step in job.steps),
            age_ms=context.now_ms() - job.accepted_ms,
        )
        if self._early_cancels.take(job.job_id):
            self.cancel(job.job_id, source)
        context.wake()

    def cancel(self, job_id: str, source: Source) -> None:
        """Cancel a job whose cancellation is stored."""
        job = self._context.jobs.get(job_id)
        if job is None:
            self._early_cancels.add(job_id)
            _UNKNOWN_CANCELS.add(source.value)
            _LOG.info(
                'job.cancel_unknown',
                job=job_id,
                source=source.value,
                token=self._context.token,
            )
        elif job.state.final:
            # Most cancellations read by a new term are of ended jobs.
            job.cancel_requested = True
        elif not job.cancel_requested:
            _LOG.info(
                'job.cancel_seen',
                job=job_id,
                source=source.value,
                state=job.state.value,
            )
            self._ends.cancel(job)

    def _apply_entry(
        self, item: core_ports.StoredValue, source: Source
    ) -> bool:
        """Apply a stored job or cancellation; return whether it was new."""
        job_id = _keys.job_id(item.key)
        known = self._context.jobs.get(job_id)
        if item.key.startswith(_keys.CANCELS):
            is_new = known is not None and not known.cancel_requested
            self.cancel(job_id, source)
            return is_new
        if known is not None or document.is_final_marker(item.value):
            return False
        if document.is_reserved_marker(item.value):
            self._restorer.add_reserved(item)
            return False
        job = self._reader.decode(item)
        if job is not None:
            self.add(job, source)
        return job is not None
