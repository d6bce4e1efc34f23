"""Persists across terms which pools have workers that change capacity."""

from __future__ import annotations

import typing

import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import entry_faults
from walnutpoint_core import ports as core_ports
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _keys

__all__ = ('ResizingPools',)

# A pool is stored this long after its detection at the latest; that happens
# once or twice in a cell's life.
_PERIOD_S: typing.Final = 0.5
_PoolNames = list[str]


class ResizingPools:
    """Stores which pools have workers whose capacity changes.

    A term that had to detect it again would trust entries from before an
    outage, and overcommit workers that shrank during it.
    """

    __slots__ = ('_context', '_faults', '_store', '_stored')

    def __init__(
        self, context: _context.Context, store: core_ports.WatchableStore
    ) -> None:
        self._context = context
        self._store = store
        self._stored: frozenset[str] = frozenset()
        self._faults = entry_faults.EntryFaults('pools')

    async def read(self) -> bool:
        """Load what an earlier term stored; return whether that worked."""
        item = await self._store.get(_keys.POOLS)
        if item.is_error():
            return False
        if item.ok is not None:
            try:
                names = decoding.from_msgpack(item.ok.value, _PoolNames)
            except decoding.UnreadableError as error:
                self._faults.report(item.ok, error)
                return True
            self._stored = frozenset(names)
            self._context.roster.resizing_pools.update(names)
        return True

    async def run(self) -> None:
        """Store new pools until cancelled."""
        context = self._context
        async for _ in context.timer.subscribe(lambda: _PERIOD_S):
            names = frozenset(context.roster.resizing_pools)
            if names <= self._stored:
                continue
            value = msgspec.msgpack.encode(sorted(names))
            reply = await self._store.commit(
                core_ports.Batch(
                    (core_ports.Guard(_keys.SCHEDULER, context.token),),
                    (core_ports.Put(_keys.POOLS, value),),
                )
            )
            if reply.is_ok() and reply.ok.applied:
                self._stored = names
