"""Polling of worker owners for the inventories of each shard."""

from __future__ import annotations

import collections.abc

import anyio.abc

from walnutpoint_core import timer as timers
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _owners
from walnutpoint_entry.jobs import _ports
from walnutpoint_entry.jobs import _recovery
from walnutpoint_entry.jobs import _shard
from walnutpoint_entry import tasks

__all__ = ('Poller',)

_TRANSIENT_PHASES = (
    _model.Phase.HELD,
    _model.Phase.STARTING,
    _model.Phase.STOPPING,
    _model.Phase.DOUBTFUL,
)


class Poller:
    """Polls the owners in use by a shard, and all while searching."""

    __slots__ = (
        '_last_sent_s',
        '_in_flight',
        '_on_change',
        '_owners',
        '_settings',
        '_tasks',
        '_timer',
    )

    def __init__(
        self,
        timer: timers.Timer,
        settings: _ports.JobSettings,
        owners: _owners.Owners,
        task_group: anyio.abc.TaskGroup,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._timer = timer
        self._settings = settings
        self._owners = owners
        self._tasks = task_group
        self._on_change = on_change
        self._last_sent_s: dict[tuple[int, str], float] = {}
        self._in_flight: set[tuple[int, str]] = set()

    def poll(self, shard: _shard.Shard) -> None:
        """Request the inventories that are due."""
        now_s = self._timer.now_s()
        self._advance_search(shard, now_s)
        period_s = self._period_s(shard)
        owners_in_use = shard.owners_in_use()
        for client in self._owners.clients():
            if shard.search is None and client.owner not in owners_in_use:
                continue
            key = (shard.index, client.owner)
            is_due = now_s >= self._last_sent_s.get(key, -period_s) + period_s
            if is_due and key not in self._in_flight:
                self._in_flight.add(key)
                self._last_sent_s[key] = now_s
                self._tasks.start_soon(self._request_inventory, shard, client)

    def forget(self, shard: _shard.Shard) -> None:
        """Drop the poll times of a shard."""
        for key in [key for key in self._last_sent_s if key[0] == shard.index]:
            del self._last_sent_s[key]

    def _period_s(self, shard: _shard.Shard) -> float:
        if shard.search is not None:
            return self._settings.search_period_s
        has_active_job = any(
            job.item.kind is not _model.JobKind.SERVICE and job.occupying_count
            for job in shard.jobs.values()
        )
        has_transient = any(
            job.count(*_TRANSIENT_PHASES) for job in shard.jobs.values()
        )
        if has_active_job or has_transient:
            return self._settings.poll_period_s
        return self._settings.rest_poll_period_s

    def _advance_search(self, shard: _shard.Shard, now_s: float) -> None:
        doubtful_since_s = shard.doubtful_since_s()
        if doubtful_since_s is None:
            shard.search = None
            return
        if shard.search is None:
            shard.search = _recovery.Search(self._settings, now_s)
        is_proven = shard.search.advance(
            now_s,
            self._owners.names(),
            self._owners.are_all_reachable(),
            self._owners.table_revision,
        )
        if is_proven:
            shard.resolve_doubtful(shard.search.started_s, now_s)
            shard.search = None
            if shard.doubtful_since_s() is not None:
                shard.search = _recovery.Search(self._settings, now_s)

    async def _request_inventory(
        self, shard: _shard.Shard, client: tasks.OwnerClient
    ) -> None:
        sent_s = self._timer.now_s()
        revision = self._owners.table_revision
        try:
            reply = await client.inventory(shard.index, shard.epoch)
        finally:
            self._in_flight.discard((shard.index, client.owner))
        if not shard.is_open or reply.is_error():
            return
        now_s = self._timer.now_s()
        shard.apply_inventory(client.owner, reply.ok, sent_s, now_s)
        if shard.search and revision == self._owners.table_revision:
            shard.search.observe(
                client.owner, sent_s, now_s, reply.ok.is_complete, revision
            )
        self._on_change()
