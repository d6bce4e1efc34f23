"""A priority queue whose items can be removed."""

from __future__ import annotations

import collections.abc
import heapq
import itertools
import typing

__all__ = ('RemovableHeap',)

_Item = typing.TypeVar('_Item', bound=collections.abc.Hashable)

_REMOVED_ENTRIES_SLACK: typing.Final = 32


class RemovableHeap(typing.Generic[_Item]):
    """Binary heap with lazy removal; equal keys are first in, first out."""

    __slots__ = ('_entries', '_live', '_serials')

    def __init__(self) -> None:
        """Create an empty heap."""
        self._entries: list[tuple[float, int, _Item]] = []
        self._live: dict[_Item, int] = {}
        self._serials = itertools.count()

    def __len__(self) -> int:
        """Return the number of items that are not removed."""
        return len(self._live)

    def __contains__(self, item: object) -> bool:
        """Return whether an item is in the heap."""
        return item in self._live

    @property
    def entry_count(self) -> int:
        """Return the number of stored entries, removed ones included."""
        return len(self._entries)

    def push(self, key: float, item: _Item) -> None:
        """Add an item or change its key."""
        serial = next(self._serials)
        is_moved = item in self._live
        self._live[item] = serial
        heapq.heappush(self._entries, (key, serial, item))
        if is_moved:
            self._trim()

    def remove(self, item: _Item) -> None:
        """Remove an item if present."""
        if self._live.pop(item, None) is not None:
            self._trim()

    def first(self) -> _Item | None:
        """Return the item with the lowest key."""
        return self._entries[0][2] if self._entries else None

    def first_key(self) -> float | None:
        """Return the lowest key."""
        return self._entries[0][0] if self._entries else None

    def _trim(self) -> None:
        """Drop removed entries at the top; rebuild if most are removed."""
        # Without the rebuild, entries removed deep in the heap would stay
        # until they reach the top, and mass removals would leak memory. It
        # drops at least half of the entries: amortized O(1) per removal.
        if len(self._entries) > 2 * len(self._live) + _REMOVED_ENTRIES_SLACK:
            live = self._live
            self._entries = [
                entry
                for entry in self._entries
                if live.get(entry[2]) == entry[1]
            ]
            heapq.heapify(self._entries)
        while self._entries:
            _, serial, item = self._entries[0]
            if self._live.get(item) == serial:
                return
            heapq.heappop(self._entries)
