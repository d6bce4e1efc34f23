"""The timer service that the parts of a process subscribe to."""

from __future__ import annotations

import collections.abc
import time
import typing

import anyio

__all__ = (
    'Subscription',
    'SystemTimer',
    'Timer',
)


class Subscription:
    """Periodic wake-ups of one subscriber."""

    __slots__ = ('_period_s', '_timer', '_woken')

    def __init__(
        self,
        timer: Timer,
        period_s: collections.abc.Callable[[], float],
    ) -> None:
        self._timer = timer
        self._period_s = period_s
        self._woken = anyio.Event()

    def wake(self) -> None:
        """Yield the next time at once."""
        self._woken.set()

    async def __aiter__(self) -> collections.abc.AsyncIterator[float]:
        """Yield the time once per period; the period is asked each time."""
        while True:
            yield self._timer.now_s()
            with anyio.move_on_after(self._period_s()):
                await self._woken.wait()
            self._woken = anyio.Event()


class Timer(typing.Protocol):
    """A clock that counts suspended time, and wake-ups from it."""

    def now_s(self) -> float:
        """Return the time since boot, suspended time included."""

    async def sleep(self, duration_s: float) -> None:
        """Return after the duration has passed."""

    def subscribe(
        self, period_s: collections.abc.Callable[[], float]
    ) -> Subscription:
        """Return periodic wake-ups."""


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

    def subscribe(
        self, period_s: collections.abc.Callable[[], float]
    ) -> Subscription:
        """Return periodic wake-ups."""
        return Subscription(self, period_s)
