"""Publishes the work that waits in a term for the other processes."""

from __future__ import annotations

import typing
import zlib

import msgspec

from walnutpoint_core import logs
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler.admission import _scan
from walnutpoint_scheduler.admission import _service_rate
from walnutpoint_scheduler.admission import _waiting_work

__all__ = (
    'Publisher',
    'checksum',
)

_LOG: typing.Final = logs.get_logger('admission')
_PERIOD_S: typing.Final = 0.25
# A scan takes at most this share of the scheduler's core.
_CORE_SHARE_MAX: typing.Final = 0.05
_LOG_PERIOD_S: typing.Final = 2.0
# It is part of every answer to a probe.
_SIZE_MAX_BYTES: typing.Final = 1000
_ACCOUNTS_MAX: typing.Final = 32


class Publisher:
    """Computes the backlog periodically, from the restored term on.

    A new term has seen no work being done, and publishes nothing until its
    service rates are known.
    """

    __slots__ = (
        '_computed_s',
        '_context',
        '_logged_s',
        '_rates',
        '_scan',
        '_version',
        'encoded',
    )

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._scan = _scan.Scan(context)
        self._rates: dict[_scan.PoolPriority, _service_rate.ServiceRate] = {}
        self._version = 0
        self._computed_s = 0.0
        self._logged_s = -_LOG_PERIOD_S
        # The newest backlog as a message; empty if little work waits.
        self.encoded = b''

    @property
    def age_s(self) -> float:
        """Return the age of the newest backlog."""
        return self._context.timer.now_s() - self._computed_s

    async def run(self) -> None:
        """Recompute the backlog until cancelled."""
        timer = self._context.timer
        while True:
            began_s = timer.now_s()
            try:
                await self.update()
            except Exception as error:
                # Without a figure every job is accepted.
                self.encoded = b''
                _LOG.exception('admission.failed', error=repr(error))
            took_s = timer.now_s() - began_s
            await timer.sleep(max(_PERIOD_S, took_s / _CORE_SHARE_MAX))

    async def update(self) -> None:
        """Compute the backlog from the current state of the term."""
        now_s = self._context.timer.now_s()
        pools = await self._pools(now_s)
        self._computed_s = now_s
        self._version += 1
        if not pools:
            self.encoded = b''
            return
        self.encoded = _encode(self._version, self._accounts_beyond(), pools)
        if now_s - self._logged_s >= _LOG_PERIOD_S:
            self._logged_s = now_s
            self._log(pools)

    async def _pools(self, now_s: float) -> list[_messages.PoolBacklog]:
        loads = await self._scan.loads()
        # Without a load the next one is measured afresh.
        self._rates = {
            key: self._rates.get(key) or _service_rate.ServiceRate()
            for key in loads
        }
        backlogs = []
        for key, load in loads.items():
            measured = self._rates[key]
            measured.record(
                now_s,
                load.done_pool_s,
                load.used_share,
                load.waiting_pool_s,
                load.task_s,
            )
            rate = measured.rate(now_s)
            if rate:
                backlogs.append(await self._backlog(key, load, rate))
        return backlogs

    async def _backlog(
        self, key: _scan.PoolPriority, load: _scan.Load, rate: float
    ) -> _messages.PoolBacklog:
        pool, priority = key
        context = self._context
        jobs = await load.jobs(context.run_times)
        return _messages.PoolBacklog(
            pool,
            priority,
            load.capacity.cpu_millicores,
            load.capacity.memory_mb,
            load.capacity.accelerators,
            rate,
            _waiting_work.summarize(
                jobs, context.now_ms(), context.settings.policies.owed_first
            ),
        )

    def _accounts_beyond(self) -> tuple[int, ...]:
        """Return the accounts of which a job now would be beyond the rate."""
        context = self._context
        if not context.settings.policies.owed_first:
            return ()
        now_ms = context.now_ms()
        known = {}
        for job in context.open_jobs.values():
            account = context.account_of(job)
            if account is not None:
                known[account.name] = account
        beyond = [
            name
            for name, account in known.items()
            if context.entitlement.would_deny(account, now_ms)
        ]
        return tuple(checksum(name) for name in beyond[:_ACCOUNTS_MAX])

    def _log(self, pools: list[_messages.PoolBacklog]) -> None:
        for backlog in pools:
            _LOG.info(
                'admission.backlog',
                pool=backlog.pool,
                priority=backlog.priority,
                rate=round(backlog.rate, 3),
                jobs=sum(row.jobs for row in backlog.work),
                work_pool_ms=sum(row.work_pool_ms for row in backlog.work),
                bytes=len(self.encoded),
                version=self._version,
                token=self._context.token,
            )


def checksum(account: str) -> int:
    """Return a short value that identifies an account in messages."""
    return zlib.crc32(account.encode())


def _encode(
    version: int,
    accounts_beyond: tuple[int, ...],
    pools: list[_messages.PoolBacklog],
) -> bytes:
    """Encode as many pools as the size permits, the fullest first."""
    pools.sort(key=lambda backlog: -sum(r.work_pool_ms for r in backlog.work))
    for count in range(len(pools), 0, -1):
        encoded = msgspec.msgpack.encode(
            _messages.Backlog(version, accounts_beyond, tuple(pools[:count]))
        )
        if len(encoded) <= _SIZE_MAX_BYTES:
            return encoded
    return b''
