"""Confirmation that no newer assignment table can be in use."""

from __future__ import annotations

from walnutpoint_entry.ownership import _table

__all__ = ('Confirmation',)


class Confirmation:
    """Compute until when this process may act on its table.

    All times are those at which the request was sent: a delayed answer
    proves nothing about the present.
    """

    __slots__ = (
        '_attested_at_s',
        '_confirm_s',
        '_member',
        '_store_sent_at_s',
        '_stored',
    )

    def __init__(self, member: _table.Member, confirm_s: float) -> None:
        self._member = member
        self._confirm_s = confirm_s
        self._stored: _table.StoredTable | None = None
        self._store_sent_at_s = float('-inf')
        self._attested_at_s: dict[_table.Member, float] = {}

    def adopt(self, stored: _table.StoredTable, read_sent_s: float) -> None:
        """Reset to a newer table that was read from the store."""
        self._stored = stored
        self._store_sent_at_s = read_sent_s
        self._attested_at_s.clear()

    def record_store_revision(self, revision: int, sent_s: float) -> None:
        """Record the table revision that the store returned."""
        if self._stored is not None and revision == self._stored.revision:
            self._store_sent_at_s = max(self._store_sent_at_s, sent_s)

    def record_peer_revision(
        self, peer: _table.Member, revision: int, sent_s: float
    ) -> None:
        """Record the newest table revision that a peer knows."""
        stored = self._stored
        # A restarted process has lost the newer table that it acknowledged
        # and could confirm the old owner beside the new one: both would
        # place. Only the incarnations listed in the table count.
        if stored is None or peer not in stored.table.members:
            return
        if revision <= stored.revision:
            previous_s = self._attested_at_s.get(peer, sent_s)
            self._attested_at_s[peer] = max(previous_s, sent_s)

    def confirmed_until_s(self, now_s: float) -> float:
        """Return the time until which the table is confirmed."""
        return (
            max(self._store_sent_at_s, self._quorum_attested_at_s(now_s))
            + self._confirm_s
        )

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether this process may act on its table now."""
        if self._stored is None:
            return False
        if now_s < self._store_sent_at_s + self._confirm_s:
            return True
        return now_s < self._quorum_attested_at_s(now_s) + self._confirm_s

    def _quorum_attested_at_s(self, now_s: float) -> float:
        stored = self._stored
        if stored is None or self._member not in stored.table.members:
            return float('-inf')
        needed = _table.attest_count(len(stored.table.members))
        times = sorted((*self._attested_at_s.values(), now_s), reverse=True)
        return times[needed - 1] if len(times) >= needed else float('-inf')
