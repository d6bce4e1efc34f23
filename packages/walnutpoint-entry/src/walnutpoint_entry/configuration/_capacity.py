"""The capacity of the cell according to the platform's host list."""

from __future__ import annotations

import collections

from walnutpoint_core import documents
from walnutpoint_core import model

__all__ = ('HostListCapacity',)


class HostListCapacity:
    """Count the hosts of the newest host list by shape."""

    __slots__ = ('_capacity',)

    def __init__(self) -> None:
        self._capacity: documents.HostCapacity | None = None

    def update_hosts(self, listing: model.HostListing) -> None:
        """Replace the capacity by that of a newer host list."""
        # Counts draining hosts and ignores an empty list: "can never run"
        # must not depend on which hosts happen to be listed at the time.
        if not listing.hosts:
            return
        counts = collections.Counter(
            (host.cpu_cores, host.memory_mb, host.accelerators, host.slots)
            for host in listing.hosts
        )
        self._capacity = documents.HostCapacity(
            tuple(
                documents.HostShape(*shape, count=count)
                for shape, count in counts.items()
            ),
            len({host.domain for host in listing.hosts}),
        )

    def capacity(self) -> documents.HostCapacity | None:
        """Return the capacity, or None before the first host list."""
        return self._capacity
