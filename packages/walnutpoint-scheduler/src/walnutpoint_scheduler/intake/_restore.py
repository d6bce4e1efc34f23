"""Restores jobs and their runs from the records of earlier terms."""

from __future__ import annotations

import collections.abc
import typing


from walnutpoint_core import decoding
from walnutpoint_core import ports as core_ports
from walnutpoint_core import resources
from walnutpoint_core import slices
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _record
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler.intake import _job_reader

__all__ = ('Restorer',)

_MS_PER_S: typing.Final = 1000.0
# Entries that are decoded, and steps and tasks that are restored, before other
# work of the process goes on.
_SLICE_ENTRIES: typing.Final = 500
_SLICE_TASKS: typing.Final = 2000
# Upper bound of a run's assumed age: records of earlier versions have no
# planning time.
_AGE_MAX_S: typing.Final = 20.0


class Restorer:
    """Restores jobs at the start of a term."""

    __slots__ = ('_context', '_ends', '_reader')

    def __init__(
        self,
        context: _context.Context,
        ends: _ends.EndHandler,
        reader: _job_reader.JobReader,
    ) -> None:
        self._context = context
        self._ends = ends
        self._reader = reader

    async def restore(
        self,
        stored_jobs: collections.abc.Iterable[core_ports.StoredValue],
        records: collections.abc.Iterable[core_ports.StoredValue],
    ) -> None:
        """Restore the jobs as their records leave them."""
        by_key = {item.key: item for item in records}
        jobs = []
        async for item in slices.sliced(stored_jobs, _SLICE_ENTRIES):
            if document.is_reserved_marker(item.value):
                self.add_reserved(item)
                continue
            if document.is_final_marker(item.value):
                job_id = _keys.job_id(item.key)
                record = by_key.get(_keys.record_key(job_id))
                self._restore_final(job_id, record)
                continue
            job = self._reader.decode(item)
            if job is not None:
                jobs.append(job)
        # An account's entitlement depends on the order of its jobs.
        jobs.sort(key=lambda job: job.accepted_ms)
        async for job in slices.sliced(
            jobs, _SLICE_TASKS, lambda job: job.size
        ):
            record = by_key.get(_keys.record_key(job.job_id))
            self._try_restore_job(job, record)

    def _try_restore_job(
        self, job: document.Job, record: core_ports.StoredValue | None
    ) -> None:
        """Restore a job, unless its record is damaged.

        One damaged record would otherwise end every term at its start. The
        job is left as it is, for an operator.
        """
        try:
            with decoding.checking():
                self._restore_job(job, record)
        except decoding.UnreadableError as error:
            self._context.open_jobs.pop(job.job_id, None)
            if record is not None:
                self._reader.faults.report(record, repr(error))

    def _restore_job(
        self, job: document.Job, item: core_ports.StoredValue | None
    ) -> None:
        context = self._context
        progress = self._reader.progress(job)
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

    def add_reserved(self, item: core_ports.StoredValue) -> None:
        """Add a job that was cancelled before it came, to remove its name."""
        job_id = _keys.job_id(item.key)
        try:
            progress = self._ended_job(job_id, document.owner(item.value))
        except decoding.UnreadableError as error:
            self._reader.faults.report(item, repr(error))
            return
        progress.state = _state.JobState.CANCELLED
        # Nobody has submitted it: callers are told that there is none.
        progress.saved_state = None
        self._context.jobs[job_id] = progress

    def _restore_final(
        self, job_id: str, item: core_ports.StoredValue | None
    ) -> None:
        """Restore only the state of a final job."""
        if item is None:
            return
        try:
            record = _record.decode_record(item.value)
            with decoding.checking():
                progress = self._ended_job(job_id, record.account)
                _record.apply_record(progress, record, item.revision)
        except decoding.UnreadableError as error:
            self._reader.faults.report(item, repr(error))
            return
        self._context.jobs[job_id] = progress

    def _ended_job(self, job_id: str, account: str) -> _state.JobProgress:
        """Return a job of which only the end is known."""
        progress = _state.JobProgress(
            document.Job(
                job_id, _job_reader.UNKNOWN_QUEUE, '', (), account=account
            ),
            cell.Queue(_job_reader.UNKNOWN_QUEUE, '', '', ''),
            self._context.started_s,
        )
        progress.is_document_dropped = True
        return progress

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
                _unlisted_worker(saved.worker_id), context.new_lease()
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
