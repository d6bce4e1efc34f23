"""The proof that no newer assignment table can be in use."""

from __future__ import annotations

from walnutpoint_entry.ownership import _table

__all__ = ('Confirmation',)


class Confirmation:
    """Know until when this process may act on the table it holds.

    Every time is that at which the question was sent: an answer that was
    long under way says nothing of the present.
    """

    __slots__ = ('_attested_at_s', '_confirm_s', '_placed', '_self', '_sent_s')

    def __init__(self, member: _table.Member, confirm_s: float) -> None:
        self._self = member
        self._confirm_s = confirm_s
        self._placed: _table.PlacedTable | None = None
        self._sent_s = float('-inf')
        self._attested_at_s: dict[_table.Member, float] = {}

    def adopt(self, placed: _table.PlacedTable, read_sent_s: float) -> None:
        """Start anew with a newer table that was read from the store."""
        self._placed = placed
        self._sent_s = read_sent_s
        self._attested_at_s.clear()

    def observe_store(self, revision: int, sent_s: float) -> None:
        """Take the store's word on the newest revision of the table."""
        if self._placed is not None and revision == self._placed.revision:
            self._sent_s = max(self._sent_s, sent_s)

    def observe_peer(
        self, peer: _table.Member, revision: int, sent_s: float
    ) -> None:
        """Take a peer's word that it knows of no newer table."""
        placed = self._placed
        # Two paused owners could otherwise be confirmed by a process that
        # was restarted and has forgotten the newer table it acknowledged:
        # both would place. Only exact incarnations that the table lists
        # count, and these never forget.
        if placed is None or peer not in placed.table.members:
            return
        if revision <= placed.revision:
            known_s = self._attested_at_s.get(peer, sent_s)
            self._attested_at_s[peer] = max(known_s, sent_s)

    def confirmed_until_s(self, now_s: float) -> float:
        """Return the time up to which the table is confirmed."""
        return max(self._sent_s, self._attested_s(now_s)) + self._confirm_s

    def is_confirmed(self, now_s: float) -> bool:
        """Tell whether this process may act on its table now."""
        if self._placed is None:
            return False
        if now_s < self._sent_s + self._confirm_s:
            return True
        return now_s < self._attested_s(now_s) + self._confirm_s

    def _attested_s(self, now_s: float) -> float:
        placed = self._placed
        if placed is None or self._self not in placed.table.members:
            return float('-inf')
        needed = _table.attest_count(len(placed.table.members))
        times = sorted((*self._attested_at_s.values(), now_s), reverse=True)
        return times[needed - 1] if len(times) >= needed else float('-inf')
