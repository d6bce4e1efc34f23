"""The hand-over of lost assets to their next owners."""

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

_RETRY_S: typing.Final = 0.2
_ATTEMPTS: typing.Final = 10
_REPORT_PERIOD_S: typing.Final = 0.1
# Memories of shards on their way at a time. All have to arrive before the
# successor's fence ends, by which it opens without them.
_MEMORIES_AT_ONCE: typing.Final = 8

_LOG = logs.get_logger(__name__)


class Handover:
    """Release assets, then report their slots until the last is free."""

    __slots__ = (
        '_draining',
        '_listener',
        '_releasing',
        '_sender',
        '_tasks',
        '_timer',
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
        self._draining = 0
        self._releasing = 0

    def is_done(self) -> bool:
        """Tell whether every hand-over has ended."""
        return self._draining == 0

    def is_released(self) -> bool:
        """Tell whether every lost asset was released, or given up."""
        return self._releasing == 0

    def begin(
        self,
        placed: _table.PlacedTable,
        losses: collections.abc.Iterable[_succession.Loss],
    ) -> None:
        """Start to hand lost assets over, one task for each successor."""
        # Endpoints go apart from shards: they are free at once, while the
        # key memory of a shard has to be sent first.
        groups: collections.defaultdict[
            tuple[_table.Member, bool], dict[str, int]
        ] = collections.defaultdict(dict)
        for loss in losses:
            if loss.successor is not None:
                kind = _table.is_shard(loss.asset)
                groups[loss.successor, kind][loss.asset] = loss.epoch
        for (successor, _), assets in groups.items():
            self._draining += 1
            self._releasing += 1
            self._tasks.start_soon(self._run, placed, successor, assets)

    async def _run(
        self,
        placed: _table.PlacedTable,
        successor: _table.Member,
        epochs: dict[str, int],
    ) -> None:
        try:
            is_taken = await self._release(placed, successor, epochs)
            _LOG.info(
                'assets_released',
                successor=successor.name,
                assets=len(epochs),
                taken=is_taken,
            )
            if is_taken:
                await self._report(placed, successor, epochs)
        finally:
            self._draining -= 1

    async def _release(
        self,
        placed: _table.PlacedTable,
        successor: _table.Member,
        epochs: dict[str, int],
    ) -> bool:
        try:
            limit = anyio.CapacityLimiter(_MEMORIES_AT_ONCE)
            async with anyio.create_task_group() as tasks:
                for asset in epochs:
                    tasks.start_soon(
                        self._hand_over, placed, successor, asset, limit
                    )
            return await self._send(placed, successor, epochs)
        finally:
            self._releasing -= 1

    async def _hand_over(
        self,
        placed: _table.PlacedTable,
        successor: _table.Member,
        asset: str,
        limit: anyio.CapacityLimiter,
    ) -> None:
        async with limit:
            await self._listener.hand_over(
                asset, placed.table.epoch(asset), successor
            )

    async def _send(
        self,
        placed: _table.PlacedTable,
        successor: _table.Member,
        epochs: dict[str, int],
    ) -> bool:
        for _ in range(_ATTEMPTS):
            released = self._released(placed, epochs)
            if await self._sender.send_release(
                successor, placed.revision, released
            ):
                return True
            await self._timer.sleep(_RETRY_S)
        # The successor goes by its fence then, with every slot in doubt.
        return False

    async def _report(
        self,
        placed: _table.PlacedTable,
        successor: _table.Member,
        epochs: dict[str, int],
    ) -> None:
        reported = {
            item.asset: item.in_use for item in self._released(placed, epochs)
        }
        while any(reported.values()):
            await self._timer.sleep(_REPORT_PERIOD_S)
            changed = tuple(
                item
                for item in self._released(placed, epochs)
                if item.in_use < reported[item.asset]
            )
            if changed and await self._sender.send_release(
                successor, placed.revision, changed
            ):
                reported.update({item.asset: item.in_use for item in changed})
            elif changed:
                return

    def _released(
        self, placed: _table.PlacedTable, epochs: dict[str, int]
    ) -> tuple[_peers.ReleasedAsset, ...]:
        return tuple(
            _peers.ReleasedAsset(
                asset,
                placed.table.epoch(asset),
                released_epoch,
                self._listener.in_use(asset),
            )
            for asset, released_epoch in epochs.items()
        )
