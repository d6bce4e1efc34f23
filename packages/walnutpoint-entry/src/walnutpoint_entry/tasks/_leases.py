"""Leases of attempts on the owned workers, from start to lapse."""

from __future__ import annotations

import math
import typing

import anyio.abc
import expression

from walnutpoint_core import errors
from walnutpoint_core import timer as timers
from walnutpoint_entry.tasks import _cell
from walnutpoint_entry.tasks import _confirmation
from walnutpoint_entry.tasks import _contact
from walnutpoint_entry.tasks import _contacts
from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _owner
from walnutpoint_entry.tasks import _renewals
from walnutpoint_entry.tasks import _reports
from walnutpoint_entry.tasks import _stops
from walnutpoint_entry.tasks import _wire
from walnutpoint_entry.tasks import _worker

__all__ = ('Leases',)

_TICK_MIN_S: typing.Final = 0.5
_WAKE_PAUSE_S: typing.Final = 0.05
_HOLD_CHECK_INTERVAL_S: typing.Final = 1.0

_KIND = errors.ErrorKind
_PHASE = _entry.Phase
_STATE = _model.TaskState


class Leases:
    """Start, renew and stop attempts, and query workers' tasks."""

    __slots__ = (
        '_allocator',
        '_confirmation',
        '_links',
        '_renewals',
        '_reports',
        '_tasks',
        '_ticks',
        '_timer',
        '_times',
        '_workers',
        'stops',
    )

    def __init__(
        self,
        timer: timers.Timer,
        times: _contact.LeaseTimes,
        owner: _owner.Owner,
        workers: _worker.Workers,
        allocator: _cell.Allocator,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._timer = timer
        self._times = times
        self._workers = workers
        self._allocator = allocator
        self._tasks = tasks
        self._links = _contacts.WorkerLinks(owner)
        self._confirmation = _confirmation.Confirmation(timer, owner)
        self._ticks = timer.subscribe(self._pause_s)
        self._reports = _reports.Reports(
            timer,
            allocator,
            lambda link, name: tasks.start_soon(
                self.stops.stop_stray, link, name
            ),
        )
        self.stops = _stops.Stops(
            timer,
            times,
            workers,
            allocator,
            self._links,
            self._reports,
            tasks,
            self._ticks.wake,
        )
        self._renewals = _renewals.Renewals(
            timer, times, workers, allocator, self._links, self._reports
        )

    def add_worker(self, worker: str, epoch: int) -> None:
        """Query an acquired worker's tasks before starting any there."""
        self.remove_worker(worker)
        now_s = self._timer.now_s()
        self._links.add(_contact.WorkerLink(worker, epoch, now_s, now_s))
        self._allocator.add_worker(worker)
        self._ticks.wake()

    def remove_worker(self, worker: str) -> None:
        """Stop renewing and starting tasks on a worker."""
        if self._links.remove(worker):
            self._allocator.remove_worker(worker)

    def are_inventoried(self) -> bool:
        """Return whether the tasks of every owned worker are known."""
        return all(link.is_inventoried for link in self._links.all())

    def acknowledge(self, worker: str, name: _wire.Attempt) -> None:
        """Acknowledge an ended attempt with the worker's next renewal."""
        link = self._links.find(worker)
        if link is None:
            return
        link.acknowledged.add(name)
        link.schedule_by(self._timer.now_s() + self._times.renew_period_s)

    async def run(self) -> None:
        """Renew leases, repeat stops and expire leases until cancelled."""
        async for now_s in self._ticks:
            await self.tick(now_s)
            # Each wake-up scans every attempt: frequent ones must not use
            # the whole CPU.
            await self._timer.sleep(_WAKE_PAUSE_S)

    async def tick(self, now_s: float) -> None:
        """Run the renewals and expirations that are due."""
        due = [
            link
            for link in self._links.all()
            if link.due_s <= now_s and not link.renewals_in_flight
        ]
        for link in due:
            link.due_s = now_s + self._times.retry_s
        if due:
            await self.confirm()
        for link in due:
            self._tasks.start_soon(self._renewals.renew, link)
        self._expire(self._timer.now_s())

    async def confirm(self) -> None:
        """Renew an expired confirmation by at most one poll."""
        await self._confirmation.renew()

    async def start(
        self, entry: _entry.Entry, command: tuple[str, ...]
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Start an attempt on the worker that it is allocated to."""
        link = self._links.find(entry.worker)
        if link is None:
            return _failed(_KIND.NOT_OWNER, entry.worker)
        entry.phase = _PHASE.STARTING
        entry.hold_until_s = math.inf
        replied: _worker.ReplyResult = _failed(
            _KIND.ENDPOINT_UNREACHABLE, entry.worker
        )
        try:
            if await self._refresh_clock(link):
                replied = _failed(_KIND.ANSWER_LOST, entry.worker)
                replied = await self._send_start(link, entry, command)
        finally:
            started = self._settle_start(link, entry, replied)
        if entry.stop_mode is not None and self._allocator.is_live(entry):
            await self.stops.stop(entry)
        return started

    async def resolve(
        self, entry: _entry.Entry
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Query the worker whether a doubtful attempt runs."""
        link = self._links.find(entry.worker)
        if link is not None and not link.renewals_in_flight:
            await self._renewals.renew(link)
        ended = self._allocator.ended(entry.name)
        if ended is not None:
            return expression.Ok(ended)
        if entry.phase is _PHASE.RUNNING and self._allocator.is_live(entry):
            return expression.Ok(entry.report())
        return _failed(_KIND.ANSWER_LOST, entry.worker)

    def _pause_s(self) -> float:
        """Return the time until the next renewal or expiration."""
        now_s = self._timer.now_s()
        due_s = min(
            (link.due_s for link in self._links.all()),
            default=now_s + self._times.renew_period_s,
        )
        pause_s = min(due_s - now_s, self._times.renew_period_s)
        if self._allocator.has_holds():
            pause_s = min(pause_s, _HOLD_CHECK_INTERVAL_S)
        return max(pause_s, _TICK_MIN_S)

    async def _refresh_clock(self, link: _contact.WorkerLink) -> bool:
        """Return whether a recent clock is known, after a query if not."""
        age_max_s = self._times.clock_age_max_s
        if not link.has_clock(self._timer.now_s(), age_max_s):
            await self._renewals.renew(link)
        return link.has_clock(self._timer.now_s(), age_max_s)

    async def _send_start(
        self,
        link: _contact.WorkerLink,
        entry: _entry.Entry,
        command: tuple[str, ...],
    ) -> _worker.ReplyResult:
        sent_s = self._timer.now_s()
        entry.started_s = entry.lease_sent_s = sent_s
        order = _wire.StartOrder(
            key=entry.key,
            attempt=entry.attempt,
            lease_s=self._times.lease_s,
            clock_s=link.clock_at(sent_s),
            epoch=link.epoch,
            size=entry.size,
            command=command,
            checkpoint=entry.checkpoint,
            note=entry.note,
        )
        return await self._workers.start(
            entry.worker,
            order,
            lambda: (
                self._links.may_act(link) and self._allocator.is_live(entry)
            ),
        )

    def _settle_start(
        self,
        link: _contact.WorkerLink,
        entry: _entry.Entry,
        replied: _worker.ReplyResult,
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        now_s = self._timer.now_s()
        if replied.is_ok():
            entry.phase = _PHASE.RUNNING
            if self._links.is_current(link):
                link.schedule_by(now_s + self._times.renew_period_s)
                self._reports.apply(link, replied.ok)
            return expression.Ok(_stops.latest_report(self._allocator, entry))
        failure = replied.error
        is_fault = failure.kind in _contacts.WORKER_FAULTS
        if is_fault and self._allocator.is_live(entry):
            self._allocator.health.record_failed_start(entry.worker, now_s)
            link.schedule_by(now_s)
            self._ticks.wake()
        if failure.outcome is errors.Outcome.NOT_RUN:
            self._allocator.drop(entry)
        elif self._allocator.is_live(entry):
            # The answer was lost and the task may run: its resources stay
            # allocated until the worker reports.
            entry.phase = _PHASE.DOUBTFUL
        return expression.Error(failure)

    def _expire(self, now_s: float) -> None:
        self._allocator.reservations.expire(now_s)
        for entry in self._allocator.entries():
            if entry.phase is _PHASE.HELD:
                if now_s >= entry.hold_until_s:
                    self._allocator.drop(entry)
            elif entry.phase is not _PHASE.STARTING:
                self._expire_started(entry, now_s)
        for link in self._links.all():
            if (
                not link.is_inventoried
                and now_s > link.acquired_s + self._times.lapse_s
            ):
                # Every lease that a former owner granted has lapsed.
                self._reports.mark_inventoried(link, is_open=False)

    def _expire_started(self, entry: _entry.Entry, now_s: float) -> None:
        link = self._links.require(entry.worker)
        if now_s > entry.lease_sent_s + self._times.lapse_s:
            # A renewal in flight may still extend the lease.
            if not link.renewals_in_flight:
                self._allocator.end(entry, _STATE.LAPSED, None, now_s)
            return
        self.stops.repeat(entry, now_s)


def _failed(
    kind: errors.ErrorKind, detail: str
) -> expression.Result[typing.Any, errors.Failure]:
    return expression.Error(errors.Failure(kind, detail))
