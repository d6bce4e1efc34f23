"""Injected faults of workers that take no starts, though they report."""

from __future__ import annotations

import random
import typing

import anyio

from walnutpoint_model import cell_model
from walnutpoint_model import host_faults

__all__ = ('StartFaults',)

_THIRD: typing.Final = 1 / 3
# Long enough for jobs that wait for the worker to be missed.
_DURATION_S: typing.Final = 9.0


class StartFaults:
    """Lets workers refuse starts, or lose them without an answer."""

    __slots__ = ('_always', '_model', '_random')

    def __init__(
        self,
        model: cell_model.CellModel,
        rng: random.Random,
        always: tuple[str, ...] = (),
    ) -> None:
        """Create the faults; the workers in always have each of them."""
        self._model = model
        self._random = rng
        self._always = always

    def actions(self) -> tuple[host_faults.Action, ...]:
        """Return the faults that a series draws from, in a fixed order."""
        return (self.refuse_starts, self.swallow_starts)

    async def refuse_starts(self, _duration_s: float) -> None:
        """Refuse all starts on some workers."""
        await self._set_fault('refuses_starts')

    async def swallow_starts(self, _duration_s: float) -> None:
        """Lose all starts on some workers without an answer."""
        await self._set_fault('swallows_starts')

    async def _set_fault(self, fault: str) -> None:
        fleet = self._model.fleet.workers
        names = set(self._random.sample(sorted(fleet), self._count()))
        affected = [
            fleet[name]
            for name in sorted(names.union(self._always))
            if name in fleet
        ]
        for worker in affected:
            setattr(worker, fault, True)
        await anyio.sleep(_DURATION_S)
        for worker in affected:
            setattr(worker, fault, False)

    def _count(self) -> int:
        return max(1, int(len(self._model.fleet.workers) * _THIRD))
