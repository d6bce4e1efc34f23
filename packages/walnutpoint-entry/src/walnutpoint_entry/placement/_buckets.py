"""Buckets of endpoints by their number of free slots."""

from __future__ import annotations

import collections

from walnutpoint_entry.placement import _policy

__all__ = ('SlotBuckets',)


class SlotBuckets:
    """Find the preferred endpoint in time independent of their number."""

    __slots__ = ('_buckets', '_occupied', '_policy')

    def __init__(self, policy: _policy.Policy) -> None:
        """Create buckets without endpoints."""
        self._policy = policy
        # A plain dict scans its deleted head entries on each look at the
        # first one, which grows with the endpoints; OrderedDict does not.
        self._buckets: dict[int, collections.OrderedDict[str, None]] = {}
        self._occupied = 0

    def put(self, endpoint: str, free: int) -> None:
        """Add an endpoint behind the others with as many free slots."""
        bucket = self._buckets.get(free)
        if bucket is None:
            bucket = self._buckets[free] = collections.OrderedDict()
        bucket[endpoint] = None
        self._occupied |= 1 << free

    def take(self, endpoint: str, free: int) -> None:
        """Take an endpoint out of the bucket it was put into."""
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
