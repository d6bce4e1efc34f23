"""Tombstones of stopped attempts, which must not start."""

from __future__ import annotations

import collections
import typing

from walnutpoint_entry.tasks import _wire

__all__ = ('Tombstones',)

_COUNT_MAX: typing.Final = 100_000


class Tombstones:
    """Keep stopped attempts for as long as a start may be in flight.

    A delayed start would run beside the next attempt, which the job owner
    starts elsewhere once the stop is confirmed. No start is in flight for
    longer than a lease lasts.
    """

    __slots__ = ('_retention_s', '_until_s')

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._until_s: collections.OrderedDict[_wire.Attempt, float] = (
            collections.OrderedDict()
        )

    def add(self, name: _wire.Attempt, now_s: float) -> bool:
        """Add an attempt; return False if the limit is reached."""
        self._expire(now_s)
        # Evicting the oldest would let its start run. The caller retries
        # and takes nothing as stopped until then.
        if name not in self._until_s and len(self._until_s) >= _COUNT_MAX:
            return False
        self._until_s[name] = now_s + self._retention_s
        self._until_s.move_to_end(name)
        return True

    def has(self, name: _wire.Attempt, now_s: float) -> bool:
        """Return whether an attempt must not start."""
        return now_s <= self._until_s.get(name, float('-inf'))

    def _expire(self, now_s: float) -> None:
        while self._until_s:
            name, until_s = next(iter(self._until_s.items()))
            if now_s <= until_s:
                return
            del self._until_s[name]
