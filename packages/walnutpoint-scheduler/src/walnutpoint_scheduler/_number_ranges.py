"""A set of numbers, kept as ranges."""

from __future__ import annotations

import bisect
import collections.abc

__all__ = ('NumberRanges',)


class NumberRanges:
    """Holds numbers that are added mostly in order, in little memory."""

    __slots__ = ('_ends', '_starts', 'count')

    def __init__(self) -> None:
        # Parallel and ascending; each range excludes its end.
        self._starts: list[int] = []
        self._ends: list[int] = []
        # How many numbers it holds.
        self.count = 0

    def __contains__(self, number: int) -> bool:
        index = bisect.bisect_right(self._starts, number) - 1
        return index >= 0 and number < self._ends[index]

    def __iter__(self) -> collections.abc.Iterator[tuple[int, int]]:
        """Yield each range as its start and the number after its end."""
        return zip(self._starts, self._ends, strict=True)

    def add(self, start: int, end: int) -> None:
        """Add the numbers from a start up to an end, which is excluded."""
        if end <= start:
            return
        first = bisect.bisect_left(self._ends, start)
        last = bisect.bisect_right(self._starts, end)
        if first < last:
            start = min(start, self._starts[first])
            end = max(end, self._ends[last - 1])
            self.count -= sum(
                self._ends[index] - self._starts[index]
                for index in range(first, last)
            )
        self._starts[first:last] = [start]
        self._ends[first:last] = [end]
        self.count += end - start

    def next_absent(self, number: int) -> int:
        """Return a number, or the first after it that is not held."""
        index = bisect.bisect_right(self._starts, number) - 1
        if index >= 0 and number < self._ends[index]:
            return self._ends[index]
        return number
