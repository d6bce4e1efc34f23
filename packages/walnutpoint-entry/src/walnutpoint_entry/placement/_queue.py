"""The bounded queue of requests that wait for a slot."""

from __future__ import annotations

import collections
import collections.abc
import types
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_entry.placement import _drain
from walnutpoint_entry.placement import _fair_queue
from walnutpoint_entry.placement import _heap
from walnutpoint_entry.placement import _waiter

__all__ = (
    'RequestQueue',
    'Waiter',
)

Waiter = _waiter.Waiter

_DEFAULT_WEIGHT: typing.Final = 1.0
_WEIGHT_MIN: typing.Final = 0.001

_OfferResult = expression.Result[Waiter | None, errors.Failure]
# Shared: constructing a Result costs as much as a heap operation.
_ADDED: typing.Final[_OfferResult] = expression.Ok(None)


class RequestQueue:
    """Order waiters by class, fairly by team, then by deadline."""

    __slots__ = (
        '_by_latest_start',
        '_class_queues',
        '_drain_rate',
        '_expired',
        '_length_max',
        '_team_length_max',
        '_team_lengths',
        '_weights',
    )

    def __init__(self, length_max: int, team_length_max: int) -> None:
        """Create an empty queue with its limits."""
        self._length_max = length_max
        self._team_length_max = team_length_max
        self._weights: collections.abc.Mapping[str, float] = (
            types.MappingProxyType({})
        )
        self._class_queues = {
            work_class: _fair_queue.FairQueue()
            for work_class in model.WorkClass
        }
        self._team_lengths: collections.Counter[str] = collections.Counter()
        self._by_latest_start: _heap.RemovableHeap[Waiter] = (
            _heap.RemovableHeap()
        )
        self._expired: dict[Waiter, None] = {}
        self._drain_rate = _drain.DrainRate()

    def __len__(self) -> int:
        """Return how many waiters can still start in time."""
        return len(self._by_latest_start)

    @property
    def entry_count(self) -> int:
        """Return the number of stored heap entries."""
        return self._by_latest_start.entry_count + sum(
            queue.entry_count for queue in self._class_queues.values()
        )

    def length_of(self, work_class: model.WorkClass) -> int:
        """Return the number of waiters of one class."""
        return len(self._class_queues[work_class])

    def team_length(self, team: str) -> int:
        """Return the number of waiters of one team."""
        return self._team_lengths.get(team, 0)

    def ahead_of(self, work_class: model.WorkClass) -> int:
        """Return the number of waiters in this and higher classes."""
        return sum(
            len(queue)
            for queue_class, queue in self._class_queues.items()
            if queue_class <= work_class
        )

    def set_weights(
        self, weights: collections.abc.Mapping[str, float]
    ) -> None:
        """Set the weights of the teams; the default weight is one."""
        self._weights = types.MappingProxyType(dict(weights))

    def offer(self, waiter: Waiter, now_s: float) -> _OfferResult:
        """Add a waiter; return the lower-class waiter that it displaces."""
        if waiter in self._by_latest_start:
            return _ADDED
        if waiter.latest_start_s <= now_s:
            return expression.Error(
                errors.Failure(errors.ErrorKind.DEADLINE_PASSED)
            )
        self._set_expired_aside(now_s)
        displaced = None
        if self._team_is_full(waiter.team):
            displaced = self._find_displaceable(waiter, within_team=True)
            if displaced is None:
                return self._refuse('the share of the team is full', now_s)
        elif len(self) >= self._length_max:
            displaced = self._find_displaceable(waiter, within_team=False)
            if displaced is None:
                return self._refuse('the queue is full', now_s)
        if displaced is not None:
            self._withdraw(displaced)
        self._add(waiter)
        return _ADDED if displaced is None else expression.Ok(displaced)

    def pop(self, now_s: float) -> Waiter | None:
        """Remove and return the next waiter that can start in time."""
        self._set_expired_aside(now_s)
        for queue in self._class_queues.values():
            waiter = queue.next_waiter()
            if waiter is not None:
                queue.serve(waiter, self._weight_of(waiter.team))
                self._forget(waiter)
                self._drain_rate.observe(now_s, len(self))
                return waiter
        return None

    def discard(self, waiter: Waiter) -> None:
        """Remove a waiter if present."""
        self._expired.pop(waiter, None)
        if waiter in self._by_latest_start:
            self._withdraw(waiter)

    def take_expired(self, now_s: float) -> list[Waiter]:
        """Remove and return the waiters that cannot start in time."""
        self._set_expired_aside(now_s)
        expired = list(self._expired)
        self._expired.clear()
        return expired

    def next_expiry_s(self) -> float | None:
        """Return when the next waiter expires."""
        for waiter in self._expired:
            return waiter.latest_start_s
        return self._by_latest_start.first_key()

    def _weight_of(self, team: str) -> float:
        return max(_WEIGHT_MIN, self._weights.get(team, _DEFAULT_WEIGHT))

    def _team_is_full(self, team: str) -> bool:
        return self.team_length(team) >= self._team_length_max

    def _find_displaceable(
        self, waiter: Waiter, within_team: bool
    ) -> Waiter | None:
        """Return the latest waiter of the lowest class below this one's."""
        for work_class in reversed(model.WorkClass):
            if work_class <= waiter.work_class:
                return None
            queue = self._class_queues[work_class]
            latest = (
                queue.latest_of(waiter.team) if within_team else queue.latest()
            )
            if latest is not None:
                return latest
        return None

    def _refuse(self, detail: str, now_s: float) -> _OfferResult:
        return expression.Error(
            errors.Failure(
                errors.ErrorKind.QUEUE_FULL,
                detail,
                self._drain_rate.retry_after_s(len(self), now_s),
            )
        )

    def _add(self, waiter: Waiter) -> None:
        self._class_queues[waiter.work_class].put(waiter)
        self._by_latest_start.push(waiter.latest_start_s, waiter)
        self._team_lengths[waiter.team] += 1

    def _set_expired_aside(self, now_s: float) -> None:
        """Move the waiters that cannot start in time to the expired ones."""
        while True:
            latest_start_s = self._by_latest_start.first_key()
            if latest_start_s is None or latest_start_s > now_s:
                return
            waiter = self._by_latest_start.first()
            if waiter is None:
                return
            self._withdraw(waiter)
            self._expired[waiter] = None

    def _withdraw(self, waiter: Waiter) -> None:
        self._class_queues[waiter.work_class].remove(waiter)
        self._forget(waiter)

    def _forget(self, waiter: Waiter) -> None:
        self._by_latest_start.remove(waiter)
        self._team_lengths[waiter.team] -= 1
        if not self._team_lengths[waiter.team]:
            del self._team_lengths[waiter.team]
