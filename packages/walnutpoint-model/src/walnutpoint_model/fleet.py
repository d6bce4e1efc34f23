"""The network between schedulers and workers, and the workers' listing."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import typing

import anyio
import expression

from walnutpoint_core import errors
from walnutpoint_model import ledger as ledgers
from walnutpoint_model import workers
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports
from walnutpoint_scheduler import settings

__all__ = ('Fleet',)

_TRANSIT_S: typing.Final = 0.001
_NO_REPLY_DELAY_S: typing.Final = 0.3
_LATE_DELAY_RANGE_S: typing.Final = (2.0, 12.0)
_POLL_INTERVAL_S: typing.Final = 0.02
_FIRST_BORN_MS: typing.Final = 1_700_000_000_000
# Three heartbeats at 1.5 s intervals.
_ENTRY_TTL_S: typing.Final = 4.5
_UNREACHABLE: typing.Final = expression.Error(
    errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE, 'the list is frozen')
)


class Fleet:
    """Delivers orders to workers over a network with faults."""

    __slots__ = (
        '_born_ms',
        '_is_list_hidden',
        '_refusing_addresses',
        '_revision',
        '_stale_entries',
        '_unlisted',
        'calls',
        'fails_run',
        'is_frozen',
        'ledger',
        'order_timeout_s',
        'workers',
    )

    def __init__(self) -> None:
        self.workers: dict[str, workers.Worker] = {}
        self.ledger = ledgers.Ledger()
        self.calls = 0
        self.order_timeout_s = settings.SchedulerSettings().order_timeout_s
        self._revision = 1
        # Start of the newest incarnation; zero if starts are not reported.
        self._born_ms = _FIRST_BORN_MS
        self._stale_entries: list[cell.ListedWorker] = []
        # Addresses that refuse connections.
        self._refusing_addresses: set[str] = set()
        # Workers that are not listed yet.
        self._unlisted: set[str] = set()
        self._is_list_hidden = False
        # Whether the listing can be neither written nor read.
        self.is_frozen = False
        # Which runs end failed, on any worker.
        self.fails_run: collections.abc.Callable[[ports.RunName], bool] = (
            lambda _run: False
        )

    def add(
        self,
        listed: cell.ListedWorker,
        run_time: workers.RunTime,
        seed: int = 1,
        listed_after_s: float = 0.0,
    ) -> workers.Worker:
        """Add a worker, or a new incarnation of one that has ended.

        Until its entry is written, that of a former incarnation stays.
        """
        if self._born_ms:
            self._born_ms += 1
            listed = dataclasses.replace(listed, born_ms=self._born_ms)
        worker = workers.Worker(listed, run_time, self.ledger, seed)
        worker.fails_run = lambda run: self.fails_run(run)
        self.workers[listed.worker_id] = worker
        if listed_after_s:
            self._unlisted.add(listed.worker_id)
            asyncio.get_running_loop().call_later(
                listed_after_s, self._write_entry, listed.worker_id
            )
        self._refusing_addresses.discard(listed.address)
        self._revision += 1
        return worker

    def _write_entry(self, worker_id: str) -> None:
        self._unlisted.discard(worker_id)
        self._revision += 1

    def expire_entry(self, worker_id: str, absent_s: float) -> None:
        """Drop a worker's entry for a time, as without its heartbeats."""
        self._unlisted.add(worker_id)
        self._revision += 1
        asyncio.get_running_loop().call_later(
            absent_s, self._write_entry, worker_id
        )

    def step_clock(self, by_ms: int) -> None:
        """Shift the wall clock that stamps the starts of later workers."""
        self._born_ms += by_ms

    def omit_start_times(self) -> None:
        """Omit the start time of workers that are added later."""
        self._born_ms = 0

    def remove(self, worker_id: str) -> None:
        """Crash a worker and remove its entry at once."""
        self.workers.pop(worker_id).crash()
        self._revision += 1

    def crash(self, worker_id: str) -> cell.ListedWorker:
        """Crash a worker without removing its entry.

        Its address refuses connections; the entry stays until it expires.
        """
        worker = self.workers.pop(worker_id)
        worker.crash()
        self._refusing_addresses.add(worker.listed.address)
        self._stale_entries.append(worker.listed)
        asyncio.get_running_loop().call_later(
            _ENTRY_TTL_S, self._remove_entry, worker.listed
        )
        return worker.listed

    def _remove_entry(self, listed: cell.ListedWorker) -> None:
        self._stale_entries.remove(listed)
        self._revision += 1

    def update_entry(self, listed: cell.ListedWorker) -> None:
        """Replace a worker's entry."""
        self.workers[listed.worker_id].listed = listed
        self._revision += 1

    def list_former_incarnation(self, listed: cell.ListedWorker) -> None:
        """List an ended incarnation beside the live one at its address."""
        self._stale_entries.append(listed)
        self._revision += 1

    def set_list_hidden(self, is_hidden: bool) -> None:
        """Hide all entries, or show them again."""
        self._is_list_hidden = is_hidden
        self._revision += 1

    def _is_replaced(self, worker: cell.ListedWorker) -> bool:
        return worker.worker_id not in self.workers and any(
            live.listed.address == worker.address
            for live in self.workers.values()
        )

    async def start(
        self, worker: cell.ListedWorker, order: ports.Start
    ) -> ports.OrderReply:
        """Start a run."""
        live = self.workers.get(worker.worker_id)
        if live is not None and live.swallows_starts:
            await anyio.sleep(self.order_timeout_s)
            return ports.OrderReply(ports.OrderOutcome.UNKNOWN)
        return await self._deliver(worker, lambda w: w.start(order))

    async def stop(
        self, worker: cell.ListedWorker, run: ports.RunName, token: int
    ) -> ports.OrderReply:
        """Stop a run."""
        return await self._deliver(
            worker, lambda w: w.stop(run, token), is_stop=True
        )

    async def pace(
        self,
        worker: cell.ListedWorker,
        run: ports.RunName,
        percent: int,
        token: int,
    ) -> ports.OrderReply:
        """Accept and ignore a change of a run's pace."""
        return ports.OrderReply(ports.OrderOutcome.DONE)

    async def renew(
        self, worker: cell.ListedWorker, order: ports.Renewal
    ) -> ports.Report | ports.OrderReply:
        """Renew a lease and return the report."""
        live = await self._reach(worker)
        if isinstance(live, ports.OrderReply):
            return live
        return await live.renew(order)

    def disconnect(self, worker: cell.ListedWorker) -> None:
        """Do nothing: the model has no connections."""

    async def fetch(
        self,
    ) -> expression.Result[ports.WorkerListing, errors.Failure]:
        """Return every listed worker."""
        await anyio.sleep(_TRANSIT_S)
        if self.is_frozen:
            return _UNREACHABLE
        return expression.Ok(
            ports.WorkerListing(
                self._listed(),
                self._revision,
            )
        )

    def _listed(self) -> tuple[cell.ListedWorker, ...]:
        if self._is_list_hidden:
            return ()
        entries = {listed.worker_id: listed for listed in self._stale_entries}
        for worker_id, worker in self.workers.items():
            if worker_id not in self._unlisted:
                entries[worker_id] = worker.listed
        return tuple(entries.values())

    async def changes(
        self, revision: int, wait_s: float
    ) -> expression.Result[ports.WorkerChanges | None, errors.Failure]:
        """Wait for a change; None makes the scheduler read the whole list."""
        if self.is_frozen:
            return _UNREACHABLE
        end_s = _now_s() + wait_s
        while self._revision == revision and _now_s() < end_s:
            await anyio.sleep(_POLL_INTERVAL_S)
        return expression.Ok(None)

    async def _reach(
        self, worker: cell.ListedWorker
    ) -> workers.Worker | ports.OrderReply:
        """Return the worker that a call reaches, or the failed reply."""
        self.calls += 1
        int(
            worker.address.rpartition(':')[2]
        )  # Reject an address without a port.
        await anyio.sleep(_TRANSIT_S)
        if self._is_replaced(worker):
            return ports.OrderReply(ports.OrderOutcome.OTHER_INCARNATION)
        if worker.address in self._refusing_addresses:
            return ports.OrderReply(ports.OrderOutcome.UNSENT)
        live = self.workers.get(worker.worker_id)
        if live is None or live.is_cut_off:
            await anyio.sleep(_NO_REPLY_DELAY_S)
            return ports.OrderReply(ports.OrderOutcome.UNKNOWN)
        return live

    async def _deliver(
        self,
        worker: cell.ListedWorker,
        operation: collections.abc.Callable[
            [workers.Worker], ports.OrderReply
        ],
        *,
        is_stop: bool = False,
    ) -> ports.OrderReply:
        live = await self._reach(worker)
        if isinstance(live, ports.OrderReply):
            return live
        may_be_late = live.stops_are_late or not is_stop
        if may_be_late and live.random.random() < live.late_share:
            asyncio.get_running_loop().call_later(
                live.random.uniform(*_LATE_DELAY_RANGE_S),
                self._execute_late,
                worker,
                operation,
            )
            await anyio.sleep(self.order_timeout_s)
            return ports.OrderReply(ports.OrderOutcome.UNKNOWN)
        reply = operation(live)
        if live.random.random() < live.loses_answers_share:
            await anyio.sleep(self.order_timeout_s)
            return ports.OrderReply(ports.OrderOutcome.UNKNOWN)
        await anyio.sleep(_TRANSIT_S)
        return reply

    def _execute_late(
        self,
        worker: cell.ListedWorker,
        operation: collections.abc.Callable[
            [workers.Worker], ports.OrderReply
        ],
    ) -> None:
        """Execute a late order on the worker of that name and address."""
        live = self.workers.get(worker.worker_id)
        if live is not None and live.listed.address == worker.address:
            operation(live)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
