"""Orders to stop attempts, repeated until they are confirmed."""

from __future__ import annotations

import collections.abc

import anyio.abc

from walnutpoint_core import timer as timers
from walnutpoint_entry.tasks import _cell
from walnutpoint_entry.tasks import _contact
from walnutpoint_entry.tasks import _contacts
from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _reports
from walnutpoint_entry.tasks import _wire
from walnutpoint_entry.tasks import _worker

__all__ = ('Stops', 'latest_report')

_PHASE = _entry.Phase


class Stops:
    """Order stops of known attempts and of stray ones."""

    __slots__ = (
        '_allocator',
        '_links',
        '_reports',
        '_tasks',
        '_timer',
        '_times',
        '_wake',
        '_workers',
    )

    def __init__(
        self,
        timer: timers.Timer,
        times: _contact.LeaseTimes,
        workers: _worker.Workers,
        allocator: _cell.Allocator,
        links: _contacts.WorkerLinks,
        reports: _reports.Reports,
        tasks: anyio.abc.TaskGroup,
        wake: collections.abc.Callable[[], None],
    ) -> None:
        self._timer = timer
        self._times = times
        self._workers = workers
        self._allocator = allocator
        self._links = links
        self._tasks = tasks
        self._wake = wake
        self._reports = reports

    async def stop(self, entry: _entry.Entry) -> _model.TaskReport:
        """Send one stop order; repeat() does so until it is confirmed."""
        link = self._links.find(entry.worker)
        if (
            link is None
            or not self._allocator.is_live(entry)
            or entry.is_stop_in_progress
            or entry.phase is _PHASE.STARTING
        ):
            return latest_report(self._allocator, entry)
        entry.is_stop_in_progress = True
        entry.repeat_stop_at_s = self._timer.now_s() + self._times.retry_s
        order = _wire.StopOrder(
            key=entry.key,
            attempt=entry.attempt,
            mode=entry.stop_mode or _model.StopMode.STOP,
            grace_s=self._times.checkpoint_grace_s,
            epoch=link.epoch,
        )
        try:
            replied = await self._workers.stop(
                entry.worker, order, lambda: self._links.may_act(link)
            )
        finally:
            entry.is_stop_in_progress = False
            link.schedule_by(self._timer.now_s() + self._times.retry_s)
            self._wake()
        if replied.is_ok() and self._links.is_current(link):
            self._reports.apply(link, replied.ok)
        return latest_report(self._allocator, entry)

    def stop_in_background(
        self, entry: _entry.Entry, mode: _model.StopMode, grace_s: float
    ) -> None:
        """Record a stop and send its order from another task."""
        self.request_stop(entry, mode, grace_s)
        self._tasks.start_soon(self.stop, entry)

    def request_stop(
        self, entry: _entry.Entry, mode: _model.StopMode, grace_s: float
    ) -> None:
        """Record a stop; after the grace it is without a checkpoint."""
        if entry.stop_mode is _model.StopMode.STOP:
            return
        if entry.stop_mode is None:
            entry.checkpoint_until_s = self._timer.now_s() + grace_s
        entry.stop_mode = mode

    def repeat(self, entry: _entry.Entry, now_s: float) -> None:
        """Repeat a stop order that is due and not confirmed."""
        if entry.stop_mode is None or entry.is_stop_in_progress:
            return
        if now_s >= entry.checkpoint_until_s:
            entry.stop_mode = _model.StopMode.STOP
        elif now_s < entry.repeat_stop_at_s:
            return
        self._tasks.start_soon(self.stop, entry)

    async def stop_stray(
        self, link: _contact.WorkerLink, name: _wire.Attempt
    ) -> None:
        """Send one stop order for an attempt that must not run."""
        order = _wire.StopOrder(
            key=name.key,
            attempt=name.attempt,
            mode=_model.StopMode.STOP,
            grace_s=0.0,
            epoch=link.epoch,
        )
        await self._workers.stop(
            link.worker, order, lambda: self._links.may_act(link)
        )


def latest_report(
    allocator: _cell.Allocator, entry: _entry.Entry
) -> _model.TaskReport:
    """Return the latest report of an attempt that may have ended."""
    return allocator.ended(entry.name) or entry.report()
