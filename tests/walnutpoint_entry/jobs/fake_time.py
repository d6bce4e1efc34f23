"""Time that passes step by step, with everything settled in between."""

from __future__ import annotations

import collections.abc
import heapq
import itertools

import anyio
import anyio.lowlevel

_SETTLE_TURNS = 25


class FakeTimer:
    """A timer whose sleepers wake when a test reaches their time."""

    def __init__(self) -> None:
        self._now_s = 1000.0
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, anyio.Event]] = []

    def now_s(self) -> float:
        """Return the time that the test has reached."""
        return self._now_s

    async def sleep(self, duration_s: float) -> None:
        """Wait until the test has reached the time."""
        woken = anyio.Event()
        until_s = self._now_s + duration_s
        heapq.heappush(self._sleepers, (until_s, next(self._order), woken))
        await woken.wait()

    def subscribe(
        self, period_s: collections.abc.Callable[[], float]
    ) -> FakeTicks:
        """Return ticks in the test's time."""
        return FakeTicks(self, period_s)

    async def run_for(self, duration_s: float, step_s: float = 0.05) -> None:
        """Let time pass."""
        until_s = self._now_s + duration_s
        while self._now_s < until_s - 1e-9:
            self._now_s = min(until_s, self._now_s + step_s)
            while self._sleepers and self._sleepers[0][0] <= self._now_s:
                heapq.heappop(self._sleepers)[2].set()
            await settle()


class FakeTicks:
    """Wake-ups in the test's time."""

    def __init__(
        self,
        timer: FakeTimer,
        period_s: collections.abc.Callable[[], float],
    ) -> None:
        self._period_s = period_s
        self._timer = timer
        self._woken = anyio.Event()

    def wake(self) -> None:
        """Yield the next time at once."""
        self._woken.set()

    async def __aiter__(self) -> collections.abc.AsyncIterator[float]:
        """Yield the time once per period."""
        while True:
            yield self._timer.now_s()
            async with anyio.create_task_group() as group:
                group.start_soon(self._expire)
                await self._woken.wait()
                group.cancel_scope.cancel()
            self._woken = anyio.Event()

    async def _expire(self) -> None:
        await self._timer.sleep(self._period_s())
        self._woken.set()


async def settle() -> None:
    """Let every task run until it waits for something."""
    for _ in range(_SETTLE_TURNS):
        await anyio.lowlevel.checkpoint()
