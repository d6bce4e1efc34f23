"""Handover of lost assets to their successors."""

from __future__ import annotations

import collections
import collections.abc
import typing

import anyio
import anyio.abc

from walnutpoint_core import logs
from walnutpoint_core import timer as timers
from walnutpoint_entry.ownership import _assets
from walnutpoint_entry.ownership import _peers
from walnutpoint_entry.ownership import _succession
from walnutpoint_entry.ownership import _table

__all__ = ('Handover',)

_RELEASE_RETRY_S: typing.Final = 0.2
_RELEASE_ATTEMPTS: typing.Final = 10
_REPORT_PERIOD_S: typing.Final = 0.1
# Key memories sent at a time. All must arrive before the successor's fence
# ends, after which it opens the shards without them.
_CONCURRENT_TRANSFERS_MAX: typing.Final = 8

_LOG = logs.get_logger(__name__)


class Handover:
    """Release assets, then report their used slots until all are free."""

    __slots__ = (
        '_listener',
        '_sender',
        '_tasks',
        '_timer',
        '_unfinished_count',
        '_unreleased_count',
    )

    def __init__(
        self,
        timer: timers.Timer,
        listener: _assets.AssetListener,
        sender: _peers.ReleaseSender,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._timer = timer
        self._listener = listener
        self._sender = sender
        self._tasks = tasks
        self._unfinished_count = 0
        self._unreleased_count = 0

    def is_done(self) -> bool:
        """Return whether every handover has ended."""
        return self._unfinished_count == 0

    def is_released(self) -> bool:
        """Return whether each lost asset was released or abandoned."""
        return self._unreleased_count == 0

    def start(
        self,
        stored: _table.StoredTable,
        lost_assets: collections.abc.Iterable[_succession.LostAsset],
    ) -> None:
        """Start the handover of lost assets, grouped by successor."""
        # Endpoints are released separately from shards: they need not wait
        # until the key memory of a shard has been sent.
        groups: collections.defaultdict[
            tuple[_table.Member, bool], dict[str, int]
        ] = collections.defaultdict(dict)
        for lost in lost_assets:
            if lost.successor is not None:
                is_shard = _table.is_shard(lost.asset)
                groups[lost.successor, is_shard][lost.asset] = lost.epoch
        for (successor, _), assets in groups.items():
            self._unfinished_count += 1
            self._unreleased_count += 1
            self._tasks.start_soon(self._run, stored, successor, assets)

    async def _run(
        self,
        stored: _table.StoredTable,
        successor: _table.Member,
        epochs: dict[str, int],
    ) -> None:
        try:
            is_accepted = await self._release(stored, successor, epochs)
            _LOG.info(
                'assets_released',
                successor=successor.name,
                assets=len(epochs),
                taken=is_accepted,
            )
            if is_accepted:
                await self._report_in_use(stored, successor, epochs)
        finally:
            self._unfinished_count -= 1

    async def _release(
        self,
        stored: _table.StoredTable,
        successor: _table.Member,
        epochs: dict[str, int],
    ) -> bool:
        try:
            limiter = anyio.CapacityLimiter(_CONCURRENT_TRANSFERS_MAX)
            async with anyio.create_task_group() as tasks:
                for asset in epochs:
                    tasks.start_soon(
                        self._hand_over, stored, successor, asset, limiter
                    )
            return await self._send_release(stored, successor, epochs)
        finally:
            self._unreleased_count -= 1

    async def _hand_over(
        self,
        stored: _table.StoredTable,
        successor: _table.Member,
        asset: str,
        limiter: anyio.CapacityLimiter,
    ) -> None:
        async with limiter:
            await self._listener.hand_over(
                asset, stored.table.epoch(asset), successor
            )

    async def _send_release(
        self,
        stored: _table.StoredTable,
        successor: _table.Member,
        epochs: dict[str, int],
    ) -> bool:
        for _ in range(_RELEASE_ATTEMPTS):
            released = self._released_assets(stored, epochs)
            if await self._sender.send_release(
                successor, stored.revision, released
            ):
                return True
            await self._timer.sleep(_RELEASE_RETRY_S)
        # The successor then waits for its fence and assumes all slots used.
        return False

    async def _report_in_use(
        self,
        stored: _table.StoredTable,
        successor: _table.Member,
        epochs: dict[str, int],
    ) -> None:
        reported = {
            item.asset: item.in_use
            for item in self._released_assets(stored, epochs)
        }
        while any(reported.values()):
            await self._timer.sleep(_REPORT_PERIOD_S)
            changed = tuple(
                item
                for item in self._released_assets(stored, epochs)
                if item.in_use < reported[item.asset]
            )
            if changed and await self._sender.send_release(
                successor, stored.revision, changed
            ):
                reported.update({item.asset: item.in_use for item in changed})
            elif changed:
                return

    def _released_assets(
        self, stored: _table.StoredTable, epochs: dict[str, int]
    ) -> tuple[_peers.ReleasedAsset, ...]:
        return tuple(
            _peers.ReleasedAsset(
                asset,
                stored.table.epoch(asset),
                released_epoch,
                self._listener.in_use(asset),
            )
            for asset, released_epoch in epochs.items()
        )
