"""The drain rate of a queue."""

from __future__ import annotations

import typing

__all__ = ('DrainRate',)

_EWMA_WEIGHT: typing.Final = 0.05
_RETRY_AFTER_MIN_S: typing.Final = 0.1
_RETRY_AFTER_MAX_S: typing.Final = 30.0
_DEFAULT_RETRY_AFTER_S: typing.Final = 1.0


class DrainRate:
    """Average time between departures while the queue is not empty."""

    __slots__ = ('_interval_s', '_last_s')

    def __init__(self) -> None:
        """Start without observations."""
        self._interval_s: float | None = None
        self._last_s: float | None = None

    def observe(self, now_s: float, waiting: int) -> None:
        """Record a departure and how many are still waiting."""
        if self._last_s is not None:
            interval_s = max(0.0, now_s - self._last_s)
            if self._interval_s is None:
                self._interval_s = interval_s
            self._interval_s += _EWMA_WEIGHT * (interval_s - self._interval_s)
        # An interval with an empty queue does not measure the rate.
        self._last_s = now_s if waiting else None

    def retry_after_s(self, waiting: int, now_s: float) -> float:
        """Estimate the seconds until this many have departed."""
        if self._interval_s is None:
            return _DEFAULT_RETRY_AFTER_S
        interval_s = self._interval_s
        if self._last_s is not None:
            stalled_s = (now_s - self._last_s) / max(1, waiting)
            interval_s = max(interval_s, stalled_s)
        estimate_s = waiting * interval_s
        return min(max(estimate_s, _RETRY_AFTER_MIN_S), _RETRY_AFTER_MAX_S)
