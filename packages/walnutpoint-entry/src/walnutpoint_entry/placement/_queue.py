"""The bounded queue of the requests that wait for a slot."""

from __future__ import annotations

import collections
import collections.abc
import types
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_entry.placement import _drain
from walnutpoint_entry.placement import _heap
from walnutpoint_entry.placement import _lane
from walnutpoint_entry.placement import _waiter

__all__ = (
    'RequestQueue',
    'Waiter',
)

Waiter = _waiter.Waiter

_DEFAULT_WEIGHT: typing.Final = 1.0
_WEIGHT_MIN: typing.Final = 0.001

_Offered = expression.Result[Waiter | None, errors.Failure]
# The construction of a Result costs as much as a heap operation.
_ADDED: typing.Final[_Offered] = expression.Ok(None)


class RequestQueue:
    """Order waiters by class, fairly by team, then by deadline."""

    __slots__ = (
        '_by_latest_start',
        '_drain_rate',
        '_lanes',
        '_lapsed',
        '_length_max',
        '_team_length_max',
        '_team_lengths',
        '_weights',
    )

    def __init__(self, length_max: int, team_length_max: int) -> None:
        """Create an empty queue with its bounds."""
        self._length_max = length_max
        self._team_length_max = team_length_max
        self._weights: collections.abc.Mapping[str, float] = (
            types.MappingProxyType({})
        )
        self._lanes = {
            work_class: _lane.Lane() for work_class in model.WorkClass
        }
        self._team_lengths: collections.Counter[str] = collections.Counter()
        self._by_latest_start: _heap.RemovableHeap[Waiter] = (
            _heap.RemovableHeap()
        )
        self._lapsed: dict[Waiter, None] = {}
        self._drain_rate = _drain.DrainRate()

    def __len__(self) -> int:
        """Return how many wait and may still start."""
        return len(self._by_latest_start)

    @property
    def entry_count(self) -> int:
        """Return the heap entries held in memory."""
        return self._by_latest_start.entry_count + sum(
            lane.entry_count for lane in self._lanes.values()
        )

    def length_of(self, work_class: model.WorkClass) -> int:
        """Return how many of one class wait."""
        return len(self._lanes[work_class])

    def team_length(self, team: str) -> int:
        """Return how many of one team wait."""
        return self._team_lengths.get(team, 0)

    def ahead_of(self, work_class: model.WorkClass) -> int:
        """Return how many wait in this class and those before it."""
        return sum(
            len(lane)
            for lane_class, lane in self._lanes.items()
            if lane_class <= work_class
        )

    def set_weights(
        self, weights: collections.abc.Mapping[str, float]
    ) -> None:
        """Set the teams' shares; a team that is not named has share one."""
        self._weights = types.MappingProxyType(dict(weights))

    def offer(self, waiter: Waiter, now_s: float) -> _Offered:
        """Add a waiter; return the one of a lower class it displaces."""
        if waiter in self._by_latest_start:
            return _ADDED
        if waiter.latest_start_s <= now_s:
            return expression.Error(
                errors.Failure(errors.ErrorKind.DEADLINE_PASSED)
            )
        self._lapse(now_s)
        displaced = None
        if self._team_is_full(waiter.team):
            displaced = self._lower(waiter, within_team=True)
            if displaced is None:
                return self._refuse('the share of the team is full', now_s)
        elif len(self) >= self._length_max:
            displaced = self._lower(waiter, within_team=False)
            if displaced is None:
                return self._refuse('the queue is full', now_s)
        if displaced is not None:
            self._withdraw(displaced)
        self._add(waiter)
        return _ADDED if displaced is None else expression.Ok(displaced)

    def pop(self, now_s: float) -> Waiter | None:
        """Take the next waiter that can still start in time."""
        self._lapse(now_s)
        for lane in self._lanes.values():
            waiter = lane.next_waiter()
            if waiter is not None:
                lane.serve(waiter, self._weight_of(waiter.team))
                self._forget(waiter)
                self._drain_rate.observe(now_s, len(self))
                return waiter
        return None

    def discard(self, waiter: Waiter) -> None:
        """Remove a waiter if it is there."""
        self._lapsed.pop(waiter, None)
        if waiter in self._by_latest_start:
            self._withdraw(waiter)

    def expired(self, now_s: float) -> list[Waiter]:
        """Take the waiters that can no longer start in time."""
        self._lapse(now_s)
        lapsed = list(self._lapsed)
        self._lapsed.clear()
        return lapsed

    def next_expiry_s(self) -> float | None:
        """Return when expired() next has something to take."""
        for waiter in self._lapsed:
            return waiter.latest_start_s
        return self._by_latest_start.first_key()

    def _weight_of(self, team: str) -> float:
        return max(_WEIGHT_MIN, self._weights.get(team, _DEFAULT_WEIGHT))

    def _team_is_full(self, team: str) -> bool:
        return self.team_length(team) >= self._team_length_max

    def _lower(self, waiter: Waiter, within_team: bool) -> Waiter | None:
        """Return the latest waiter of the lowest class below a waiter's."""
        for work_class in reversed(model.WorkClass):
            if work_class <= waiter.work_class:
                return None
            lane = self._lanes[work_class]
            latest = (
                lane.latest_of(waiter.team) if within_team else lane.latest()
            )
            if latest is not None:
                return latest
        return None

    def _refuse(self, detail: str, now_s: float) -> _Offered:
        return expression.Error(
            errors.Failure(
                errors.ErrorKind.QUEUE_FULL,
                detail,
                self._drain_rate.retry_after_s(len(self), now_s),
            )
        )

    def _add(self, waiter: Waiter) -> None:
        self._lanes[waiter.work_class].put(waiter)
        self._by_latest_start.push(waiter.latest_start_s, waiter)
        self._team_lengths[waiter.team] += 1

    def _lapse(self, now_s: float) -> None:
        """Set aside the waiters that can no longer start in time."""
        while True:
            latest_start_s = self._by_latest_start.first_key()
            if latest_start_s is None or latest_start_s > now_s:
                return
            waiter = self._by_latest_start.first()
            if waiter is None:
                return
            self._withdraw(waiter)
            self._lapsed[waiter] = None

    def _withdraw(self, waiter: Waiter) -> None:
        self._lanes[waiter.work_class].remove(waiter)
        self._forget(waiter)

    def _forget(self, waiter: Waiter) -> None:
        self._by_latest_start.remove(waiter)
        self._team_lengths[waiter.team] -= 1
        if not self._team_lengths[waiter.team]:
            del self._team_lengths[waiter.team]
