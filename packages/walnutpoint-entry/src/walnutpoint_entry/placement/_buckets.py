"""Endpoints in buckets by their number of free slots."""

from __future__ import annotations

import collections

from walnutpoint_entry.placement import _policy

__all__ = ('SlotBuckets',)


class SlotBuckets:
    """Find the preferred endpoint in constant time."""

    __slots__ = ('_buckets', '_occupied', '_policy')

    def __init__(self, policy: _policy.Policy) -> None:
        """Create buckets without endpoints."""
        self._policy = policy
        # Finding the first key of a plain dict scans the deleted entries
        # before it, O(endpoints); an OrderedDict finds it in O(1).
        self._buckets: dict[int, collections.OrderedDict[str, None]] = {}
        self._occupied = 0

    def put(self, endpoint: str, free: int) -> None:
        """Append an endpoint to the bucket of its free slots."""
        bucket = self._buckets.get(free)
        if bucket is None:
            bucket = self._buckets[free] = collections.OrderedDict()
        bucket[endpoint] = None
        self._occupied |= 1 << free

    def remove(self, endpoint: str, free: int) -> None:
        """Remove an endpoint from the bucket of its free slots."""
        bucket = self._buckets[free]
        del bucket[endpoint]
        if not bucket:
            self._occupied &= ~(1 << free)

    def preferred(self, exclude: frozenset[str]) -> str | None:
        """Return the preferred endpoint that is not excluded."""
        occupied = self._occupied
        while occupied:
            free = self._policy.preferred(occupied)
            for endpoint in self._buckets[free]:
                if endpoint not in exclude:
                    return endpoint
            occupied &= ~(1 << free)
        return None
