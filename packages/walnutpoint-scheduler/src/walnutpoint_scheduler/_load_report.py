"""Logs the load of pools and client accounts periodically."""

from __future__ import annotations

import collections
import typing

from walnutpoint_core import logs
from walnutpoint_core import resources
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _state

__all__ = ('LoadReport',)

_LOG: typing.Final = logs.get_logger('load')
_PERIOD_S: typing.Final = 2.0
# Most accounts logged per report.
_ACCOUNTS_MAX: typing.Final = 20


class _Pool:
    """The capacity and use of one pool."""

    __slots__ = ('capacity', 'closed', 'runs', 'used', 'workers')

    def __init__(self) -> None:
        self.capacity = resources.Resources()
        self.used = resources.Resources()
        self.workers = 0
        self.closed = 0
        self.runs = 0


class LoadReport:
    """Logs a line for each pool and for the accounts with most runs.

    They show whether tasks wait for capacity or for an account's limit, or
    workers are idle.
    """

    __slots__ = ('_context',)

    def __init__(self, context: _context.Context) -> None:
        self._context = context

    async def run(self) -> None:
        """Report until cancelled."""
        async for _ in self._context.timer.subscribe(lambda: _PERIOD_S):
            self._report()
            self._report_accounts()

    def _report(self) -> None:
        waiting = self._waiting_by_pool()
        for name, pool in self._pools().items():
            capacity = pool.capacity
            causes = waiting.get(name, collections.Counter())
            _LOG.info(
                'pool.load',
                pool=name,
                workers=pool.workers,
                closed=pool.closed,
                runs=pool.runs,
                cpu=_used_share(
                    pool.used.cpu_millicores, capacity.cpu_millicores
                ),
                memory=_used_share(pool.used.memory_mb, capacity.memory_mb),
                accelerators=_used_share(
                    pool.used.accelerators, capacity.accelerators
                ),
                waiting=sum(causes.values()),
                causes=','.join(
                    f'{cause}={count}' for cause, count in causes.most_common()
                )
                or '-',
            )

    def _report_accounts(self) -> None:
        context = self._context
        usage = context.roster.usage
        open_jobs: collections.Counter[str] = collections.Counter()
        beyond: collections.Counter[str] = collections.Counter()
        for job in context.open_jobs.values():
            open_jobs[job.document.account] += 1
            beyond[job.document.account] += not job.is_owed
        by_run_count = list(context.cell.accounts or ())
        by_run_count.sort(key=lambda account: -usage.run_count(account.name))
        for account in by_run_count[:_ACCOUNTS_MAX]:
            if not open_jobs[account.name] and not usage.run_count(
                account.name
            ):
                continue
            used = usage.used(account.name)
            _LOG.info(
                'account.load',
                account=account.name,
                runs=usage.run_count(account.name),
                cpu_millicores=used.cpu_millicores,
                memory_mb=used.memory_mb,
                limit_millicores=account.limit.cpu_millicores,
                limit_memory_mb=account.limit.memory_mb,
                weight=account.weight,
                open=open_jobs[account.name],
                beyond=beyond[account.name],
            )

    def _pools(self) -> dict[str, _Pool]:
        pools: dict[str, _Pool] = {}
        for worker in self._context.roster.workers.values():
            pool = pools.setdefault(worker.listed.pool, _Pool())
            pool.workers += 1
            pool.closed += not worker.accepts_starts
            pool.runs += len(worker.runs)
            pool.used += worker.booked
            pool.capacity += worker.listed.capacity
        return pools

    def _waiting_by_pool(self) -> dict[str, collections.Counter[str]]:
        """Return the number of waiting tasks by pool and cause."""
        waiting: dict[str, collections.Counter[str]] = {}
        for job in self._context.open_jobs.values():
            pool = self._context.queue_of(job).pool
            for step in job.steps():
                if step.ready_s is None or step.done:
                    continue
                tasks = sum(
                    task.state is _state.TaskState.WAITING
                    for task in step.tasks
                )
                if tasks:
                    causes = waiting.setdefault(pool, collections.Counter())
                    causes[step.wait_cause or 'pass'] += tasks
        return waiting


def _used_share(used: int, capacity: int) -> float:
    return round(used / capacity, 3) if capacity else 0.0
