"""Follows the worker directory and applies its changes."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _incarnation
from walnutpoint_scheduler import _links
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

__all__ = ('Directory',)

_LOG: typing.Final = logs.get_logger('directory')
_WATCH_WAIT_S: typing.Final = 2.0
_RETRY_S: typing.Final = 0.3
# Period of rereading the whole list, as a watch may miss a change: minimum,
# and per worker. At some 300 bytes an entry, a large list takes 15 kB/s of
# the scheduler's link.
_REREAD_MIN_S: typing.Final = 2.0
_REREAD_PER_WORKER_S: typing.Final = 0.02
# Delay of the next watch after one without changes, as most entry writes are
# heartbeats. Draining must still be noticed before the worker refuses starts.
_WATCH_PAUSE_S: typing.Final = 0.25
# Unlisted incarnations that have ended or are idle are dropped after this.
_FORGET_AFTER_S: typing.Final = 30.0


class Directory:
    """Adds, updates and removes workers as the list changes."""

    __slots__ = (
        '_context',
        '_ends',
        '_last_read_s',
        '_links',
        '_revision',
        '_source',
    )

    def __init__(
        self,
        context: _context.Context,
        source: ports.WorkerDirectory,
        ends: _ends.EndHandler,
        links: _links.WorkerLinks,
    ) -> None:
        self._context = context
        self._source = source
        self._ends = ends
        self._links = links
        self._revision = 0
        self._last_read_s = 0.0

    async def read(self) -> bool:
        """Fetch the whole list, and return whether that succeeded."""
        listing = await self._source.fetch()
        if listing.is_error():
            return False
        self._revision = listing.ok.revision
        self._last_read_s = self._context.timer.now_s()
        self._apply_listing(listing.ok)
        return True

    def open_links(self) -> None:
        """Open a link to every known worker that has none."""
        for worker in list(self._context.roster.workers.values()):
            if worker.listed.address and not worker.has_link:
                self._links.open(worker)

    async def follow(self) -> None:
        """Apply changes of the list until cancelled."""
        timer = self._context.timer
        while True:
            changes = await self._source.changes(self._revision, _WATCH_WAIT_S)
            if changes.is_error():
                await timer.sleep(_RETRY_S)
            has_changed = True
            if changes.is_ok() and changes.ok is not None:
                has_changed = self._apply_changes(changes.ok)
            if (
                changes.is_error()
                or changes.ok is None
                or self._is_reread_due()
            ):
                await self.read()
            self.open_links()
            self._check_unlisted()
            if not has_changed:
                await timer.sleep(_WATCH_PAUSE_S)

    def _is_reread_due(self) -> bool:
        """Return whether the whole list is due to be fetched again."""
        count = len(self._context.roster.workers)
        age_s = self._context.timer.now_s() - self._last_read_s
        return age_s >= max(_REREAD_MIN_S, count * _REREAD_PER_WORKER_S)

    def _apply_listing(self, listing: ports.WorkerListing) -> None:
        listed_ids = set()
        for listed in listing.workers:
            listed_ids.add(listed.worker_id)
            self._apply_entry(listed)
        for worker in self._context.roster.workers.values():
            if worker.worker_id not in listed_ids:
                self._mark_unlisted(worker)
        self._cordon(listing.unreadable)
        self._context.wake()

    def _apply_changes(self, changes: ports.WorkerChanges) -> bool:
        """Apply changes, and return whether any was more than a heartbeat."""
        self._revision = changes.revision
        changed = [self._apply_entry(listed) for listed in changes.workers]
        for worker_id in changes.removed:
            worker = self._context.roster.get(worker_id)
            if worker is not None:
                changed.append(self._mark_unlisted(worker))
        self._cordon(changes.unreadable)
        if any(changed):
            self._context.wake()
        return any(changed)

    def _apply_entry(self, listed: cell.ListedWorker) -> bool:
        """Apply an entry, and return whether it brought a change."""
        worker = self._context.roster.get(listed.worker_id)
        if worker is None or _is_successor(worker, listed):
            self._add(listed)
            return True
        if _incarnation.differ(worker.born_ms, listed.born_ms):
            return self._note_restart(worker, listed)
        worker.next_listed = None
        if listed.draining and not worker.listed.draining:
            _LOG.info(
                'worker.draining',
                worker=listed.worker_id,
                remaining_s=listed.remaining_s,
                runs=len(worker.runs),
            )
        before = dataclasses.replace(worker.listed, clock_ms=listed.clock_ms)
        has_changed = before != listed or worker.unlisted_since_s is not None
        self._context.roster.update_entry(worker, listed)
        was_old = worker.is_entry_stale
        self._context.roster.check_entry_age(
            worker,
            self._context.timer.now_s(),
            self._context.settings.entry_trusted_s,
        )
        has_changed = has_changed or was_old != worker.is_entry_stale
        if worker.unlisted_since_s is not None:
            worker.unlisted_since_s = None
            worker.cordoned = False
            self._context.roster.add(worker)
        return has_changed

    def _note_restart(
        self, worker: _worker.WorkerState, listed: cell.ListedWorker
    ) -> bool:
        """Record another incarnation's entry, and return whether it is new.

        Only its report shows what became of the runs on this one. An entry
        older than this one's start is outdated.
        """
        if listed.born_ms < typing.cast(int, worker.born_ms):
            return False
        known, worker.next_listed = worker.next_listed, listed
        if known is not None and known.born_ms == listed.born_ms:
            return False
        _LOG.info(
            'worker.restart_listed',
            worker=listed.worker_id,
            address=listed.address,
            born_ms=listed.born_ms,
            known_born_ms=worker.born_ms,
            runs=len(worker.runs),
        )
        self._context.spawn(self._links.request_report, worker)
        return True

    def _cordon(self, worker_ids: collections.abc.Iterable[str]) -> None:
        """Cordon workers whose entries can't be decoded.

        Their runs continue, as the worker may be healthy and the entry
        written by somebody else, but their capacity is unknown.
        """
        for worker_id in worker_ids:
            worker = self._context.roster.get(worker_id)
            if worker is not None:
                worker.cordoned = True

    def _mark_unlisted(self, worker: _worker.WorkerState) -> bool:
        """Mark a worker as unlisted, and return whether it was listed."""
        if worker.unlisted_since_s is not None:
            return False
        worker.unlisted_since_s = self._context.timer.now_s()
        _LOG.info(
            'worker.unlisted',
            worker=worker.worker_id,
            answering=worker.answering,
            runs=len(worker.runs),
        )
        return True

    def _add(self, listed: cell.ListedWorker) -> None:
        context = self._context
        worker = _worker.WorkerState(listed, context.new_lease())
        context.roster.add(worker)
        context.health.watch(listed.worker_id)
        _LOG.info(
            'worker.listed',
            worker=listed.worker_id,
            address=listed.address,
            pool=listed.pool,
            rack=listed.rack,
            labels=','.join(listed.labels) or '-',
            cpu_millicores=listed.capacity.cpu_millicores,
            draining=listed.draining,
            born_ms=listed.born_ms,
        )

    def _check_unlisted(self) -> None:
        """Cordon and drop workers that are not listed.

        Entries expire while the store is down and return soon after it: an
        answering worker gets work until that grace period is over.
        """
        context = self._context
        now_s = context.timer.now_s()
        context.roster.prune(now_s - _FORGET_AFTER_S)
        for worker in list(context.roster.workers.values()):
            if worker.unlisted_since_s is None:
                continue
            absent_s = now_s - worker.unlisted_since_s
            if absent_s > context.settings.unlisted_s:
                worker.cordoned = True
            if worker.answering:
                continue
            if not worker.listed.address and worker.lease.has_expired(now_s):
                self._ends.mark_gone(
                    worker, 'not listed, and its lease lapsed', is_over=False
                )
            idle = not worker.runs and worker.lease.has_expired(now_s)
            if idle and absent_s > _FORGET_AFTER_S and not worker.gone:
                self._ends.forget(worker)
            if worker.gone and not worker.runs:
                context.roster.remove(worker.worker_id)
                context.health.forget(worker.worker_id)
                context.forget_speed(worker.worker_id)


def _is_successor(
    worker: _worker.WorkerState, listed: cell.ListedWorker
) -> bool:
    """Return whether an entry is of the successor of a lost incarnation."""
    known_ms = worker.incarnation.born_ms
    return (
        worker.gone
        and _incarnation.differ(known_ms, listed.born_ms)
        and listed.born_ms > known_ms
    )
