"""Whether the store answers this host, and the end of outages."""

from __future__ import annotations

import asyncio
import typing

import anyio

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import timer
from walnutpoint_scheduler import _direct_calls

__all__ = ('StoreAvailability',)

_LOG: typing.Final = logs.get_logger('store')
# After this many consecutive direct failures calls are relayed first.
_FAILURES_BEFORE_RELAY: typing.Final = 2


class StoreAvailability:
    """Tracks direct failures and the time of the last answer."""

    __slots__ = ('_failures', '_recovered', '_timer', 'answered_s')

    def __init__(self, clock: timer.Timer) -> None:
        self._timer = clock
        self._failures = 0
        # Set when an outage ends, and then replaced.
        self._recovered = asyncio.Event()
        # When the store last answered, directly or relayed.
        self.answered_s = 0.0

    @property
    def is_down(self) -> bool:
        """Return whether the store is silent for more than a slow call."""
        return self._failures > 0 and self.silent_s > _direct_calls.SLOW_CALL_S

    @property
    def silent_s(self) -> float:
        """Return the time since the last answer of the store."""
        return self._timer.now_s() - self.answered_s

    @property
    def has_failed(self) -> bool:
        """Return whether the newest direct call failed."""
        return self._failures > 0

    @property
    def reaches_directly(self) -> bool:
        """Return whether recent direct calls succeeded."""
        return self._failures < _FAILURES_BEFORE_RELAY

    async def wait_recovery(self) -> None:
        """Wait for the end of the current or the next outage."""
        await self._recovered.wait()

    async def wait_available(self, within_s: float) -> bool:
        """Wait until the store answers; return False after the timeout."""
        with anyio.move_on_after(within_s):
            while self.is_down:
                await self._recovered.wait()
            return True
        return False

    def note_answer(self) -> None:
        """Record an answer, direct or relayed."""
        was_down = self.is_down
        self.answered_s = self._timer.now_s()
        if was_down:
            self._recovered.set()
            self._recovered = asyncio.Event()

    def note_direct_answer(self) -> None:
        """Record the success of a direct call."""
        self.note_answer()
        if not self.reaches_directly:
            _LOG.info('store.regained', failures=self._failures)
        self._failures = 0

    def note_failure(self, failure: errors.Failure) -> None:
        """Record the failure of a direct call."""
        self._failures += 1
        if self._failures == _FAILURES_BEFORE_RELAY:
            _LOG.warning(
                'store.lost',
                silent_s=round(self.silent_s, 3),
                kind=failure.kind.value,
                detail=failure.detail,
            )
