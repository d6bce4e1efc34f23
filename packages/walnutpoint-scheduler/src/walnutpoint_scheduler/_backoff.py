"""Exponential backoff between retries."""

from __future__ import annotations

import typing

__all__ = ('Backoff',)

# The first retry is immediate, as most failures are the worker's and the task
# moves to another one. Further delays double from here.
_INITIAL_DELAY_S: typing.Final = 0.1
_DOUBLINGS_MAX: typing.Final = 16


class Backoff:
    """Counts consecutive failures, and delays the next attempt."""

    __slots__ = ('_max_delay_s', 'failure_count', 'not_before_s')

    def __init__(self, max_delay_s: float) -> None:
        """Create a backoff with an upper bound of its delays."""
        self._max_delay_s = max_delay_s
        self.failure_count = 0
        self.not_before_s = 0.0

    def record_failure(
        self, now_s: float, max_delay_s: float | None = None
    ) -> None:
        """Count a failure; its delay may have a bound of its own."""
        self.failure_count += 1
        if self.failure_count < 2:
            return
        doublings = min(self.failure_count - 2, _DOUBLINGS_MAX)
        delay_s = _INITIAL_DELAY_S * 2.0**doublings
        self.delay_until(
            now_s + min(delay_s, max_delay_s or self._max_delay_s)
        )

    def delay_until(self, until_s: float) -> None:
        """Allow no attempt before a time."""
        self.not_before_s = max(self.not_before_s, until_s)

    def reset(self) -> None:
        """Reset the count after a success."""
        self.failure_count = 0

    def is_waiting(self, now_s: float) -> bool:
        """Return whether the next attempt must still wait."""
        return self.not_before_s > now_s
