"""The list of workers, and what its changes say of their lives."""

from __future__ import annotations

import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _lease
from walnutpoint_scheduler import _links
from walnutpoint_scheduler import _roster
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

__all__ = ('Directory',)

_LOG: typing.Final = logs.get_logger('directory')
_WATCH_S: typing.Final = 2.0
_RETRY_S: typing.Final = 0.3
# A life that is over, holds nothing and is not listed is forgotten then.
_FORGET_S: typing.Final = 30.0


class Directory:
    """Adds, updates and buries workers as the list changes."""

    __slots__ = (
        '_context',
        '_ends',
        '_links',
        '_opened',
        '_revision',
        '_source',
    )

    def __init__(
        self,
        context: _context.Context,
        source: ports.WorkerDirectory,
        ends: _ends.EndDesk,
        links: _links.WorkerLinks,
    ) -> None:
        self._context = context
        self._source = source
        self._ends = ends
        self._links = links
        self._revision = 0
        self._opened: set[str] = set()

    async def read(self) -> bool:
        """Read the whole list once, and tell whether it was read."""
        listing = await self._source.fetch()
        if listing.is_error():
            return False
        self._revision = listing.ok.revision
        self._apply(listing.ok)
        return True

    def open_links(self) -> None:
        """Follow every known worker that is not followed yet."""
        for worker in list(self._context.roster.workers.values()):
            if worker.worker_id in self._opened:
                continue
            if worker.listed.address:
                self._opened.add(worker.worker_id)
                self._links.open(worker)

    async def follow(self) -> None:
        """Apply changes of the list until cancelled."""
        while True:
            changed = await self._source.wait(self._revision, _WATCH_S)
            if not changed:
                await self._context.timer.sleep(_RETRY_S)
            if await self.read():
                self.open_links()
            self._check_unlisted()

    def _apply(self, listing: ports.WorkerListing) -> None:
        context = self._context
        roster = context.roster
        listed_ids = set()
        for listed in listing.workers:
            listed_ids.add(listed.worker_id)
            worker = roster.get(listed.worker_id)
            if worker is None:
                self._add(listed)
                continue
            if listed.draining and not worker.listed.draining:
                _LOG.info(
                    'worker.draining',
                    worker=listed.worker_id,
                    remaining_s=listed.remaining_s,
                    runs=len(worker.runs),
                )
            worker.relist(listed)
            if worker.unlisted_s is not None:
                worker.unlisted_s = None
                worker.expelled = False
                roster.add(worker)
        now_s = context.timer.now_s()
        for worker in roster.workers.values():
            if worker.worker_id in listed_ids or worker.unlisted_s:
                continue
            worker.unlisted_s = now_s
            _LOG.info(
                'worker.unlisted',
                worker=worker.worker_id,
                answering=worker.answering,
                runs=len(worker.runs),
            )
        context.wake()

    def _add(self, listed: cell.ListedWorker) -> None:
        context = self._context
        worker = _roster.WorkerState(
            listed,
            _lease.WorkerLease(context.settings.lease_s, context.started_s),
        )
        context.roster.add(worker)
        context.health.watch(listed.worker_id)
        _LOG.info(
            'worker.listed',
            worker=listed.worker_id,
            address=listed.address,
            pool=listed.pool,
            rack=listed.rack,
            cpu_millicores=listed.capacity.cpu_millicores,
            draining=listed.draining,
        )

    def _check_unlisted(self) -> None:
        """Give up on lives that are not listed.

        Entries lapse while the store is away and are back soon after it: a
        worker that answers is given work until that time is over.
        """
        context = self._context
        now_s = context.timer.now_s()
        for worker in list(context.roster.workers.values()):
            if worker.unlisted_s is None:
                continue
            absent_s = now_s - worker.unlisted_s
            if absent_s > context.settings.unlisted_s:
                worker.expelled = True
            if worker.answering:
                continue
            if not worker.listed.address and worker.lease.lapsed(now_s):
                self._ends.bury(worker, 'not listed, and its lease lapsed')
            idle = not worker.runs and worker.lease.lapsed(now_s)
            if idle and absent_s > _FORGET_S:
                worker.gone = True
            if worker.gone and not worker.runs:
                context.roster.remove(worker.worker_id)
                context.health.forget(worker.worker_id)
