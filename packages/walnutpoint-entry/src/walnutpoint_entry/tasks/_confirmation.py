"""Confirmation that no newer assignment table is in use."""

from __future__ import annotations

import math
import typing

import anyio

from walnutpoint_core import timer as timers
from walnutpoint_entry.tasks import _owner

__all__ = ('Confirmation',)

_POLL_INTERVAL_MIN_S: typing.Final = 0.2


class Confirmation:
    """Renew the confirmation for all waiting callers by one poll."""

    __slots__ = ('_owner', '_polled_s', '_polling', '_timer')

    def __init__(self, timer: timers.Timer, owner: _owner.Owner) -> None:
        self._timer = timer
        self._owner = owner
        self._polling = anyio.Lock()
        self._polled_s = -math.inf

    async def renew(self) -> None:
        """Renew an expired confirmation by at most one poll."""
        # Idle processes poll rarely. Concurrent callers share one poll, so
        # that none waits for a second one while the store is down.
        async with self._polling:
            now_s = self._timer.now_s()
            if self._owner.is_confirmed():
                return
            if now_s - self._polled_s < _POLL_INTERVAL_MIN_S:
                return
            await self._owner.poll()
            self._polled_s = self._timer.now_s()
