"""Lookup of worker owners, and checks of this process's ownership."""

from __future__ import annotations

from walnutpoint_entry.jobs import _ports
from walnutpoint_entry.jobs import _shard
from walnutpoint_entry import tasks

__all__ = ('Owners',)


class Owners:
    """Finds worker owners and checks which shards may be acted for."""

    __slots__ = ('_owner_clients', '_ownership')

    def __init__(
        self, ownership: _ports.Ownership, clients: tasks.OwnerClients
    ) -> None:
        self._ownership = ownership
        self._owner_clients = clients

    @property
    def table_revision(self) -> int:
        """Return the revision of the newest table known here."""
        return self._ownership.table_revision

    def may_act(self, shard: _shard.Shard) -> bool:
        """Return whether this process still owns the shard."""
        return shard.is_open and self._ownership.may_act(shard.asset)

    def clients(self) -> tuple[tasks.OwnerClient, ...]:
        """Return the clients of reachable owners, this process's first."""
        return self._owner_clients.reachable()

    def client(self, owner: str) -> tasks.OwnerClient | None:
        """Return the client of an owner, or None if unreachable."""
        for client in self._owner_clients.reachable():
            if client.owner == owner:
                return client
        return None

    def names(self) -> frozenset[str]:
        """Return the names of the reachable owners."""
        return frozenset(
            client.owner for client in self._owner_clients.reachable()
        )

    def are_all_reachable(self) -> bool:
        """Return whether every owner in the table is reachable."""
        return self._owner_clients.are_all_reachable()

    def has_left(self, owner: str) -> bool:
        """Return whether a process no longer owns any workers."""
        return (
            self._owner_clients.are_all_reachable()
            and self.client(owner) is None
        )
