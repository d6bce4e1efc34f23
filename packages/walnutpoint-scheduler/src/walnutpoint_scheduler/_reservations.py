"""Capacity reserved for waiting steps, and its use for backfill."""

from __future__ import annotations

import collections.abc
import heapq
import math
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _advice_targets
from walnutpoint_scheduler import _release
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import document

__all__ = (
    'Reservations',
    'ReservedWorker',
)

# Most workers considered for a step whose tasks may start one by one: some of
# the freest soon have capacity. A gang needs its capacity at once and
# considers as many as it takes.
_CANDIDATES_MAX: typing.Final = 32
# Most tasks of a step with reservations; wider steps start in parts.
_RESERVED_TASKS_MAX: typing.Final = 32
# A backfilled task must be expected to end this many times sooner than the
# reservation starts: declared run times are off by half, and each task that
# overran would delay the reserved start.
_BACKFILL_FACTOR: typing.Final = 1.5


class ReservedWorker(typing.NamedTuple):
    """A worker with a reservation, and the estimated wait for it."""

    worker: _worker.WorkerState
    wait_s: float


class _Reservation(typing.NamedTuple):
    """Capacity reserved for a waiting task, and the estimated wait."""

    wait_s: float
    need: resources.Resources


class Reservations:
    """Holds the reservations in a pool during one pass."""

    __slots__ = ('_allows_backfill', '_by_worker', '_releases')

    def __init__(
        self, releases: _release.Releases, *, allows_backfill: bool
    ) -> None:
        self._releases = releases
        self._allows_backfill = allows_backfill
        self._by_worker: dict[str, list[_Reservation]] = {}

    def unreserved(
        self, worker: _worker.WorkerState, duration_s: float = math.inf
    ) -> resources.Resources:
        """Return the capacity that is free for a task of some duration.

        Backfill: a task that ends before a reservation starts may use the
        reserved capacity.
        """
        free = worker.free
        for reservation in self._by_worker.get(worker.worker_id, ()):
            ends_in_time = reservation.wait_s >= duration_s * _BACKFILL_FACTOR
            if not (ends_in_time and self._allows_backfill):
                free -= reservation.need
        return free

    def reserve(
        self,
        candidates: collections.abc.Iterable[_worker.WorkerState],
        step: document.Step,
        step_key: str,
        count: int,
        extra_s: collections.abc.Callable[[_worker.WorkerState], float],
    ) -> list[ReservedWorker]:
        """Reserve the capacity on which waiting tasks end soonest.

        extra_s returns how much longer a task runs on a worker than on the
        quickest. Return each worker once. A gang reserves for all of its
        members or for none: a partial reservation is useless to it and blocks
        other steps.
        """
        count = count if step.gang else min(count, _RESERVED_TASKS_MAX)
        heap = [
            (wait_s + extra_s(worker), wait_s, number, worker, remaining)
            for wait_s, number, worker, remaining in self._waits_by_worker(
                candidates, step, step_key, count
            )
        ]
        heapq.heapify(heap)
        reserved_workers: dict[str, ReservedWorker] = {}
        reserved: list[tuple[str, float]] = []
        while heap and len(reserved) < count:
            _, wait_s, number, worker, remaining = heapq.heappop(heap)
            reserved_workers.setdefault(
                worker.worker_id, ReservedWorker(worker, wait_s)
            )
            reserved.append((worker.worker_id, wait_s))
            self._add(worker.worker_id, _Reservation(wait_s, step.need))
            next_s = self._wait_s(worker, step)
            if next_s < math.inf and remaining > 1:
                end_s = next_s + extra_s(worker)
                heapq.heappush(
                    heap, (end_s, next_s, number, worker, remaining - 1)
                )
        if not step.gang:
            return list(reserved_workers.values())
        self._drop(reserved)
        if len(reserved) < count:
            return []
        # All members of a gang start when the last of them fits.
        gang_wait_s = max(wait_s for _, wait_s in reserved)
        for worker_id, _ in reserved:
            self._add(worker_id, _Reservation(gang_wait_s, step.need))
        return [
            ReservedWorker(reserved_worker.worker, gang_wait_s)
            for reserved_worker in reserved_workers.values()
        ]

    def _waits_by_worker(
        self,
        candidates: collections.abc.Iterable[_worker.WorkerState],
        step: document.Step,
        step_key: str,
        count: int,
    ) -> list[tuple[float, int, _worker.WorkerState, int]]:
        """Return each candidate's wait and the tasks it may still take.

        A worker at its limit for the step is left out however free it is: the
        waiting tasks could not use a reservation there.
        """
        waits: list[tuple[float, int, _worker.WorkerState, int]] = []
        fitting_now = 0
        for worker in candidates:
            if fitting_now >= count or (
                not step.gang and len(waits) >= _CANDIDATES_MAX
            ):
                break
            remaining = count
            if step.per_worker_max:
                remaining = step.per_worker_max - worker.step_counts[step_key]
            if remaining < 1:
                continue
            wait_s = self._wait_s(worker, step)
            if wait_s == math.inf:
                continue
            waits.append((wait_s, len(waits), worker, remaining))
            if not wait_s:
                fitting_now += min(
                    remaining,
                    _advice_targets.tasks_that_fit(
                        self.unreserved(worker), step
                    ),
                )
        return waits

    def _wait_s(
        self, worker: _worker.WorkerState, step: document.Step
    ) -> float:
        return self._releases.wait_s(
            worker, self.unreserved(worker), step.need
        )

    def _add(self, worker_id: str, reservation: _Reservation) -> None:
        self._by_worker.setdefault(worker_id, []).append(reservation)

    def _drop(self, reserved: list[tuple[str, float]]) -> None:
        """Remove the newest reservation of each entry."""
        for worker_id, _ in reserved:
            self._by_worker[worker_id].pop()
