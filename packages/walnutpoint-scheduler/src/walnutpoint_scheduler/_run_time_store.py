"""Carries the run time estimates over a takeover."""

from __future__ import annotations

import math
import typing

from walnutpoint_core import logs
from walnutpoint_core import ports as core_ports
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import estimates

__all__ = ('RunTimeStore',)

_LOG: typing.Final = logs.get_logger('estimates')
# A lost snapshot costs a successor the last seconds of learning only.
_WRITE_PERIOD_S: typing.Final = 5.0
# A successor needs the estimates within its first second.
_READ_RETRY_S: typing.Final = 0.3
# Entries that expired while the store was down return within this time of the
# first listing. Estimates of workers that are still missing are dropped then.
_LISTED_WITHIN_S: typing.Final = 10.0
# Each write fails while the store is down.
_FAILURE_LOG_PERIOD_S: typing.Final = 60.0
# The longest value that the store takes.
_VALUE_MAX_BYTES: typing.Final = 64 * 1024


class RunTimeStore:
    """Reads the snapshot of the previous term, then writes its own.

    Nothing waits for it: without a snapshot the estimates start afresh.
    """

    __slots__ = (
        '_context',
        '_failure_logged_s',
        '_listed_s',
        '_observed',
        '_store',
    )

    def __init__(
        self,
        context: _context.Context,
        observed: estimates.ObservedRunTimes,
        store: core_ports.WatchableStore,
    ) -> None:
        self._context = context
        self._observed = observed
        self._store = store
        # When the first listing was seen.
        self._listed_s: float | None = None
        self._failure_logged_s = -math.inf

    async def run(self) -> None:
        """Read once the store answers, then write until cancelled."""
        while not await self._read():
            await self._context.timer.sleep(_READ_RETRY_S)
        async for _ in self._context.timer.subscribe(lambda: _WRITE_PERIOD_S):
            await self._write()

    async def _read(self) -> bool:
        """Take the snapshot over, and return whether the store answered."""
        item = await self._store.get(_keys.ESTIMATES)
        if item.is_error():
            return False
        if item.ok is None:
            self._log_restart('absent')
            return True
        try:
            workers = self._observed.restore(item.ok.value)
        except estimates.UnreadableError as error:
            self._log_restart(str(error))
            return True
        _LOG.info(
            'estimates.restored',
            workers=workers,
            size_bytes=len(item.ok.value),
            revision=item.ok.revision,
            after_s=self._age_s(),
            token=self._context.token,
        )
        return True

    async def _write(self) -> None:
        """Write the estimates if they changed materially."""
        workers = self._context.roster.workers
        now_s = self._context.timer.now_s()
        if workers and self._listed_s is None:
            self._listed_s = now_s
        if (
            self._listed_s is not None
            and now_s - self._listed_s >= _LISTED_WITHIN_S
        ):
            self._observed.retain(workers)
        snapshot = self._observed.changed_snapshot(workers)
        if snapshot is None:
            return
        value, cut = estimates.encode_snapshot_within(
            snapshot, _VALUE_MAX_BYTES
        )
        if cut is not snapshot:
            _LOG.warning(
                'estimates.cut',
                workers=sum(len(p.workers) for p in snapshot.pools.values()),
                kept=sum(len(p.workers) for p in cut.pools.values()),
                size_bytes=len(value),
                token=self._context.token,
            )
        reply = await self._store.commit(
            core_ports.Batch(
                (core_ports.Guard(_keys.SCHEDULER, self._context.token),),
                (core_ports.Put(_keys.ESTIMATES, value),),
            )
        )
        # After any failure the next period writes newer estimates.
        if reply.is_ok() and reply.ok.applied:
            self._observed.mark_stored(snapshot)
        else:
            reason = 'deposed' if reply.is_ok() else reply.error.kind.value
            self._log_failed_write(reason, len(value))

    def _log_failed_write(self, reason: str, size_bytes: int) -> None:
        now_s = self._context.timer.now_s()
        if now_s - self._failure_logged_s < _FAILURE_LOG_PERIOD_S:
            return
        self._failure_logged_s = now_s
        _LOG.warning(
            'estimates.write_failed',
            reason=reason,
            size_bytes=size_bytes,
            token=self._context.token,
        )

    def _log_restart(self, reason: str) -> None:
        _LOG.info(
            'estimates.restarted',
            reason=reason,
            after_s=self._age_s(),
            token=self._context.token,
        )

    def _age_s(self) -> float:
        return round(self._context.timer.now_s() - self._context.started_s, 3)
