"""One host's view of the workers, from which it may be cut off."""

from __future__ import annotations

import collections.abc
import typing

import anyio
import expression

from walnutpoint_core import errors
from walnutpoint_model import fleet as fleets
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

__all__ = ('HostFleet',)

_NO_ANSWER_S: typing.Final = 0.3
_UNANSWERED: typing.Final = ports.OrderReply(ports.OrderOutcome.UNKNOWN)
_UNREACHABLE: typing.Final = expression.Error(
    errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE, 'cut off')
)
_ReplyT = typing.TypeVar('_ReplyT')


class HostFleet:
    """Carries one host's orders, unless the path to a worker is cut."""

    __slots__ = ('_fleet', 'cut_workers', 'is_listing_cut')

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        # Workers that this host does not reach.
        self.cut_workers: frozenset[str] = frozenset()
        # Whether this host can't read which workers there are.
        self.is_listing_cut = False

    async def start(
        self, worker: cell.ListedWorker, order: ports.Start
    ) -> ports.OrderReply:
        """Start a run."""
        return await self._send(
            worker, lambda: self._fleet.start(worker, order)
        )

    async def stop(
        self, worker: cell.ListedWorker, run: ports.RunName, token: int
    ) -> ports.OrderReply:
        """Stop a run."""
        return await self._send(
            worker, lambda: self._fleet.stop(worker, run, token)
        )

    async def pace(
        self,
        worker: cell.ListedWorker,
        run: ports.RunName,
        percent: int,
        token: int,
    ) -> ports.OrderReply:
        """Change a run's pace."""
        return await self._send(
            worker, lambda: self._fleet.pace(worker, run, percent, token)
        )

    async def renew(
        self, worker: cell.ListedWorker, order: ports.Renewal
    ) -> ports.Report | ports.OrderReply:
        """Renew a lease and return the report."""
        return await self._send(
            worker, lambda: self._fleet.renew(worker, order)
        )

    def disconnect(self, worker: cell.ListedWorker) -> None:
        """Close the connections to a worker."""
        self._fleet.disconnect(worker)

    async def fetch(
        self,
    ) -> expression.Result[ports.WorkerListing, errors.Failure]:
        """Return every listed worker."""
        if self.is_listing_cut:
            await anyio.sleep(_NO_ANSWER_S)
            return _UNREACHABLE
        return await self._fleet.fetch()

    async def changes(
        self, revision: int, wait_s: float
    ) -> expression.Result[ports.WorkerChanges | None, errors.Failure]:
        """Wait for a change of the listing."""
        if self.is_listing_cut:
            await anyio.sleep(_NO_ANSWER_S)
            return _UNREACHABLE
        return await self._fleet.changes(revision, wait_s)

    async def _send(
        self,
        worker: cell.ListedWorker,
        send: collections.abc.Callable[[], collections.abc.Awaitable[_ReplyT]],
    ) -> _ReplyT | ports.OrderReply:
        if worker.worker_id not in self.cut_workers:
            reply = await send()
            if worker.worker_id not in self.cut_workers:
                return reply
        await anyio.sleep(_NO_ANSWER_S)
        return _UNANSWERED
