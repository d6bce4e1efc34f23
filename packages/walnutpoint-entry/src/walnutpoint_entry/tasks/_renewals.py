"""Lease renewals, which also query the tasks of workers."""

from __future__ import annotations

import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import timer as timers
from walnutpoint_entry.tasks import _cell
from walnutpoint_entry.tasks import _contact
from walnutpoint_entry.tasks import _contacts
from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _reports
from walnutpoint_entry.tasks import _wire
from walnutpoint_entry.tasks import _worker

__all__ = ('Renewals',)

_NO_TASKS_RETRY_S: typing.Final = 60.0

_KIND = errors.ErrorKind
_PHASE = _entry.Phase
_LOG = logs.get_logger(__name__)


class Renewals:
    """Renew all leases of a worker with one order."""

    __slots__ = (
        '_allocator',
        '_links',
        '_reports',
        '_timer',
        '_times',
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
    ) -> None:
        self._timer = timer
        self._times = times
        self._workers = workers
        self._allocator = allocator
        self._links = links
        self._reports = reports

    async def renew(self, link: _contact.WorkerLink) -> None:
        """Renew a worker's leases and apply its report of all tasks."""
        sent_s = self._timer.now_s()
        listed = self._renewable(link, sent_s)
        has_clock = link.has_clock(sent_s, self._times.clock_age_max_s)
        order = _wire.RenewOrder(
            lease_s=self._times.lease_s,
            clock_s=link.clock_at(sent_s) if has_clock else None,
            epoch=link.epoch,
            tasks=tuple(entry.name for entry in listed),
            acknowledge=tuple(link.acknowledged),
        )
        replied: _worker.ReplyResult = expression.Error(
            errors.Failure(_KIND.ANSWER_LOST, link.worker)
        )
        link.renewals_in_flight += 1
        try:
            replied = await self._workers.renew(
                link.worker, order, lambda: self._links.may_act(link)
            )
        finally:
            link.renewals_in_flight -= 1
            if self._links.is_current(link):
                self._settle_renewal(link, order, listed, sent_s, replied)

    def _renewable(
        self, link: _contact.WorkerLink, now_s: float
    ) -> tuple[_entry.Entry, ...]:
        # A worker may receive orders although its answers are lost. If its
        # leases were always renewed, they would never lapse and its tasks
        # never move, so after a while the order only queries the worker.
        if now_s - link.last_reply_s > self._times.renewable_silence_max_s:
            return ()
        return tuple(
            entry
            for entry in self._allocator.entries(link.worker)
            if entry.phase in (_PHASE.RUNNING, _PHASE.DOUBTFUL)
        )

    def _settle_renewal(
        self,
        link: _contact.WorkerLink,
        order: _wire.RenewOrder,
        listed: tuple[_entry.Entry, ...],
        sent_s: float,
        replied: _worker.ReplyResult,
    ) -> None:
        now_s = self._timer.now_s()
        if replied.is_ok() or replied.error.outcome is errors.Outcome.UNKNOWN:
            for entry in listed:
                entry.lease_sent_s = max(entry.lease_sent_s, sent_s)
        if replied.is_error():
            self._handle_failure(link, replied.error, now_s)
            return
        link.acknowledged.difference_update(order.acknowledge)
        link.due_s = _contact.NEVER_S
        self._reports.apply(link, replied.ok)
        reported = {
            _wire.Attempt(task.key, task.attempt) for task in replied.ok.tasks
        }
        for entry in listed:
            if entry.name not in reported and self._allocator.is_live(entry):
                self._reports.end_unknown(entry, now_s)
        self._reports.mark_inventoried(link)
        link.schedule_by(self._next_due_s(link, listed, now_s))

    def _handle_failure(
        self,
        link: _contact.WorkerLink,
        failure: errors.Failure,
        now_s: float,
    ) -> None:
        is_busy = not link.is_inventoried or bool(
            self._allocator.entries(link.worker)
        )
        link.due_s = now_s + (
            self._times.retry_s if is_busy else self._times.renew_period_s
        )
        if failure.kind in _contacts.WORKER_FAULTS:
            self._allocator.mark_worker_silent(link.worker)
        if failure.kind is _KIND.NOT_FOUND:
            # The endpoint serves requests and runs no tasks.
            link.due_s = now_s + _NO_TASKS_RETRY_S
            self._reports.mark_inventoried(link, is_open=False)
        _LOG.warning(
            'worker_not_heard',
            worker=link.worker,
            error=failure.kind.value,
            detail=failure.detail,
        )

    def _next_due_s(
        self,
        link: _contact.WorkerLink,
        listed: tuple[_entry.Entry, ...],
        now_s: float,
    ) -> float:
        entries = [
            entry
            for entry in self._allocator.entries(link.worker)
            if entry.phase is not _PHASE.HELD
        ]
        if any(
            entry.phase is _PHASE.DOUBTFUL and entry not in listed
            for entry in entries
        ):
            return now_s
        if any(entry.stop_mode is not None for entry in entries):
            return now_s + self._times.retry_s
        if entries or link.acknowledged:
            return now_s + self._times.renew_period_s
        return _contact.NEVER_S
