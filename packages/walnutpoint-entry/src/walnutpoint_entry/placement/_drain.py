"""How fast a queue empties."""

from __future__ import annotations

import typing

__all__ = ('DrainRate',)

_EWMA_WEIGHT: typing.Final = 0.05
_RETRY_AFTER_MIN_S: typing.Final = 0.1
_RETRY_AFTER_MAX_S: typing.Final = 30.0
_FIRST_GUESS_S: typing.Final = 1.0


class DrainRate:
    """Learn the time between departures while others wait."""

    __slots__ = ('_interval_s', '_last_s')

    def __init__(self) -> None:
        """Start without knowledge."""
        self._interval_s: float | None = None
        self._last_s: float | None = None

    def observe(self, now_s: float, left: int) -> None:
        """Record a departure that left this many waiting."""
        if self._last_s is not None:
            interval_s = max(0.0, now_s - self._last_s)
            if self._interval_s is None:
                self._interval_s = interval_s
            self._interval_s += _EWMA_WEIGHT * (interval_s - self._interval_s)
        # A gap in which nobody waited says nothing about the rate.
        self._last_s = now_s if left else None

    def retry_after_s(self, waiting: int, now_s: float) -> float:
        """Return about when this many will have departed."""
        if self._interval_s is None:
            return _FIRST_GUESS_S
        interval_s = self._interval_s
        if self._last_s is not None:
            stalled_s = (now_s - self._last_s) / max(1, waiting)
            interval_s = max(interval_s, stalled_s)
        estimate_s = waiting * interval_s
        return min(max(estimate_s, _RETRY_AFTER_MIN_S), _RETRY_AFTER_MAX_S)
