"""Cancellations of jobs by client accounts."""

from __future__ import annotations

import collections.abc
import typing

import anyio
import expression

from walnutpoint_core import decoding
from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import ports
from walnutpoint_core import timer
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _outages
from walnutpoint_scheduler import _relay
from walnutpoint_scheduler import document
from walnutpoint_scheduler.submission import _submit_call

__all__ = ('Cancellations',)

_LOG: typing.Final = logs.get_logger('submission')
_RETRY_S: typing.Final = 0.05


class Cancellations:
    """Stores cancellations beside their jobs."""

    __slots__ = ('_notify', '_store', '_timer')

    def __init__(
        self,
        store: _relay.RelayedStore,
        clock: timer.Timer,
        notify: collections.abc.Callable[[str], None],
    ) -> None:
        """Create them; notify is called with each job that is cancelled."""
        self._store = store
        self._timer = clock
        self._notify = notify

    async def cancel(
        self, job_id: str, caller: str, deadline_s: float
    ) -> expression.Result[bool, errors.Failure]:
        """Store a cancellation; return False where there is no such job.

        An account can't cancel jobs of another.
        """
        failure = _outages.failure(self._store.silent_s)
        left_s = (
            deadline_s - _submit_call.ANSWER_RESERVE_S - self._timer.now_s()
        )
        with anyio.move_on_after(left_s):
            result = await self._cancel_stored(job_id, caller)
            if result.is_ok():
                return result
            failure = result.error
        _LOG.warning('job.cancel_failed', job=job_id, kind=failure.kind.value)
        return expression.Error(failure)

    async def _cancel_stored(
        self, job_id: str, caller: str
    ) -> expression.Result[bool, errors.Failure]:
        """Write a cancellation beside its job, if there is one."""
        while True:
            stored = await self._store.get(_keys.job_key(job_id))
            if stored.is_error():
                return expression.Error(_outages.failure(self._store.silent_s))
            job = stored.ok
            if job is None:
                reserved = await self._reserve(job_id, caller)
                if reserved.is_error():
                    return reserved
                if reserved.ok:
                    _LOG.info('job.cancel_not_found', job=job_id)
                    return expression.Ok(False)
                continue
            if not _may_cancel(job, caller):
                return expression.Error(
                    errors.Failure(errors.ErrorKind.OTHER_ACCOUNT)
                )
            if document.is_reserved_marker(job.value):
                return expression.Ok(False)
            if document.is_final_marker(job.value):
                _LOG.info('job.cancel_ended', job=job_id)
                return expression.Ok(True)
            cancelled = await self._store_cancel(job_id, job.revision)
            if cancelled.is_error():
                return cancelled
            if cancelled.ok:
                _LOG.info('job.cancel_stored', job=job_id)
                self._notify(job_id)
                return expression.Ok(True)

    async def _reserve(
        self, job_id: str, caller: str
    ) -> expression.Result[bool, errors.Failure]:
        """Reserve the name of an unknown job; return False if it has come.

        Its submission may still be under way, and would run after its caller
        was told that there is no such job.
        """
        key = _keys.job_key(job_id)
        marker = document.encode_reserved_marker(caller)
        return await self._commit(
            ports.Batch((ports.Guard(key, 0),), (ports.Put(key, marker),))
        )

    async def _store_cancel(
        self, job_id: str, job_revision: int
    ) -> expression.Result[bool, errors.Failure]:
        """Write a cancellation; return False if the job has changed.

        The key alone is the request. It is removed with its job: without the
        guard, a write that is applied late would stay for good.
        """
        return await self._commit(
            ports.Batch(
                (ports.Guard(_keys.job_key(job_id), job_revision),),
                (ports.Put(_keys.cancel_key(job_id), b'1'),),
            )
        )

    async def _commit(
        self, batch: ports.Batch
    ) -> expression.Result[bool, errors.Failure]:
        """Repeat a write until it is certain or the store is down.

        Return False if its guard does not hold.
        """
        failure = _outages.failure(self._store.silent_s)
        while not self._store.is_down:
            reply = await self._store.commit(batch)
            if reply.is_ok():
                return expression.Ok(reply.ok.applied)
            failure = reply.error
            await self._timer.sleep(_RETRY_S)
        return expression.Error(failure)


def _may_cancel(item: ports.StoredValue, caller: str) -> bool:
    """Return whether a client account may cancel a stored job."""
    try:
        return document.owner(item.value) in ('', caller)
    except decoding.UnreadableError:
        # Not a valid job: nothing runs under the identifier.
        return True
