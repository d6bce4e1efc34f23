"""What is known of other processes' free slots and backlogs."""

from __future__ import annotations

import dataclasses

from walnutpoint_entry import ownership

__all__ = ('Hints',)


@dataclasses.dataclass(slots=True)
class _Hint:
    member: ownership.Member
    free_slots: int
    backlog: int


class Hints:
    """The newest word of each peer, lowered by what was sent since."""

    __slots__ = ('_hints',)

    def __init__(self) -> None:
        self._hints: dict[str, _Hint] = {}

    def observe(self, state: ownership.PeerState) -> None:
        """Take a heartbeat's word."""
        self._hints[state.member.address] = _Hint(
            state.member,
            0 if state.is_stopping else state.free_slots,
            state.backlog,
        )

    def observe_free(self, member: ownership.Member, free_slots: int) -> None:
        """Take the word of an answer to a spilled request."""
        hint = self._hints.get(member.address)
        if hint is not None:
            hint.free_slots = free_slots

    def spend(self, member: ownership.Member) -> None:
        """Lower a peer's free slots by one request on its way there."""
        hint = self._hints.get(member.address)
        if hint is not None:
            hint.free_slots = max(0, hint.free_slots - 1)

    def forget(self, member: ownership.Member) -> None:
        """Expect nothing of a peer until it is heard again."""
        self._hints.pop(member.address, None)

    def freest(
        self, exclude: frozenset[str] = frozenset()
    ) -> ownership.Member | None:
        """Return the peer with the most free slots, if any has one."""
        best = max(
            (
                hint
                for address, hint in self._hints.items()
                if address not in exclude
            ),
            key=lambda hint: hint.free_slots,
            default=None,
        )
        if best is None or best.free_slots < 1:
            return None
        return best.member

    def backlogged(self) -> tuple[ownership.Member, ...]:
        """Return the peers with requests that wait, the longest first."""
        waiting = [hint for hint in self._hints.values() if hint.backlog]
        waiting.sort(key=lambda hint: -hint.backlog)
        return tuple(hint.member for hint in waiting)

    def free_elsewhere(self) -> int:
        """Return the free slots of all peers."""
        return sum(hint.free_slots for hint in self._hints.values())
