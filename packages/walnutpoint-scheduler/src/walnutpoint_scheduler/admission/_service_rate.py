"""The rate at which the work of one pool and priority is served."""

from __future__ import annotations

import collections
import math
import typing

__all__ = ('ServiceRate',)

# A shorter window varies with single tasks; also the shortest time for which
# work must wait before the rate is known.
_WINDOW_S: typing.Final = 5.0
# A rate reached this recently may be reached again.
_PEAK_S: typing.Final = 30.0
# Less work of the whole pool does not keep it busy between two samples.
_WAITING_MIN_S: typing.Final = 1.0
# The rate is known after this many times the run time of a task: before, few
# tasks have ended although all run.
_TASKS_MIN: typing.Final = 2.0


class ServiceRate:
    """Measures work done while work waits, so that demand is no limit.

    In favor of new jobs it is the highest recent rate, and at least the share
    of the pool that work of all priorities has used meanwhile: more urgent
    work that arrives later does not count either.
    """

    __slots__ = ('_rates', '_samples', '_saturated_since_s', '_task_s')

    def __init__(self) -> None:
        self._saturated_since_s: float | None = None
        self._task_s = 0.0
        # Times and amounts of the work done within the window.
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._rates: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def record(
        self,
        now_s: float,
        done_pool_s: float,
        used_share: float,
        waiting_pool_s: float,
        task_s: float,
    ) -> None:
        """Record the work done since the last sample, and the load."""
        if waiting_pool_s <= _WAITING_MIN_S:
            self._saturated_since_s = None
            self._samples.clear()
            self._rates.clear()
            return
        if self._saturated_since_s is None:
            self._saturated_since_s = now_s
        self._task_s = task_s
        self._samples.append((now_s, done_pool_s))
        while self._samples[0][0] <= now_s - _WINDOW_S:
            self._samples.popleft()
        done_rate = sum(done for _, done in self._samples) / _WINDOW_S
        self._rates.append((now_s, max(done_rate, used_share)))
        while self._rates[0][0] < now_s - _PEAK_S:
            self._rates.popleft()

    def rate(self, now_s: float) -> float | None:
        """Return the work done per second; None until it is certain."""
        if self._saturated_since_s is None or not math.isfinite(self._task_s):
            return None
        observed_s = now_s - self._saturated_since_s
        if observed_s < max(_WINDOW_S, _TASKS_MIN * self._task_s):
            return None
        if not any(done for _, done in self._samples):
            return None
        return max(rate for _, rate in self._rates)
