"""Reported free slots and backlogs of the peers."""

from __future__ import annotations

import dataclasses

from walnutpoint_entry import ownership

__all__ = ('PeerLoads',)


@dataclasses.dataclass(slots=True)
class _PeerLoad:
    member: ownership.Member
    free_slots: int
    backlog: int


class PeerLoads:
    """Latest load of each peer, less the requests sent since."""

    __slots__ = ('_by_address',)

    def __init__(self) -> None:
        self._by_address: dict[str, _PeerLoad] = {}

    def observe(self, state: ownership.PeerState) -> None:
        """Update a peer's load from its heartbeat."""
        self._by_address[state.member.address] = _PeerLoad(
            state.member,
            0 if state.is_stopping else state.free_slots,
            state.backlog,
        )

    def observe_free_slots(
        self, member: ownership.Member, free_slots: int
    ) -> None:
        """Update a peer's free slots from an answer to a spilled request."""
        load = self._by_address.get(member.address)
        if load is not None:
            load.free_slots = free_slots

    def reserve_slot(self, member: ownership.Member) -> None:
        """Lower a peer's free slots by one for a request being sent."""
        load = self._by_address.get(member.address)
        if load is not None:
            load.free_slots = max(0, load.free_slots - 1)

    def forget(self, member: ownership.Member) -> None:
        """Drop a peer's load until its next heartbeat."""
        self._by_address.pop(member.address, None)

    def most_free(
        self, exclude: frozenset[str] = frozenset()
    ) -> ownership.Member | None:
        """Return the peer with the most free slots, if any has one."""
        best = max(
            (
                load
                for address, load in self._by_address.items()
                if address not in exclude
            ),
            key=lambda load: load.free_slots,
            default=None,
        )
        if best is None or best.free_slots < 1:
            return None
        return best.member

    def backlogged(self) -> tuple[ownership.Member, ...]:
        """Return the peers with queued requests, longest backlog first."""
        waiting = [load for load in self._by_address.values() if load.backlog]
        waiting.sort(key=lambda load: -load.backlog)
        return tuple(load.member for load in waiting)

    def total_free_slots(self) -> int:
        """Return the sum of the peers' free slots."""
        return sum(load.free_slots for load in self._by_address.values())
