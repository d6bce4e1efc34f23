"""The timer service that the parts of a process subscribe to."""

from __future__ import annotations

import collections.abc
import time
import typing

import anyio

__all__ = (
    'SystemTimer',
    'Timer',
)


class Timer(typing.Protocol):
    """A clock that counts suspended time, and wake-ups from it."""

    def now_s(self) -> float:
        """Return the time since boot, suspended time included."""

    async def sleep(self, duration_s: float) -> None:
        """Return after the duration has passed."""

    def subscribe(
        self, period_s: collections.abc.Callable[[], float]
    ) -> collections.abc.AsyncIterator[float]:
        """Yield the time once per period; the period is asked each time."""


class SystemTimer:
    """The timer of a running process."""

    __slots__ = ()

    def now_s(self) -> float:
        """Return the time since boot, suspended time included."""
        # CLOCK_MONOTONIC stands still while a host is suspended, so that a
        # stale ownership would look fresh after it wakes.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, duration_s: float) -> None:
        """Return after the duration has passed."""
        await anyio.sleep(duration_s)

    async def subscribe(
        self, period_s: collections.abc.Callable[[], float]
    ) -> collections.abc.AsyncIterator[float]:
        """Yield the time once per period; the period is asked each time."""
        while True:
            yield self.now_s()
            await anyio.sleep(period_s())
