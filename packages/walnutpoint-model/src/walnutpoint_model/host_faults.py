"""Faults of hosts, of the links between them, and of the store in the soak."""

from __future__ import annotations

import collections.abc
import itertools
import random
import typing

import anyio

from walnutpoint_model import cell_model
from walnutpoint_model import store

__all__ = (
    'Action',
    'HostFaults',
)

# Breaks something for a time in seconds, and mends it.
Action = collections.abc.Callable[[float], collections.abc.Awaitable[None]]
# Power is back, and a stopped host, sooner than a host that broke.
_POWER_SHARE: typing.Final = 1 / 2
_RESTART_SHARE: typing.Final = 1 / 3
# Hosts that come back together do so within some 0.2 s of each other.
_APART_S: typing.Final = 0.02
# Of the cuts of a third of the hosts, how many take the store as well.
_CUT_ALL_SHARE: typing.Final = 0.5
_LOSS_SHARE: typing.Final = 0.2
_SLOW_S: typing.Final = 0.28
_STORE_FAULTS: typing.Final = (
    store.StoreFault.REFUSES,
    store.StoreFault.SILENT,
    store.StoreFault.LOSES_ANSWERS,
    store.StoreFault.APPLIES_LATE,
)


class HostFaults:
    """Breaks and mends hosts, links and the store of one cell."""

    __slots__ = ('_model', '_random', '_third')

    def __init__(
        self, model: cell_model.CellModel, drawn: random.Random, hosts: int
    ) -> None:
        self._model = model
        self._random = drawn
        self._third = max(1, hosts // 3)

    def actions(self) -> tuple[Action, ...]:
        """Return every fault, always in the same order."""
        return (
            self.kill,
            self.kill_scheduler,
            self.kill_all,
            self.stop,
            self.silence,
            self.cut_pair,
            self.cut_third,
            self.turn_away_third,
            self.break_store,
            self.slow_store,
            self.lose_segments,
        )

    def _any(self) -> str:
        return self._random.choice(sorted(self._model.processes))

    def _some(self) -> list[str]:
        return self._random.sample(sorted(self._model.processes), self._third)

    async def kill(self, for_s: float) -> None:
        """Kill a host, and start it again after a while."""
        name = self._any()
        self._model.kill(name)
        await anyio.sleep(for_s)
        self._model.start(name)

    async def kill_scheduler(self, for_s: float) -> None:
        """Kill the host that schedules, and start it again."""
        name = self._model.scheduler()
        if name is not None:
            self._model.kill(name)
            await anyio.sleep(for_s)
            self._model.start(name)

    async def kill_all(self, for_s: float) -> None:
        """Kill every host; all are back at nearly the same time."""
        names = sorted(self._model.processes)
        for name in names:
            self._model.kill(name)
        await anyio.sleep(for_s * _POWER_SHARE)
        for name in names:
            self._model.start(name)
            await anyio.sleep(_APART_S)

    async def stop(self, for_s: float) -> None:
        """Stop a host as planned, and start it again."""
        name = self._any()
        await self._model.stop(name)
        await anyio.sleep(for_s * _RESTART_SHARE)
        self._model.start(name)

    async def silence(self, for_s: float) -> None:
        """Let a host hear and say nothing for a while."""
        address = self._model.processes[self._any()].address
        self._model.network.silent.add(address)
        await anyio.sleep(for_s)
        self._model.network.silent.discard(address)

    async def cut_pair(self, for_s: float) -> None:
        """Cut two hosts off from one another."""
        one, other = self._random.sample(sorted(self._model.processes), 2)
        self._cut([one], [other])
        await anyio.sleep(for_s)
        self._model.network.cuts.clear()

    async def cut_third(self, for_s: float) -> None:
        """Cut a third of the hosts off, at times from the store too."""
        names = self._some()
        self._cut(names, set(self._model.processes) - set(names))
        if self._random.random() < _CUT_ALL_SHARE:
            await self._turn_away(names, for_s)
        else:
            await anyio.sleep(for_s)
        self._model.network.cuts.clear()

    async def turn_away_third(self, for_s: float) -> None:
        """Let the store refuse a third of the hosts."""
        await self._turn_away(self._some(), for_s)

    async def _turn_away(self, names: list[str], for_s: float) -> None:
        reached = [self._model.processes[name].store for name in names]
        for one in reached:
            one.refused = True
        await anyio.sleep(for_s)
        for one in reached:
            one.refused = False

    async def break_store(self, for_s: float) -> None:
        """Let the store fail in one of its ways."""
        self._model.store.fault = self._random.choice(_STORE_FAULTS)
        await anyio.sleep(for_s)
        self._model.store.fault = store.StoreFault.NONE

    async def slow_store(self, for_s: float) -> None:
        """Let the store take long for a while."""
        usual_s = self._model.store.latency_s
        self._model.store.latency_s = _SLOW_S
        await anyio.sleep(for_s)
        self._model.store.latency_s = usual_s

    async def lose_segments(self, for_s: float) -> None:
        """Let the links between hosts lose segments."""
        self._model.network.loss.share = _LOSS_SHARE
        await anyio.sleep(for_s)
        self._model.network.loss.share = 0.0

    def _cut(
        self,
        some: collections.abc.Iterable[str],
        others: collections.abc.Iterable[str],
    ) -> None:
        for one, other in itertools.product(some, others):
            self._model.network.cut(
                self._model.processes[one].address,
                self._model.processes[other].address,
            )
