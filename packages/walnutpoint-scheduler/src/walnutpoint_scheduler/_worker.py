"""State of one worker incarnation within a scheduler term."""

from __future__ import annotations

import asyncio
import collections
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _incarnation
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import leases
from walnutpoint_scheduler import ports

__all__ = (
    'WorkerState',
    'by_free_cpu',
)

_NO_RESOURCES: typing.Final = resources.Resources()
_MS_PER_S: typing.Final = 1000.0
# Two full reports of ends.
_ENDED_MAX: typing.Final = 1000
# Starts without an answer, some times as many as a worker has cores.
_STARTING_MAX: typing.Final = 32
_WIDE_STARTING_MAX: typing.Final = 24
_STOPPING_MAX: typing.Final = 32
# How many incarnations the fencing tokens of one term distinguish.
_INCARNATIONS_MAX: typing.Final = 1000
# A start is recent for as long as it takes to detect a silent worker.
_RECENT_START_S: typing.Final = 0.7


class WorkerState:
    """Tracks a worker's capacity, runs, ends and liveness."""

    __slots__ = (
        '_reported_capacity',
        '_usage',
        'acknowledged',
        'answering',
        'booked',
        'born_ms',
        'confirmed',
        'cordoned',
        'first_report_s',
        'free',
        'gone',
        'has_link',
        'is_confirmed',
        'is_entry_stale',
        'isolates_suspect',
        'last_contact_s',
        'last_report_s',
        'lease',
        'lease_expiring',
        'listed',
        'next_listed',
        'processed',
        'recently_ended',
        'recently_started_jobs',
        'restarts',
        'runs',
        'silent_since_s',
        'start_slots',
        'starting',
        'step_counts',
        'stop_slots',
        'unanswered_starts',
        'unlisted_since_s',
        'worker_id',
    )

    def __init__(
        self, listed: cell.ListedWorker, lease: leases.WorkerLease
    ) -> None:
        self.listed = listed
        # The entry of a later incarnation, which has not answered yet.
        self.next_listed: cell.ListedWorker | None = None
        # A later incarnation may have the same identifier.
        self.worker_id = listed.worker_id
        # Start time from its own reports; None before the first.
        self.born_ms: int | None = None
        self.first_report_s: float | None = None
        # Whether a complete report has shown which runs it has.
        self.is_confirmed = False
        self._reported_capacity: resources.Resources | None = None
        # Capacity that no run has booked.
        self.free = listed.capacity
        self.lease = lease
        self.runs: dict[ports.RunName, _run.Run] = {}
        self.booked = _NO_RESOURCES
        self._usage = accounts.Usage()
        self.step_counts: collections.Counter[str] = collections.Counter()
        # Whether the latest call was answered under this term's token.
        self.answering = False
        self.last_report_s = 0.0
        # Time of the last answer, and since when calls fail.
        self.last_contact_s: float | None = None
        self.silent_since_s: float | None = None
        # Jobs with a task started shortly before it fell silent.
        self.recently_started_jobs: frozenset[str] = frozenset()
        # Whether it runs a suspect task, so that nothing else may start.
        self.isolates_suspect = False
        # Whether its runs are given up when its lease expires.
        self.lease_expiring = False
        # Ends up to these numbers were applied, were stored so that the
        # worker may drop them, and were confirmed as dropped.
        self.processed = 0
        self.acknowledged = 0
        self.confirmed = 0
        self.unanswered_starts: set[ports.RunName] = set()
        # Planned runs whose starts have no answer yet.
        self.starting: set[ports.RunName] = set()
        # Limit the calls at a time, also for gangs and cancels.
        self.start_slots = asyncio.Semaphore(_STARTING_MAX)
        self.stop_slots = asyncio.Semaphore(_STOPPING_MAX)
        # How often this term saw a worker of this name restart.
        self.restarts = 0
        # Whether a link polls it for reports.
        self.has_link = False
        # Whether this incarnation has certainly ended.
        self.gone = False
        # Recently ended runs: reports on two connections may arrive out of
        # order.
        self.recently_ended: dict[ports.RunName, None] = {}
        # Whether its entry is too old to rely on its capacity.
        self.is_entry_stale = False
        self.unlisted_since_s: float | None = None
        # Whether it gets no new runs: unlisted too long, or unreadable.
        self.cordoned = False

    @property
    def pending_acknowledgement(self) -> int:
        """Return the end number to acknowledge, or zero if none is due.

        Sent with every report, it could reach an incarnation that has
        restarted its numbering, and lose ends that were never read.
        """
        is_known = self.confirmed >= self.acknowledged
        return 0 if is_known else self.acknowledged

    @property
    def incarnation(self) -> _incarnation.Incarnation:
        """Return the identity of this incarnation."""
        born_ms = self.born_ms or self.listed.born_ms
        return _incarnation.Incarnation(self.worker_id, born_ms)

    def fencing_token(self, token: int) -> int:
        """Return the fencing token of calls to this incarnation in a term.

        It is higher than the previous incarnation's, so that late calls to
        that one are refused here from the first call on.
        """
        number = min(self.restarts, _INCARNATIONS_MAX - 1)
        return token * _INCARNATIONS_MAX + number

    @property
    def accepts_starts(self) -> bool:
        """Return whether new runs may be placed on this worker."""
        return self._is_usable and not self.is_entry_stale

    def may_start_more(self, *, is_wide: bool) -> bool:
        """Return whether a start need not wait for the answers to others.

        Each takes a connection, and a worker that gets more at a time than it
        answers would look silent. Wide steps leave a part to other steps.
        """
        limit = _WIDE_STARTING_MAX if is_wide else _STARTING_MAX
        return len(self.starting) < limit

    @property
    def is_entry_mismatched(self) -> bool:
        """Return whether the newest entry is of another incarnation.

        The capacity of this one is unknown then.
        """
        if self.next_listed is not None:
            return True
        return _incarnation.differ(self.born_ms, self.listed.born_ms)

    @property
    def _is_usable(self) -> bool:
        return (
            self.answering
            and not self.gone
            and not self.listed.draining
            and not self.cordoned
            and not self.is_entry_mismatched
        )

    @property
    def may_accept_starts(self) -> bool:
        """Return whether it accepts starts or probably will after a report.

        A new term's first advice requests would name only workers that
        answered within its first ms, and be repeated for the others.
        """
        if self._is_usable:
            return True
        awaits_first_report = (
            not self.last_report_s and not self.gone and not self.cordoned
        )
        return (
            awaits_first_report
            and bool(self.listed.address)
            and not self.listed.draining
            and self.unlisted_since_s is None
        )

    @property
    def is_overrun(self) -> bool:
        """Return whether the runs here book more than its capacity."""
        return not self.free.covers(_NO_RESOURCES)

    def entry_age_s(self, now_s: float) -> float:
        """Return the age of its entry by the worker's own clock."""
        clock_ms = self.lease.clock_ms(now_s)
        if clock_ms is None or not self.listed.clock_ms:
            return 0.0
        return (clock_ms - self.listed.clock_ms) / _MS_PER_S

    def record_answer(self, now_s: float) -> None:
        """Record that this incarnation answered a call."""
        self.last_contact_s = now_s
        self.silent_since_s = None

    def record_no_answer(self, now_s: float) -> None:
        """Record that a call got no answer."""
        if self.silent_since_s is None:
            self.silent_since_s = now_s
            self.recently_started_jobs = frozenset(
                run.name.task.job_id
                for run in self.runs.values()
                if run.ordered_s is not None
                and now_s - run.ordered_s <= _RECENT_START_S
            )

    def book(self, run: _run.Run) -> None:
        """Book the capacity that a run needs."""
        if run.name in self.runs:
            return
        self.runs[run.name] = run
        self._set_booked(self.booked + run.need)
        self._usage.add(run.account, run.charge)
        if run.task is not None:
            self.step_counts[run.task.step.key] += 1
            run.task.step.job.run_count += 1

    def release(self, run: _run.Run) -> None:
        """Release the capacity of a run that has ended."""
        if self.runs.pop(run.name, None) is None:
            return
        self.recently_ended[run.name] = None
        if len(self.recently_ended) > _ENDED_MAX:
            del self.recently_ended[next(iter(self.recently_ended))]
        self.unanswered_starts.discard(run.name)
        self.starting.discard(run.name)
        self._set_booked(self.booked - run.need)
        self._usage.remove(run.account, run.charge)
        if run.task is not None:
            self.step_counts[run.task.step.key] -= 1
            run.task.step.job.run_count -= 1

    def attach_usage(self, usage: accounts.Usage) -> None:
        """Count its runs in the usage shared by all workers of a term."""
        if usage is self._usage:
            return
        for run in self.runs.values():
            usage.add(run.account, run.charge)
        self._usage = usage

    def update_entry(self, listed: cell.ListedWorker) -> None:
        """Replace its directory entry."""
        self.listed = listed
        self._set_booked(self.booked)

    def set_reported_capacity(
        self, capacity: resources.Resources | None
    ) -> None:
        """Record the capacity given in a report, if any."""
        if capacity != self._reported_capacity:
            self._reported_capacity = capacity
            self._set_booked(self.booked)

    def _set_booked(self, booked: resources.Resources) -> None:
        self.booked = booked
        capacity = self.listed.capacity
        if self._reported_capacity is not None:
            # Either may be outdated; the smaller one is safe.
            capacity = capacity.elementwise_min(self._reported_capacity)
        self.free = capacity - booked

    def serving_runs(self) -> list[_run.Run]:
        """Return the runs that have a target for response times."""
        return [
            run
            for run in self.runs.values()
            if run.task is not None and run.task.step.step.latency_target_ms
        ]


def by_free_cpu(worker: WorkerState) -> int:
    """Return a sort key: the worker with the most free CPU first."""
    return -worker.free.cpu_millicores
