"""Leases on workers that have been removed from the table."""

from __future__ import annotations

import math

from walnutpoint_entry import ownership

__all__ = ('OrphanedLeases',)


class OrphanedLeases:
    """Track how long a worker without an owner may still run tasks.

    No owner reports the tasks of a worker that a newer table has dropped.
    They would seem to have ended and be started elsewhere while their
    leases last.
    """

    __slots__ = ('_endpoints', '_lapse_s', '_revision', '_until_s')

    def __init__(self, lapse_s: float) -> None:
        self._lapse_s = lapse_s
        self._endpoints: frozenset[str] = frozenset()
        self._revision = 0
        self._until_s = -math.inf

    def update(
        self, stored: ownership.StoredTable | None, now_s: float
    ) -> None:
        """Compare a newer table with the previous one."""
        if stored is None or stored.revision == self._revision:
            return
        endpoints = frozenset(
            asset
            for asset in stored.table.holdings
            if not ownership.is_shard(asset)
        )
        if self._endpoints - endpoints:
            self._until_s = now_s + self._lapse_s
        self._endpoints = endpoints
        self._revision = stored.revision

    def have_lapsed(self, now_s: float) -> bool:
        """Return whether every lease of dropped workers has lapsed."""
        return now_s > self._until_s
