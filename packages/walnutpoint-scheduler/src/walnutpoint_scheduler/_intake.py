"""Loads jobs and cancellations into a term, and restores their records."""

from __future__ import annotations

import asyncio
import collections.abc
import enum
import typing

import msgspec

from walnutpoint_core import entry_faults
from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_core import ports as core_ports
from walnutpoint_core import resources
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _lease
from walnutpoint_scheduler import _record
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document

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
_WATCH_WAIT_S: typing.Final = 10.0
# Delay of the next watch after one without changes. The process that accepted
# a job notifies the scheduler; the watch covers lost notifications, and sees
# two changes for each job.
_WATCH_PAUSE_S: typing.Final = 0.1
_RETRY_S: typing.Final = 0.3
_MS_PER_S: typing.Final = 1000.0
# Upper bound of a run's assumed age: records of earlier versions have no
# planning time.
_AGE_MAX_S: typing.Final = 20.0
# Placeholder for a queue removed before its job was first seen.
_UNKNOWN_QUEUE: typing.Final = ''
# Raised for a damaged record: invalid encoding, a task that the job does not
# have, or an unknown state.
_UNREADABLE: typing.Final = (msgspec.DecodeError, IndexError, ValueError)


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

    __slots__ = ('_context', '_ends', '_faults', '_store', 'seen')

    def __init__(
        self,
        context: _context.Context,
        store: core_ports.WatchableStore,
        ends: _ends.EndHandler,
    ) -> None:
        self._context = context
        self._store = store
        self._ends = ends
        self._faults = entry_faults.EntryFaults('jobs')
        self.seen = 0

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

    def restore(self, stored: StoredJobs) -> None:
        """Restore the state stored by earlier terms."""
        by_key = {item.key: item for item in stored.records}
        jobs = []
        for item in stored.jobs:
            if document.is_final_marker(item.value):
                job_id = _keys.job_id(item.key)
                record = by_key.get(_keys.record_key(job_id))
                self._restore_final(job_id, record)
                continue
            job = self._decode(item)
            if job is not None:
                jobs.append(job)
        # An account's entitlement depends on the order of its jobs.
        jobs.sort(key=lambda job: job.accepted_ms)
        for job in jobs:
            record = by_key.get(_keys.record_key(job.job_id))
            self._try_restore_job(job, record)
        for item in stored.cancels:
            self.cancel(_keys.job_id(item.key), Source.START)

    async def follow(self, revision: int) -> None:
        """Apply changes until cancelled."""
        while True:
            changes = await self._store.watch(
                _keys.INTAKE, revision, _WATCH_WAIT_S
            )
            if changes.is_ok() and changes.ok is not None:
                revision = changes.ok.revision
                changed = [
                    self._apply_entry(item, Source.WATCH)
                    for item in changes.ok.values
                ]
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
        intake = await self._store.read(_keys.INTAKE)
        if intake.is_error():
            return None
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
        )
        return intake.ok.revision

    def add(self, job: document.Job, source: Source) -> None:
        """Add a stored job to the term, unless it is known."""
        context = self._context
        if job.job_id in context.jobs:
            return
        self.seen += 1
        progress = self._progress(job)
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
        context.wake()

    def cancel(self, job_id: str, source: Source) -> None:
        """Cancel a job whose cancellation is stored."""
        job = self._context.jobs.get(job_id)
        if job is None:
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
        job = self._decode(item)
        if job is not None:
            self.add(job, source)
        return job is not None

    def _decode(self, item: core_ports.StoredValue) -> document.Job | None:
        try:
            job = document.decode_job(item.value)
        except msgspec.DecodeError as error:
            self._faults.report(item, error)
            return None
        if job.job_id != _keys.job_id(item.key):
            self._faults.report(item, f'holds the document of {job.job_id}')
            return None
        return job

    def _progress(self, job: document.Job) -> _state.JobProgress:
        context = self._context
        queue = context.cell.queue(job.queue)
        if queue is None:
            queue = job.accepted_by or cell.Queue(
                job.queue, '', '', _UNKNOWN_QUEUE
            )
        progress = _state.JobProgress(job, queue, context.timer.now_s())
        account = context.account_of(progress)
        if account is not None:
            progress.is_owed = context.entitlement.consume(
                account, job.accepted_ms
            )
        return progress

    def _try_restore_job(
        self, job: document.Job, record: core_ports.StoredValue | None
    ) -> None:
        """Restore a job, unless its record is damaged.

        One damaged record would otherwise end every term at its start. The
        job is left as it is, for an operator.
        """
        try:
            self._restore_job(job, record)
        except _UNREADABLE as error:
            self._context.open_jobs.pop(job.job_id, None)
            if record is not None:
                self._faults.report(record, repr(error))

    def _restore_job(
        self, job: document.Job, item: core_ports.StoredValue | None
    ) -> None:
        context = self._context
        progress = self._progress(job)
        context.jobs[job.job_id] = progress
        if item is not None:
            record = _record.decode_record(item.value)
            runs = _record.apply_record(progress, record, item.revision)
            for step in progress.steps():
                for task in step.tasks:
                    context.suspects.restore(task)
            for task, saved in runs:
                run = self._restore_run(task, saved)
                if task.state is _state.TaskState.DONE:
                    self._ends.stop(run, 'another copy is done')
        if not progress.state.final:
            context.open_jobs[job.job_id] = progress
            self._ends.conclude_if_finished(progress)

    def _restore_final(
        self, job_id: str, item: core_ports.StoredValue | None
    ) -> None:
        """Restore only the state of a final job."""
        if item is None:
            return
        context = self._context
        try:
            record = _record.decode_record(item.value)
            progress = _state.JobProgress(
                document.Job(
                    job_id, _UNKNOWN_QUEUE, '', (), account=record.account
                ),
                cell.Queue(_UNKNOWN_QUEUE, '', '', ''),
                context.started_s,
            )
            progress.is_document_dropped = True
            _record.apply_record(progress, record, item.revision)
        except _UNREADABLE as error:
            self._faults.report(item, repr(error))
            return
        context.jobs[job_id] = progress

    def _restore_run(
        self, task: _state.TaskProgress, saved: _record.RunRecord
    ) -> _run.Run:
        """Book a run that an earlier term may have started.

        The task does not start elsewhere until its worker has answered under
        this term's token, or its lease has certainly expired.
        """
        context = self._context
        worker = context.roster.get(saved.worker_id)
        if worker is None:
            worker = _worker.WorkerState(
                _unlisted_worker(saved.worker_id),
                _lease.WorkerLease(
                    context.settings.lease_s, context.started_s
                ),
            )
            worker.unlisted_since_s = context.started_s
            context.roster.add(worker)
        run = _run.Run(
            _context.ports.RunName(task.name, saved.attempt),
            saved.worker_id,
            task.step.step.need,
            context.started_s,
            task,
            saved.planned_ms,
            saved.born_ms,
        )
        run.phase = _run.RunPhase.ORDERED
        run.restored_s = context.started_s
        age_s = (context.now_ms() - saved.planned_ms) / _MS_PER_S
        run.age_at_restore_s = min(max(age_s, 0.0), _AGE_MAX_S)
        run.is_pace_uncertain = True
        run.reported_from_s = context.started_s
        # A done task may have a copy that was still being stopped. If marked
        # active, it would be queued and start again after that copy's end.
        if task.state is not _state.TaskState.DONE:
            task.state = _state.TaskState.ACTIVE
        if task.run is None:
            task.run = run
        else:
            task.copy = run
        worker.book(run)
        if task.is_suspect:
            context.suspects.isolate(worker, run)
        return run


def _unlisted_worker(worker_id: str) -> cell.ListedWorker:
    """Return a placeholder for a worker named by a record only."""
    return cell.ListedWorker(
        worker_id, '', '', '', False, resources.Resources(), (), ''
    )
