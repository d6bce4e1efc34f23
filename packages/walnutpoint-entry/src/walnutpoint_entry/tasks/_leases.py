"""The orders to the own workers, and the leases that they renew."""

from __future__ import annotations

import math
import typing

import anyio
import anyio.abc
import expression

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import timer as timers
from walnutpoint_entry.tasks import _cell
from walnutpoint_entry.tasks import _contact
from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _owner
from walnutpoint_entry.tasks import _reports
from walnutpoint_entry.tasks import _wire
from walnutpoint_entry.tasks import _worker

__all__ = ('Leases',)

_TICK_MIN_S: typing.Final = 0.5
_WAKE_PAUSE_S: typing.Final = 0.05
_HOLD_CHECK_S: typing.Final = 1.0
_POLL_PAUSE_S: typing.Final = 0.2
_NO_TASKS_RETRY_S: typing.Final = 60.0

_KIND = errors.ErrorKind
_PHASE = _entry.Phase
_STATE = _model.TaskState
_LOG = logs.get_logger(__name__)

_WORKER_FAULTS: typing.Final = frozenset(
    {
        _KIND.ANSWER_CUT,
        _KIND.ANSWER_LATE,
        _KIND.ANSWER_LOST,
        _KIND.ENDPOINT_REFUSED,
        _KIND.ENDPOINT_UNREACHABLE,
    }
)


