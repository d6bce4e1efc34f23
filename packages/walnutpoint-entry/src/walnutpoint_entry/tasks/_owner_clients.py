"""Clients of all owners in the assignment table."""

from __future__ import annotations

import collections.abc
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import timer as timers
from walnutpoint_entry import ownership
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _owner
from walnutpoint_entry.tasks import _ports
from walnutpoint_entry.tasks import _remote
from walnutpoint_entry.tasks import _service

__all__ = (
    'PeerLinks',
    'PeerOwnerClients',
)


class PeerLinks(typing.Protocol):
    """The links to peers that owner clients use."""

    def find(self, member: ownership.Member) -> _remote.PeerLink | None:
        """Return the link to exactly this incarnation of a member."""


class PeerOwnerClients:
    """Clients of this process and of the peers that answer.

    The clients of one call are bound to one revision of the table; their
    inventories are valid together only if all of them are complete.
    """

    __slots__ = ('_hints', '_links', '_owner', '_service', '_timer')

    def __init__(
        self,
        timer: timers.Timer,
        owner: _owner.Owner,
        service: _service.TaskService,
        links: PeerLinks,
    ) -> None:
        self._timer = timer
        self._owner = owner
        self._service = service
        self._links = links
        self._hints: dict[ownership.Member, _remote.CapacityHint] = {}

    def reachable(self) -> tuple[_ports.OwnerClient, ...]:
        """Return clients of the reachable owners, the local one first."""
        revision = self._owner.table_revision
        others = self._others()
        self._hints = {
            member: self._hints.get(member) or _remote.CapacityHint()
            for member in others
        }
        clients: list[_ports.OwnerClient] = [
            _LocalOwnerClient(self._service, revision)
        ]
        for member in others:
            link = self._link(member)
            if link is not None:
                clients.append(
                    _remote.RemoteOwnerClient(
                        self._timer, link, revision, self._hints[member]
                    )
                )
        return tuple(clients)

    def are_all_reachable(self) -> bool:
        """Return whether every owner in the table can be reached."""
        return self._owner.stored_table is not None and all(
            self._link(member) is not None for member in self._others()
        )

    def _others(self) -> tuple[ownership.Member, ...]:
        stored = self._owner.stored_table
        if stored is None:
            return ()
        return tuple(
            member
            for member in stored.table.members
            if member != self._owner.member
        )

    def _link(self, member: ownership.Member) -> _remote.PeerLink | None:
        link = self._links.find(member)
        return link if link is not None and link.is_responsive() else None


class _LocalOwnerClient:
    """The owned workers at one revision of the assignment table."""

    __slots__ = ('_service', '_table_revision')

    def __init__(
        self, service: _service.TaskService, table_revision: int
    ) -> None:
        self._service = service
        self._table_revision = table_revision

    @property
    def owner(self) -> str:
        """Return the owner's name."""
        return self._service.owner

    def free_tasks(self, spec: _model.TaskSpec) -> int:
        """Estimate how many such tasks could start now."""
        return self._service.free_tasks(spec)

    def displaceable_tasks(self, spec: _model.TaskSpec) -> int:
        """Estimate how many could start if batch tasks were displaced."""
        return self._service.displaceable_tasks(spec)

    async def hold(
        self,
        spec: _model.TaskSpec,
        hold_s: float,
        avoid_domains: frozenset[str] = frozenset(),
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Hold capacity for a task until the hold expires."""
        return await self._service.hold(spec, hold_s, avoid_domains)

    async def start(
        self,
        spec: _model.TaskSpec,
        avoid_domains: frozenset[str] = frozenset(),
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Start a task where it is held, or on any that has capacity."""
        return await self._service.start(spec, avoid_domains)

    async def stop(
        self,
        key: _model.TaskKey,
        attempt: int,
        mode: _model.StopMode,
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Release a hold or stop a task; STOPPED confirms the end."""
        return await self._service.stop(key, attempt, mode)

    async def inventory(
        self, shard: int, shard_epoch: int
    ) -> expression.Result[_model.Inventory, errors.Failure]:
        """Return a shard's tasks and fence older epochs."""
        listed = await self._service.inventory(shard, shard_epoch)
        return listed.map(
            lambda inventory: _remote.at_revision(
                inventory, self._table_revision, self._service.table_revision
            )
        )

    async def acknowledge(
        self,
        shard: int,
        ended: collections.abc.Collection[_model.TaskReport],
    ) -> expression.Result[None, errors.Failure]:
        """Drop ended tasks whose end the job owner has recorded."""
        return await self._service.acknowledge(shard, ended)
