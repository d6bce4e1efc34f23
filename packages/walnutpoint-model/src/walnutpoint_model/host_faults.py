"""Injected faults of hosts, of links between them, and of the store."""

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

# Injects a fault for a number of seconds, then removes it.
Action = collections.abc.Callable[[float], collections.abc.Awaitable[None]]
# Power failures and planned stops are shorter than host failures.
_POWER_FAILURE_SHARE: typing.Final = 1 / 2
_PLANNED_STOP_SHARE: typing.Final = 1 / 3
# Nine hosts that restart together do so within some 0.2 s.
_RESTART_INTERVAL_S: typing.Final = 0.02
# How many of the partitions of a third cut it off from the store too.
_STORE_CUT_SHARE: typing.Final = 0.5
_SEGMENT_LOSS_SHARE: typing.Final = 0.2
_SLOW_LATENCY_S: typing.Final = 0.28
# How long watches report nothing before the history is dropped.
_SILENT_WATCH_MAX_S: typing.Final = 1.0
_HANDOVER_DELAY_S: typing.Final = 0.1
# How long a stopped process finishes what it has.
_STOP_LINGER_S: typing.Final = 1.0
_STORE_FAULTS: typing.Final = (
    store.StoreFault.REFUSES,
    store.StoreFault.SILENT,
    store.StoreFault.LOSES_ANSWERS,
    store.StoreFault.APPLIES_LATE,
)


class HostFaults:
    """Injects faults of hosts, links and the store of one cell."""

    __slots__ = ('_model', '_random', '_third_count')

    def __init__(
        self, model: cell_model.CellModel, rng: random.Random, hosts: int
    ) -> None:
        self._model = model
        self._random = rng
        self._third_count = max(1, hosts // 3)

    def actions(self) -> tuple[Action, ...]:
        """Return every fault in a fixed order, on which the draws depend."""
        return (
            self.kill,
            self.kill_scheduler,
            self.kill_all,
            self.stop,
            self.silence,
            self.cut_pair,
            self.cut_third,
            self.refuse_third,
            self.break_store,
            self.slow_store,
            self.lose_segments,
        )

    def history_actions(self) -> tuple[Action, ...]:
        """Return the faults of the store's history."""
        return (self.drop_history, self.drop_history_at_handover)

    def _random_host(self) -> str:
        return self._random.choice(sorted(self._model.processes))

    def _random_third(self) -> list[str]:
        return self._random.sample(
            sorted(self._model.processes), self._third_count
        )

    async def kill(self, duration_s: float) -> None:
        """Kill a host, and start it again later."""
        name = self._random_host()
        self._model.kill(name)
        await anyio.sleep(duration_s)
        self._model.start(name)

    async def kill_scheduler(self, duration_s: float) -> None:
        """Kill the scheduling host, and start it again later."""
        name = self._model.scheduler()
        if name is not None:
            self._model.kill(name)
            await anyio.sleep(duration_s)
            self._model.start(name)

    async def kill_all(self, duration_s: float) -> None:
        """Kill every host, and restart all at nearly the same time."""
        names = sorted(self._model.processes)
        for name in names:
            self._model.kill(name)
        await anyio.sleep(duration_s * _POWER_FAILURE_SHARE)
        for name in names:
            self._model.start(name)
            await anyio.sleep(_RESTART_INTERVAL_S)

    async def stop(self, duration_s: float) -> None:
        """Shut a host down in order, and start it again later."""
        name = self._random_host()
        await self._model.stop(name)
        await anyio.sleep(duration_s * _PLANNED_STOP_SHARE)
        self._model.start(name)

    async def silence(self, duration_s: float) -> None:
        """Drop everything sent to a host."""
        address = self._model.processes[self._random_host()].address
        self._model.network.unresponsive.add(address)
        await anyio.sleep(duration_s)
        self._model.network.unresponsive.discard(address)

    async def cut_pair(self, duration_s: float) -> None:
        """Cut the link between two hosts."""
        one, other = self._random.sample(sorted(self._model.processes), 2)
        self._cut([one], [other])
        await anyio.sleep(duration_s)
        self._model.network.cut_links.clear()

    async def cut_third(self, duration_s: float) -> None:
        """Partition a third of the hosts, at times from the store too."""
        names = self._random_third()
        self._cut(names, set(self._model.processes) - set(names))
        if self._random.random() < _STORE_CUT_SHARE:
            await self._refuse_store(names, duration_s)
        else:
            await anyio.sleep(duration_s)
        self._model.network.cut_links.clear()

    async def refuse_third(self, duration_s: float) -> None:
        """Let the store refuse the calls of a third of the hosts."""
        await self._refuse_store(self._random_third(), duration_s)

    async def _refuse_store(self, names: list[str], duration_s: float) -> None:
        stores = [self._model.processes[name].store for name in names]
        for each in stores:
            each.is_refusing = True
        await anyio.sleep(duration_s)
        for each in stores:
            each.is_refusing = False

    async def break_store(self, duration_s: float) -> None:
        """Inject one of the faults of the store."""
        self._model.store.fault = self._random.choice(_STORE_FAULTS)
        await anyio.sleep(duration_s)
        self._model.store.fault = store.StoreFault.NONE

    async def slow_store(self, duration_s: float) -> None:
        """Raise the latency of the store."""
        normal_latency_s = self._model.store.latency_s
        self._model.store.latency_s = _SLOW_LATENCY_S
        await anyio.sleep(duration_s)
        self._model.store.latency_s = normal_latency_s

    async def drop_history(self, duration_s: float) -> None:
        """Let watches report nothing, then drop the history."""
        self._model.store.is_watch_silent = True
        await anyio.sleep(min(duration_s, _SILENT_WATCH_MAX_S))
        self._model.store.is_watch_silent = False
        self._model.store.drop_history()

    async def drop_history_at_handover(self, duration_s: float) -> None:
        """Stop the scheduling host while watches report nothing."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.drop_history, duration_s)
            await anyio.sleep(_HANDOVER_DELAY_S)
            name = self._model.scheduler()
            if name is not None:
                await self._model.stop(name, _STOP_LINGER_S)
        if name is not None:
            self._model.start(name)

    async def lose_segments(self, duration_s: float) -> None:
        """Lose segments on the links between hosts."""
        self._model.network.loss.share = _SEGMENT_LOSS_SHARE
        await anyio.sleep(duration_s)
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