class Leases:
    """Start, renew and stop attempts, and learn what workers run."""

    __slots__ = (
        '_cell',
        '_contacts',
        '_owner',
        '_polled_s',
        '_polling',
        '_reports',
        '_tasks',
        '_ticks',
        '_timer',
        '_times',
        '_workers',
    )

    def __init__(
        self,
        timer: timers.Timer,
        times: _contact.LeaseTimes,
        owner: _owner.Owner,
        workers: _worker.Workers,
        cell: _cell.Cell,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._timer = timer
        self._times = times
        self._owner = owner
        self._workers = workers
        self._cell = cell
        self._tasks = tasks
        self._contacts: dict[str, _contact.Contact] = {}
        self._reports = _reports.Reports(
            timer,
            cell,
            lambda contact, name: tasks.start_soon(
                self._stop_stray, contact, name
            ),
        )
        self._polling = anyio.Lock()
        self._polled_s = -math.inf
        self._ticks = timer.subscribe(self._pause_s)

    def gain(self, worker: str, epoch: int) -> None:
        """Ask a gained worker for its tasks before anything starts there."""
        self.lose(worker)
        now_s = self._timer.now_s()
        self._contacts[worker] = _contact.Contact(worker, epoch, now_s, now_s)
        self._cell.add_worker(worker)
        self._ticks.wake()

    def lose(self, worker: str) -> None:
        """Renew and start nothing more on a worker."""
        if self._contacts.pop(worker, None) is not None:
            self._cell.remove_worker(worker)

    def are_known(self) -> bool:
        """Tell whether it is known what every own worker runs."""
        return all(contact.is_known for contact in self._contacts.values())

    def acknowledge(self, worker: str, name: _wire.Attempt) -> None:
        """Tell a worker with the next renewal to forget an ended attempt."""
        contact = self._contacts.get(worker)
        if contact is None:
            return
        contact.acknowledged.add(name)
        contact.ask_by(self._timer.now_s() + self._times.renew_period_s)

    async def run(self) -> None:
        """Renew leases, repeat stops and note lapses for ever."""
        async for now_s in self._ticks:
            await self.tick(now_s)
            # Each wake-up looks at every attempt: a wave of them must not
            # take the whole processor.
            await self._timer.sleep(_WAKE_PAUSE_S)

    async def tick(self, now_s: float) -> None:
        """Do what is due now."""
        due = [
            contact
            for contact in self._contacts.values()
            if contact.due_s <= now_s and not contact.calls
        ]
        for contact in due:
            contact.due_s = now_s + self._times.retry_s
        if due:
            await self.confirm()
        for contact in due:
            self._tasks.start_soon(self._renew, contact)
        self._expire(self._timer.now_s())

    async def confirm(self) -> None:
        """Renew a confirmation that has run out, if that is quick."""
        # Quiet processes poll rarely; one poll serves all that wait for it,
        # and while the store is down nobody waits for a second one.
        async with self._polling:
            now_s = self._timer.now_s()
            if self._owner.is_confirmed():
                return
            if now_s - self._polled_s < _POLL_PAUSE_S:
                return
            await self._owner.poll()
            self._polled_s = self._timer.now_s()

    async def start(
        self, entry: _entry.Entry, command: tuple[str, ...]
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Start an attempt on the worker where it has room."""
        contact = self._contacts.get(entry.worker)
        if contact is None:
            return _failed(_KIND.NOT_OWNER, entry.worker)
        entry.phase = _PHASE.STARTING
        entry.hold_until_s = math.inf
        replied: _worker.Replied = _failed(
            _KIND.ENDPOINT_UNREACHABLE, entry.worker
        )
        try:
            if await self._refresh_clock(contact):
                replied = _failed(_KIND.ANSWER_LOST, entry.worker)
                replied = await self._send_start(contact, entry, command)
        finally:
            started = self._settle_start(contact, entry, replied)
        if entry.stop_mode is not None and self._cell.is_live(entry):
            await self.stop(entry)
        return started

    async def resolve(
        self, entry: _entry.Entry
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Ask the worker of a doubtful attempt whether it runs."""
        contact = self._contacts.get(entry.worker)
        if contact is not None and not contact.calls:
            await self._renew(contact)
        ended = self._cell.ended(entry.name)
        if ended is not None:
            return expression.Ok(ended)
        if entry.phase is _PHASE.RUNNING and self._cell.is_live(entry):
            return expression.Ok(entry.report())
        return _failed(_KIND.ANSWER_LOST, entry.worker)

    async def stop(self, entry: _entry.Entry) -> _model.TaskReport:
        """Order a stop once; it is repeated until the worker confirms it."""
        contact = self._contacts.get(entry.worker)
        if (
            contact is None
            or not self._cell.is_live(entry)
            or entry.is_stop_in_progress
            or entry.phase is _PHASE.STARTING
        ):
            return self._newest(entry)
        entry.is_stop_in_progress = True
        entry.stop_due_s = self._timer.now_s() + self._times.retry_s
        order = _wire.StopOrder(
            key=entry.key,
            attempt=entry.attempt,
            mode=entry.stop_mode or _model.StopMode.STOP,
            grace_s=self._times.checkpoint_grace_s,
            epoch=contact.epoch,
        )
        try:
            replied = await self._workers.stop(
                entry.worker, order, lambda: self._may_act(contact)
            )
        finally:
            entry.is_stop_in_progress = False
            contact.ask_by(self._timer.now_s() + self._times.retry_s)
            self._ticks.wake()
        if replied.is_ok() and self._is_current(contact):
            self._reports.take(contact, replied.ok)
        return self._newest(entry)

    def stop_soon(
        self, entry: _entry.Entry, mode: _model.StopMode, grace_s: float
    ) -> None:
        """Stop an attempt, without a checkpoint after the grace."""
        self.wish_stop(entry, mode, grace_s)
        self._tasks.start_soon(self.stop, entry)

    def wish_stop(
        self, entry: _entry.Entry, mode: _model.StopMode, grace_s: float
    ) -> None:
        """Note that an attempt is to stop."""
        if entry.stop_mode is _model.StopMode.STOP:
            return
        if entry.stop_mode is None:
            entry.stop_until_s = self._timer.now_s() + grace_s
        entry.stop_mode = mode

    def _newest(self, entry: _entry.Entry) -> _model.TaskReport:
        return self._cell.ended(entry.name) or entry.report()

    def _pause_s(self) -> float:
        """Return how long nothing is due."""
        now_s = self._timer.now_s()
        due_s = min(
            (contact.due_s for contact in self._contacts.values()),
            default=now_s + self._times.renew_period_s,
        )
        pause_s = min(due_s - now_s, self._times.renew_period_s)
        if self._cell.has_holds():
            pause_s = min(pause_s, _HOLD_CHECK_S)
        return max(pause_s, _TICK_MIN_S)

    def _may_act(self, contact: _contact.Contact) -> bool:
        return self._is_current(contact) and self._owner.may_act(
            contact.worker
        )

    def _is_current(self, contact: _contact.Contact) -> bool:
        return self._contacts.get(contact.worker) is contact

    async def _refresh_clock(self, contact: _contact.Contact) -> bool:
        """Tell whether the worker's clock is known, asking if it is old."""
        age_max_s = self._times.clock_age_max_s
        if not contact.has_clock(self._timer.now_s(), age_max_s):
            await self._renew(contact)
        return contact.has_clock(self._timer.now_s(), age_max_s)

    async def _send_start(
        self,
        contact: _contact.Contact,
        entry: _entry.Entry,
        command: tuple[str, ...],
    ) -> _worker.Replied:
        sent_s = self._timer.now_s()
        entry.begun_s = entry.lease_sent_s = sent_s
        order = _wire.StartOrder(
            key=entry.key,
            attempt=entry.attempt,
            lease_s=self._times.lease_s,
            clock_s=contact.clock_at(sent_s),
            epoch=contact.epoch,
            size=entry.size,
            command=command,
            checkpoint=entry.checkpoint,
            note=entry.note,
        )
        return await self._workers.start(
            entry.worker,
            order,
            lambda: self._may_act(contact) and self._cell.is_live(entry),
        )

    def _settle_start(
        self,
        contact: _contact.Contact,
        entry: _entry.Entry,
        replied: _worker.Replied,
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        now_s = self._timer.now_s()
        if replied.is_ok():
            entry.phase = _PHASE.RUNNING
            if self._is_current(contact):
                contact.ask_by(now_s + self._times.renew_period_s)
                self._reports.take(contact, replied.ok)
            return expression.Ok(self._newest(entry))
        failure = replied.error
        if failure.kind in _WORKER_FAULTS and self._cell.is_live(entry):
            self._cell.health.fail_start(entry.worker, now_s)
            contact.ask_by(now_s)
            self._ticks.wake()
        if failure.outcome is errors.Outcome.NOT_RUN:
            self._cell.drop(entry)
        elif self._cell.is_live(entry):
            # The answer was lost, the task may run: its room stays taken
            # until the worker says whether it does.
            entry.phase = _PHASE.DOUBTFUL
        return expression.Error(failure)

    async def _renew(self, contact: _contact.Contact) -> None:
        sent_s = self._timer.now_s()
        listed = self._renewable(contact, sent_s)
        has_clock = contact.has_clock(sent_s, self._times.clock_age_max_s)
        order = _wire.RenewOrder(
            lease_s=self._times.lease_s,
            clock_s=contact.clock_at(sent_s) if has_clock else None,
            epoch=contact.epoch,
            tasks=tuple(entry.name for entry in listed),
            acknowledge=tuple(contact.acknowledged),
        )
        replied: _worker.Replied = _failed(_KIND.ANSWER_LOST, contact.worker)
        contact.calls += 1
        try:
            replied = await self._workers.renew(
                contact.worker, order, lambda: self._may_act(contact)
            )
        finally:
            contact.calls -= 1
            if self._is_current(contact):
                self._settle_renewal(contact, order, listed, sent_s, replied)

    def _renewable(
        self, contact: _contact.Contact, now_s: float
    ) -> tuple[_entry.Entry, ...]:
        # A worker that takes orders without an answer would have its leases
        # renewed for ever as far as can be known here, and its tasks could
        # never be started elsewhere. After a while it is only asked.
        if now_s - contact.heard_s > self._times.give_up_s:
            return ()
        return tuple(
            entry
            for entry in self._cell.entries(contact.worker)
            if entry.phase in (_PHASE.RUNNING, _PHASE.DOUBTFUL)
        )

    def _settle_renewal(
        self,
        contact: _contact.Contact,
        order: _wire.RenewOrder,
        listed: tuple[_entry.Entry, ...],
        sent_s: float,
        replied: _worker.Replied,
    ) -> None:
        now_s = self._timer.now_s()
        if replied.is_ok() or replied.error.outcome is errors.Outcome.UNKNOWN:
            for entry in listed:
                entry.lease_sent_s = max(entry.lease_sent_s, sent_s)
        if replied.is_error():
            self._miss(contact, replied.error, now_s)
            return
        contact.acknowledged.difference_update(order.acknowledge)
        contact.due_s = _contact.NEVER_S
        self._reports.take(contact, replied.ok)
        reported = {
            _wire.Attempt(task.key, task.attempt) for task in replied.ok.tasks
        }
        for entry in listed:
            if entry.name not in reported and self._cell.is_live(entry):
                self._reports.vanish(entry, now_s)
        self._reports.know(contact)
        contact.ask_by(self._next_due_s(contact, listed, now_s))

    def _miss(
        self,
        contact: _contact.Contact,
        failure: errors.Failure,
        now_s: float,
    ) -> None:
        is_busy = not contact.is_known or bool(
            self._cell.entries(contact.worker)
        )
        contact.due_s = now_s + (
            self._times.retry_s if is_busy else self._times.renew_period_s
        )
        if failure.kind in _WORKER_FAULTS:
            self._cell.mute_worker(contact.worker)
        if failure.kind is _KIND.NOT_FOUND:
            # The endpoint serves requests only.
            contact.due_s = now_s + _NO_TASKS_RETRY_S
            self._reports.know(contact, is_open=False)
        _LOG.warning(
            'worker_not_heard',
            worker=contact.worker,
            error=failure.kind.value,
            detail=failure.detail,
        )

    def _next_due_s(
        self,
        contact: _contact.Contact,
        listed: tuple[_entry.Entry, ...],
        now_s: float,
    ) -> float:
        entries = [
            entry
            for entry in self._cell.entries(contact.worker)
            if entry.phase is not _PHASE.HELD
        ]
        if any(
            entry.phase is _PHASE.DOUBTFUL and entry not in listed
            for entry in entries
        ):
            return now_s
        if any(entry.stop_mode is not None for entry in entries):
            return now_s + self._times.retry_s
        if entries or contact.acknowledged:
            return now_s + self._times.renew_period_s
        return _contact.NEVER_S

    async def _stop_stray(
        self, contact: _contact.Contact, name: _wire.Attempt
    ) -> None:
        order = _wire.StopOrder(
            key=name.key,
            attempt=name.attempt,
            mode=_model.StopMode.STOP,
            grace_s=0.0,
            epoch=contact.epoch,
        )
        await self._workers.stop(
            contact.worker, order, lambda: self._may_act(contact)
        )

    def _expire(self, now_s: float) -> None:
        self._cell.reserves.expire(now_s)
        for entry in self._cell.entries():
            if entry.phase is _PHASE.HELD:
                if now_s >= entry.hold_until_s:
                    self._cell.drop(entry)
            elif entry.phase is not _PHASE.STARTING:
                self._expire_started(entry, now_s)
        for contact in self._contacts.values():
            if (
                not contact.is_known
                and now_s > contact.gained_s + self._times.certain_s
            ):
                # All that a former owner started there has lapsed.
                self._reports.know(contact, is_open=False)

    def _expire_started(self, entry: _entry.Entry, now_s: float) -> None:
        contact = self._contacts[entry.worker]
        if now_s > entry.lease_sent_s + self._times.certain_s:
            # A renewal under way may still prolong the lease.
            if not contact.calls:
                self._cell.end(entry, _STATE.LAPSED, None, now_s)
            return
        if entry.stop_mode is None or entry.is_stop_in_progress:
            return
        if now_s >= entry.stop_until_s:
            entry.stop_mode = _model.StopMode.STOP
        elif now_s < entry.stop_due_s:
            return
        self._tasks.start_soon(self.stop, entry)


def _failed(
    kind: errors.ErrorKind, detail: str
) -> expression.Result[typing.Any, errors.Failure]:
    return expression.Error(errors.Failure(kind, detail))
