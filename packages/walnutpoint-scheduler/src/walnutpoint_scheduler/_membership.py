"""The member processes, as listed by the store and by other processes."""

from __future__ import annotations

import collections.abc
import typing

import xxhash

from walnutpoint_core import decoding
from walnutpoint_core import entry_faults
from walnutpoint_core import ports
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _messages

__all__ = ('Membership',)

# An unreachable process is tried last for this long.
_UNREACHABLE_S: typing.Final = 3.0
# Every process probes the scheduler once in this time, even 200 of them.
_ALIVE_S: typing.Final = 2.0


class Membership:
    """The known processes, and which were recently reachable."""

    __slots__ = (
        '_faults',
        '_listed',
        '_members',
        '_seen_s',
        '_unreachable_until_s',
        'listing_revision',
        'local_member',
    )

    def __init__(self, local_member: _messages.Member) -> None:
        self.local_member = local_member
        self._members: dict[str, _messages.Member] = {
            local_member.name: local_member
        }
        self._unreachable_until_s: dict[str, float] = {}
        self._seen_s: dict[str, float] = {}
        # Names that the store lists, and the revision of that listing.
        self._listed: set[str] = set()
        self.listing_revision = 0
        self._faults = entry_faults.EntryFaults('members')

    def update(self, item: ports.StoredValue) -> None:
        """Add a member from its stored entry."""
        if not item.key.startswith(_keys.MEMBERS):
            return
        # Also one that can't be read: it may be a live process.
        self._listed.add(item.key.removeprefix(_keys.MEMBERS))
        try:
            member = decoding.from_msgpack(item.value, _messages.Member)
        except decoding.UnreadableError as error:
            self._faults.report(item, error)
            return
        self.add(member)

    def add(self, member: _messages.Member) -> None:
        """Add a member, or replace its entry."""
        if member.name == self.local_member.name:
            return
        if self._members.get(member.name) != member:
            self._members[member.name] = member
            self._unreachable_until_s.pop(member.address, None)

    def remove(self, key: str) -> None:
        """Forget a member whose entry was removed."""
        name = key.removeprefix(_keys.MEMBERS)
        if name != self.local_member.name:
            self._members.pop(name, None)
            self._seen_s.pop(name, None)
        self._listed.discard(name)

    def begin_listing(self, revision: int) -> None:
        """Forget which members are listed, before all are read anew."""
        self._listed = set()
        self.listing_revision = revision

    @property
    def is_listed(self) -> bool:
        """Return whether the store lists this process."""
        return self.local_member.name in self._listed

    def listed_others(self) -> list[str]:
        """Return the names of the others that the store lists.

        Other processes may go on naming one that has left.
        """
        return sorted(self._listed - {self.local_member.name})

    def find(self, name: str) -> _messages.Member | None:
        """Return a member by its name."""
        return self._members.get(name)

    def mark_unreachable(self, address: str, now_s: float) -> None:
        """Put an address last for a while."""
        self._unreachable_until_s[address] = now_s + _UNREACHABLE_S

    def note_alive(self, name: str, now_s: float) -> None:
        """Record that a process called this one."""
        self._seen_s[name] = now_s

    def is_alive(self, name: str, now_s: float) -> bool:
        """Return whether a member called this process recently."""
        return now_s - self._seen_s.get(name, -_ALIVE_S) < _ALIVE_S

    def mark_reachable(self, address: str) -> None:
        """Stop putting an address last."""
        self._unreachable_until_s.pop(address, None)

    def all(self) -> tuple[_messages.Member, ...]:
        """Return all members, including this process."""
        return tuple(self._members.values())

    def others(self, now_s: float) -> list[_messages.Member]:
        """Return the other members, unreachable ones last."""
        others = [
            m for m in self._members.values() if m is not self.local_member
        ]
        return sorted(others, key=lambda m: self.is_unreachable(m, now_s))

    def is_unreachable(self, member: _messages.Member, now_s: float) -> bool:
        """Return whether a call to a member failed recently."""
        return self._unreachable_until_s.get(member.address, 0.0) > now_s

    def rank(
        self,
        revision: int,
        excluded: collections.abc.Container[str],
        now_s: float,
    ) -> int:
        """Return how many candidates precede this process.

        Strong hosts come first: the scheduler needs a core and the worker
        links, and on a weak host all starts of the cell are late. Among
        equals the order varies with the revision of the scheduler's key, so
        that no process is always first.
        """
        candidates = [
            member
            for member in self._members.values()
            if member.name not in excluded
            and (
                member is self.local_member
                or not self.is_unreachable(member, now_s)
            )
        ]
        candidates.sort(
            key=lambda m: (
                -m.strength,
                xxhash.xxh64_intdigest(f'{m.name}/{revision}'.encode()),
            )
        )
        return (
            candidates.index(self.local_member)
            if self.local_member in candidates
            else 0
        )
