"""Routing of ownership changes to the users of endpoints and shards."""

from __future__ import annotations

import collections.abc

from walnutpoint_entry import jobs as jobs_module
from walnutpoint_entry import ownership
from walnutpoint_entry import peers
from walnutpoint_entry import routing
from walnutpoint_entry import tasks as tasks_module

__all__ = ('AssetRouter',)


class AssetRouter:
    """Forward ownership changes to the users of the asset's kind."""

    __slots__ = ('_fleet', '_jobs', '_links', '_shards', '_tasks')

    def __init__(
        self,
        fleet: routing.Fleet,
        shards: routing.KeyShards,
        links: peers.Links,
    ) -> None:
        self._links = links
        self._fleet = fleet
        self._shards = shards

    def set_dependencies(
        self, tasks: tasks_module.TaskService, jobs: jobs_module.JobService
    ) -> None:
        """Set the services that are built after the ownership service."""
        self._tasks = tasks
        self._jobs = jobs

    def update_members(
        self, members: collections.abc.Iterable[ownership.Member]
    ) -> None:
        """Connect to the other members of a newer table."""
        self._links.update_members(members)

    def on_acquired(self, acquired: ownership.AcquiredAsset) -> None:
        """Start using an asset."""
        self._listener(acquired.asset).on_acquired(acquired)
        if ownership.is_shard(acquired.asset):
            self._jobs.on_acquired(acquired)
        else:
            self._tasks.on_acquired(acquired)

    def on_lost(self, lost: ownership.LostAsset) -> None:
        """Stop starting work on an asset."""
        self._listener(lost.asset).on_lost(lost)
        if ownership.is_shard(lost.asset):
            self._jobs.on_lost(lost)
        else:
            self._tasks.on_lost(lost)

    def lower_in_use(self, asset: str, in_use: int) -> None:
        """Lower the number of slots that the old owner still uses."""
        self._listener(asset).lower_in_use(asset, in_use)

    def in_use(self, asset: str) -> int:
        """Return how many slots of an asset this process still uses."""
        return self._listener(asset).in_use(asset)

    async def hand_over(
        self, asset: str, epoch: int, successor: ownership.Member
    ) -> None:
        """Send the next owner the key memory of a released shard."""
        if ownership.is_shard(asset):
            await self._shards.hand_over(asset, epoch, successor)

    def _listener(self, asset: str) -> routing.Fleet | routing.KeyShards:
        return self._shards if ownership.is_shard(asset) else self._fleet
