"""Decodes stored jobs into the state that a term keeps of them."""

from __future__ import annotations

import typing


from walnutpoint_core import decoding
from walnutpoint_core import entry_faults
from walnutpoint_core import ports as core_ports
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document

__all__ = (
    'JobReader',
    'UNKNOWN_QUEUE',
)

# Placeholder for a queue removed before its job was first seen.
UNKNOWN_QUEUE: typing.Final = ''


class JobReader:
    """Decodes jobs, reporting damaged ones once a revision."""

    __slots__ = ('_context', 'faults')

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self.faults = entry_faults.EntryFaults('jobs')

    def decode(self, item: core_ports.StoredValue) -> document.Job | None:
        """Return a stored job, or None if its document is damaged."""
        try:
            job = document.decode_job(item.value)
        except decoding.UnreadableError as error:
            self.faults.report(item, error)
            return None
        if job.job_id != _keys.job_id(item.key):
            self.faults.report(item, f'holds the document of {job.job_id}')
            return None
        return job

    def progress(self, job: document.Job) -> _state.JobProgress:
        """Return the state of a job without runs."""
        context = self._context
        queue = context.cell.queue(job.queue)
        if queue is None:
            queue = job.accepted_by or cell.Queue(
                job.queue, '', '', UNKNOWN_QUEUE
            )
        progress = _state.JobProgress(job, queue, context.timer.now_s())
        if job.accepted_for is not None:
            progress.account = job.accepted_for.account(job.account)
        account = context.account_of(progress)
        if account is not None:
            progress.is_owed = context.entitlement.consume(
                account, job.accepted_ms
            )
        return progress
