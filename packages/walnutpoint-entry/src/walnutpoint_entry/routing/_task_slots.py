"""Slots of owned endpoints that are used by tasks."""

from __future__ import annotations

import collections

from walnutpoint_entry import placement
from walnutpoint_entry.routing import _fleet

__all__ = ('TaskSlots',)


class TaskSlots:
    """Share the fleet's slots between requests and tasks."""

    __slots__ = ('_fleet', '_leases')

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self._fleet = fleet
        self._leases: collections.defaultdict[
            str, list[placement.SlotLease]
        ] = collections.defaultdict(list)

    def free_slots(self, endpoint: str) -> int:
        """Return the number of slots that are free for tasks."""
        return self._fleet.free_slots_at(endpoint)

    def take_slot(self, endpoint: str) -> bool:
        """Lease a free slot for a task, if there is one."""
        return self._record(endpoint, self._fleet.acquire_at(endpoint))

    def claim_slot(self, endpoint: str) -> None:
        """Lease the slot of a task that was found running."""
        self._record(endpoint, self._fleet.claim(endpoint))

    def free_slot(self, endpoint: str) -> None:
        """Free the slot of a task."""
        leases = self._leases[endpoint]
        if leases:
            self._fleet.release(leases.pop())
        if not leases:
            del self._leases[endpoint]

    def open_slots(self, endpoint: str) -> None:
        """Open an acquired endpoint to requests."""
        self._fleet.open(endpoint)

    def _record(
        self, endpoint: str, lease: placement.SlotLease | None
    ) -> bool:
        if lease is None:
            return False
        self._leases[endpoint].append(lease)
        return True
