"""How recently it was certain that a term has no successor."""

from __future__ import annotations

__all__ = ('Confirmation',)


class Confirmation:
    """Records when a term was last certain to have no successor.

    Each time is when the question was asked, on this host's clock: its answer
    may have been on the way for as long as the timeout of the call.
    """

    __slots__ = ('_hosts_s', '_store_s')

    def __init__(self, claimed_s: float) -> None:
        """Begin a term whose claim was requested at a time."""
        self._store_s = claimed_s
        self._hosts_s = claimed_s

    @property
    def store_s(self) -> float:
        """Return when the store was last asked and showed the claim."""
        return self._store_s

    @property
    def hosts_s(self) -> float:
        """Return since when no other host has denied a newer term."""
        return self._hosts_s

    @property
    def newest_s(self) -> float:
        """Return when a successor was last excluded."""
        return max(self._store_s, self._hosts_s)

    def note_store(self, asked_s: float) -> None:
        """Record that the store has shown the claim of this term."""
        self._store_s = max(self._store_s, asked_s)

    def note_hosts(self, asked_s: float) -> None:
        """Record that each other host knows of no newer term."""
        self._hosts_s = max(self._hosts_s, asked_s)
