"""Liveness of the table's members as seen by this process."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_entry.ownership import _table

__all__ = ('Liveness',)

_CHALLENGE_EXEMPTION_S: typing.Final = 5.0
_JOINER_TIMEOUT_S: typing.Final = 1.5


class Liveness:
    """Track heartbeats, challenges in the store, joiners and leavers.

    A silent member is not dead: in a partition both processes may serve,
    and each would take over the other's endpoints in turn. So a silent
    member is challenged by a key in the store, which a live process deletes;
    its endpoints are reassigned only if the challenge stays unanswered.
    """

    __slots__ = (
        '_challenged_at_s',
        '_challenges',
        '_exempt_until_s',
        '_heartbeat_at_s',
        '_joiners',
        '_leavers',
        '_replaced',
    )

    def __init__(self) -> None:
        self._heartbeat_at_s: dict[_table.Member, float] = {}
        self._challenges: dict[_table.Member, int] = {}
        self._challenged_at_s: dict[_table.Member, float] = {}
        self._exempt_until_s: dict[_table.Member, float] = {}
        self._joiners: dict[_table.Member, float] = {}
        self._leavers: set[_table.Member] = set()
        self._replaced: set[_table.Member] = set()

    def adopt(
        self,
        members: collections.abc.Collection[_table.Member],
        now_s: float,
    ) -> None:
        """Drop the state of all but the members of a newer table."""
        self._heartbeat_at_s = {
            member: self._heartbeat_at_s.get(member, now_s)
            for member in members
        }
        for by_member in (
            self._challenges,
            self._challenged_at_s,
            self._exempt_until_s,
        ):
            for member in by_member.keys() - self._heartbeat_at_s.keys():
                del by_member[member]
        self._leavers &= self._heartbeat_at_s.keys()
        self._replaced &= self._heartbeat_at_s.keys()
        for member in self._joiners.keys() & self._heartbeat_at_s.keys():
            del self._joiners[member]

    def record_heartbeat(
        self, member: _table.Member, is_stopping: bool, now_s: float
    ) -> None:
        """Record a heartbeat of one process."""
        if member in self._heartbeat_at_s:
            self._heartbeat_at_s[member] = now_s
            if is_stopping:
                self._leavers.add(member)
            return
        for other in self._heartbeat_at_s:
            if other.address == member.address:
                self._replaced.add(other)
        # Only the newest incarnation at an address can be alive: with two in
        # the table, endpoints would be assigned to the dead one.
        self._joiners = {
            joiner: heartbeat_at_s
            for joiner, heartbeat_at_s in self._joiners.items()
            if joiner.address != member.address
        }
        if not is_stopping:
            self._joiners[member] = now_s

    def record_connection_refused(self, member: _table.Member) -> None:
        """Record that a member's address refuses connections."""
        # The process has ended or cannot be reached. It is challenged at
        # once: if it is alive it answers, at the cost of one write.
        if member in self._heartbeat_at_s:
            self._heartbeat_at_s[member] = float('-inf')

    def update_challenges(
        self,
        revisions: collections.abc.Mapping[_table.Member, int],
        now_s: float,
    ) -> None:
        """Replace the challenges by those present in the store."""
        for member in self._challenges.keys() - revisions.keys():
            self._exempt_until_s[member] = now_s + _CHALLENGE_EXEMPTION_S
            del self._challenged_at_s[member]
        for member, revision in revisions.items():
            if self._challenges.get(member) != revision:
                self._challenged_at_s[member] = now_s
        self._challenges = dict(revisions)

    def members_to_challenge(
        self, silence_s: float, now_s: float
    ) -> tuple[_table.Member, ...]:
        """Return the silent members that have no challenge yet."""
        return tuple(
            member
            for member, heartbeat_at_s in self._heartbeat_at_s.items()
            if now_s - heartbeat_at_s > silence_s
            and member not in self._challenges
            and member not in self._replaced
            and now_s >= self._exempt_until_s.get(member, 0.0)
        )

    def dead(
        self, silence_s: float, challenge_s: float, now_s: float
    ) -> dict[_table.Member, int]:
        """Return the dead members with the revisions of their challenges.

        The revision is zero for a member whose address has a newer
        incarnation, as it is not challenged.
        """
        dead = dict.fromkeys(self._replaced, 0)
        for member, revision in self._challenges.items():
            heartbeat_at_s = self._heartbeat_at_s.get(member)
            if heartbeat_at_s is None or now_s - heartbeat_at_s <= silence_s:
                continue
            if now_s - self._challenged_at_s[member] > challenge_s:
                dead[member] = revision
        return dead

    def joiners(self, now_s: float) -> tuple[_table.Member, ...]:
        """Return the processes that request to join."""
        return tuple(
            member
            for member, heartbeat_at_s in self._joiners.items()
            if now_s - heartbeat_at_s <= _JOINER_TIMEOUT_S
        )

    def leavers(self) -> frozenset[_table.Member]:
        """Return the members that are shutting down."""
        return frozenset(self._leavers)
