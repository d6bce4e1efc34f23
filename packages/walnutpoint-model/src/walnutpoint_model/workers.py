"""Models of workers, which record their runs in a shared ledger."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import math
import random
import typing

import anyio

from walnutpoint_core import resources
from walnutpoint_model import ledger as ledgers
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

__all__ = (
    'Worker',
    'listed_worker',
)

_MS: typing.Final = 1000.0
_STOP_DELAY_S: typing.Final = 0.1
_LEASE_MAX_S: typing.Final = 10.0
_PERCENT_MAX: typing.Final = 100.0
_START_UP_TIME_S: typing.Final = 0.3
_TIMER_MARGIN_S: typing.Final = 0.02
_ENDS_PER_REPORT: typing.Final = 500


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    name: ports.RunName
    started_s: float
    run_time_s: float

    @property
    def ends_s(self) -> float:
        return self.started_s + self.run_time_s


RunTime = collections.abc.Callable[[ports.TaskName], float]


class Worker:
    """One incarnation of a worker, with its lease, token, runs and ends."""

    __slots__ = (
        '_blocked_attempts',
        '_changed',
        '_last_end_number',
        '_lease_until_ms',
        '_ledger',
        '_run_time',
        '_started_s',
        'clock_rate',
        'ends',
        'fails',
        'fails_run',
        'hangs',
        'has_crashed',
        'is_cut_off',
        'late_share',
        'listed',
        'loses_answers_share',
        'random',
        'refuses_starts',
        'runs',
        'slowdown_factor',
        'stops_are_late',
        'swallows_starts',
        'token',
    )

    def __init__(
        self,
        listed: cell.ListedWorker,
        run_time: RunTime,
        ledger: ledgers.Ledger,
        seed: int,
    ) -> None:
        self.listed = listed
        self.runs: dict[ports.RunName, _Run] = {}
        self.ends: list[ports.End] = []
        self.token = 0
        # Injected faults.
        self.is_cut_off = False
        self.has_crashed = False
        self.fails = False
        self.fails_run: collections.abc.Callable[[ports.RunName], bool] = (
            _never
        )
        self.hangs = False
        # Whether starts are refused, or get lost without an answer.
        self.refuses_starts = False
        self.swallows_starts = False
        # Multiplies the run times.
        self.slowdown_factor = 1.0
        self.late_share = 0.0
        self.stops_are_late = True
        self.loses_answers_share = 0.0
        self.clock_rate = 1.0
        self.random = random.Random(seed)  # noqa: S311
        self._blocked_attempts: dict[ports.TaskName, int] = {}
        self._ledger = ledger
        self._run_time = run_time
        self._last_end_number = 0
        self._lease_until_ms = 0.0
        # The worker's clock starts at zero.
        self._started_s = _started_s()
        self._changed = asyncio.Event()

    def change_speed(self, slowdown_factor: float) -> None:
        """Change the speed of this worker and of its running tasks."""
        ratio = slowdown_factor / self.slowdown_factor
        self.slowdown_factor = slowdown_factor
        now_s = _now_s()
        for name, run in self.runs.items():
            # The same share of the run is done as before.
            started_s = now_s - (now_s - run.started_s) * ratio
            self.runs[name] = _Run(name, started_s, run.run_time_s * ratio)
            self._advance_at(self.runs[name].ends_s)

    def _advance_at(self, time_s: float) -> None:
        """End due runs shortly after a time."""
        if time_s < math.inf:
            asyncio.get_running_loop().call_at(
                time_s + _TIMER_MARGIN_S, self.advance
            )

    def clock_ms(self) -> int:
        """Return the time on the worker's own clock."""
        return int((_now_s() - self._started_s) * self.clock_rate * _MS)

    def start(self, order: ports.Start) -> ports.OrderReply:
        """Execute a start order."""
        self.advance()
        if self.refuses_starts:
            return ports.OrderReply(ports.OrderOutcome.UNHEALTHY)
        outcome = self._refusal(order)
        if outcome is None:
            self._start_run(order)
            outcome = ports.OrderOutcome.DONE
        return ports.OrderReply(outcome, self.clock_ms())

    def stop(self, run: ports.RunName, token: int) -> ports.OrderReply:
        """Execute a stop order; block later starts of an absent run."""
        self.advance()
        if token < self.token:
            return ports.OrderReply(ports.OrderOutcome.FENCED, self.clock_ms())
        self.token = token
        blocked_attempt = self._blocked_attempts.get(run.task, 0)
        self._blocked_attempts[run.task] = max(blocked_attempt, run.attempt)
        if run in self.runs:
            asyncio.get_running_loop().call_later(
                _STOP_DELAY_S, self.end, run, ports.EndKind.STOPPED
            )
        return ports.OrderReply(ports.OrderOutcome.DONE, self.clock_ms())

    async def renew(
        self, order: ports.Renewal
    ) -> ports.Report | ports.OrderReply:
        """Execute a lease renewal and return the report."""
        self.advance()
        if order.token < self.token:
            return ports.OrderReply(ports.OrderOutcome.FENCED, self.clock_ms())
        self.token = order.token
        self.ends = [e for e in self.ends if e.number > order.acknowledged]
        self._extend_lease(order.lease_until_ms)
        if not self.ends and order.wait_s > 0:
            with anyio.move_on_after(order.wait_s):
                await self._changed.wait()
        if self.has_crashed:
            return ports.OrderReply(ports.OrderOutcome.UNKNOWN)
        return ports.Report(
            self.clock_ms(),
            tuple(self._running_task(run) for run in self.runs.values()),
            tuple(self.ends[:_ENDS_PER_REPORT]),
            None,
            self.listed.born_ms,
            len(self.ends) <= _ENDS_PER_REPORT,
        )

    def advance(self) -> None:
        """End runs that are due, or all if the lease has lapsed."""
        now_s = _now_s()
        if self.clock_ms() > self._lease_until_ms:
            for name in list(self.runs):
                self.end(name, ports.EndKind.LAPSED)
            self._void_ends()
        for run in list(self.runs.values()):
            if not self.hangs and run.ends_s <= now_s:
                kind = ports.EndKind.DONE
                if self.fails or self.fails_run(run.name):
                    kind = ports.EndKind.FAILED
                self.end(run.name, kind)

    def crash(self) -> None:
        """Lose all runs, and all ends that were not acknowledged."""
        for observer in self._ledger.observers:
            observer.crashed(self.listed.worker_id, self.runs)
        for run in list(self.runs.values()):
            self._ledger.end(run.name.task, self.listed.worker_id, False)
        self._void_ends()
        self.runs.clear()
        self.ends.clear()
        self.has_crashed = True
        self._changed.set()

    def end(self, name: ports.RunName, kind: ports.EndKind) -> None:
        """End a run, if it is at work."""
        run = self.runs.pop(name, None)
        if run is None:
            return
        blocked_attempt = self._blocked_attempts.get(name.task, 0)
        self._blocked_attempts[name.task] = max(blocked_attempt, name.attempt)
        self._ledger.end(
            name.task, self.listed.worker_id, kind is ports.EndKind.DONE
        )
        self._last_end_number += 1
        self.ends.append(ports.End(self._last_end_number, name, kind, ''))
        self._changed.set()
        self._changed = asyncio.Event()
        for observer in self._ledger.observers:
            observer.ended(name, kind)

    def _void_ends(self) -> None:
        for end in self.ends:
            if end.kind is ports.EndKind.DONE:
                self._ledger.revoke_end(end.run.task)

    def _refusal(self, order: ports.Start) -> ports.OrderOutcome | None:
        if order.token < self.token:
            return ports.OrderOutcome.FENCED
        self.token = order.token
        if order.run in self.runs:
            return ports.OrderOutcome.DONE
        if order.run.attempt <= self._blocked_attempts.get(order.run.task, 0):
            return ports.OrderOutcome.OUTDATED
        if order.lease_until_ms <= self.clock_ms():
            return ports.OrderOutcome.EXPIRED
        return None

    def _start_run(self, order: ports.Start) -> None:
        self._extend_lease(order.lease_until_ms)
        self._ledger.start(order.run.task, self.listed.worker_id)
        run_time_s = self._run_time(order.run.task) * self.slowdown_factor
        self.runs[order.run] = _Run(order.run, _now_s(), run_time_s)
        self._advance_at(self.runs[order.run].ends_s)
        for observer in self._ledger.observers:
            observer.started(order.run, self.listed.worker_id)

    def _extend_lease(self, until_ms: int | None) -> None:
        if until_ms is not None:
            limit_ms = self.clock_ms() + _LEASE_MAX_S * _MS
            self._lease_until_ms = max(
                self._lease_until_ms, min(until_ms, limit_ms)
            )
            remaining_s = (self._lease_until_ms - self.clock_ms()) / _MS
            asyncio.get_running_loop().call_later(
                remaining_s / self.clock_rate + _TIMER_MARGIN_S, self.advance
            )

    def _running_task(self, run: _Run) -> ports.RunningTask:
        elapsed_s = 0.0 if self.hangs else _now_s() - run.started_s
        run_time_s = run.run_time_s
        if run_time_s == math.inf:
            # A lasting task shows full progress once it has started up.
            run_time_s = _START_UP_TIME_S
        percent = min(
            _PERCENT_MAX, _PERCENT_MAX * elapsed_s / max(run_time_s, 0.001)
        )
        return ports.RunningTask(run.name, '', float(int(percent)), 0.0)


def listed_worker(
    number: int,
    pool: str = 'pool',
    cpu_millicores: int = 16_000,
    memory_mb: int = 64_000,
    per_rack: int = 8,
    accelerators: int = 0,
) -> cell.ListedWorker:
    """Return the entry of one of many equal workers."""
    rack = f'rack-{number // per_rack}'
    return cell.ListedWorker(
        f'worker-{number}',
        pool,
        f'127.0.0.1:{20_000 + number}',
        'domain-0',
        False,
        resources.Resources(cpu_millicores, memory_mb, accelerators),
        ('kind-a', rack),
        rack,
    )


def _never(_run: ports.RunName) -> bool:
    return False


def _started_s() -> float:
    """Return the time, or zero if no loop is running."""
    try:
        return _now_s()
    except RuntimeError:
        return 0.0


def _now_s() -> float:
    return asyncio.get_running_loop().time()
