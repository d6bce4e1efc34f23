"""The clock and periodic wake-ups of a process."""

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
    """The periodic wake-ups of one subscriber."""

    __slots__ = ('_period_s', '_timer', '_wake_event')

    def __init__(
        self,
        timer: Timer,
        period_s: collections.abc.Callable[[], float],
    ) -> None:
        self._timer = timer
        self._period_s = period_s
        self._wake_event = anyio.Event()

    def wake(self) -> None:
        """End the current period at once."""
        self._wake_event.set()

    async def __aiter__(self) -> collections.abc.AsyncIterator[float]:
        """Yield the time once per period, which is read anew each time."""
        while True:
            yield self._timer.now_s()
            with anyio.move_on_after(self._period_s()):
                await self._wake_event.wait()
            self._wake_event = anyio.Event()


class Timer(typing.Protocol):
    """A clock that includes suspended time, and periodic wake-ups."""

    def now_s(self) -> float:
        """Return the time since boot, suspended time included."""

    async def sleep(self, duration_s: float) -> None:
        """Return after the duration has passed."""

    def subscribe(
        self, period_s: collections.abc.Callable[[], float]
    ) -> Subscription:
        """Return periodic wake-ups."""


class SystemTimer:
    """The timer of the operating system."""

    __slots__ = ()

    def now_s(self) -> float:
        """Return the time since boot, suspended time included."""
        # CLOCK_MONOTONIC stops while a host is suspended, so that expired
        # ownership would look valid after it resumes.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, duration_s: float) -> None:
        """Return after the duration has passed."""
        await anyio.sleep(duration_s)

    def subscribe(
        self, period_s: collections.abc.Callable[[], float]
    ) -> Subscription:
        """Return periodic wake-ups."""
        return Subscription(self, period_s)
