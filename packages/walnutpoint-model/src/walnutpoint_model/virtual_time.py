"""An event loop whose clock jumps to the next timer."""

from __future__ import annotations

import asyncio
import collections.abc
import selectors
import typing

import anyio

from walnutpoint_core import timer

__all__ = (
    'LoopTimer',
    'START_S',
    'run',
)

_ResultT = typing.TypeVar('_ResultT')
# Not zero, which stands for "never" in places.
START_S: typing.Final = 1000.0


class _JumpingSelector(selectors.DefaultSelector):  # type: ignore[misc]
    """Advances the loop's clock instead of waiting."""

    now_s = START_S

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        """Return at once, as if the time had passed."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('every task waits, and no timer is set')
        self.now_s += max(timeout, 0.0)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time."""
        return self._jumping.now_s


class LoopTimer:
    """A timer in virtual time."""

    __slots__ = ()

    def now_s(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    async def sleep(self, duration_s: float) -> None:
        """Return after the duration has passed."""
        await anyio.sleep(duration_s)

    def subscribe(
        self, period_s: collections.abc.Callable[[], float]
    ) -> timer.Subscription:
        """Return periodic wake-ups."""
        return timer.Subscription(self, period_s)


def run(
    main: collections.abc.Coroutine[typing.Any, typing.Any, _ResultT],
) -> _ResultT:
    """Run a coroutine to its end in virtual time."""
    loop = _VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
