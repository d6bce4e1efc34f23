"""Injected partitions of the scheduler and its side from the store.

The scheduler, some other hosts and some workers lose the store, the other
hosts and the other workers together, at times for longer than a lease.
"""

from __future__ import annotations

import itertools
import random
import typing

import anyio

from walnutpoint_model import cell_model
from walnutpoint_model import host_faults
from walnutpoint_model import store

__all__ = ('Partitions',)

_DURATION_RANGE_S: typing.Final = (3.0, 8.0)
_SERIES_DURATION_RANGE_S: typing.Final = (0.5, 5.0)
# Shorter than an election, and long enough for one.
_SERIES_INTERVAL_RANGE_S: typing.Final = (0.05, 1.5)
_SERIES_COUNTS: typing.Final = (2, 3)
# From a partition to the second fault, and for how long that lasts.
_SECOND_DELAY_RANGE_S: typing.Final = (0.0, 3.0)
_SECOND_DURATION_RANGE_S: typing.Final = (0.1, 5.0)
# Far below the time until a restarted worker is listed and gets an order.
_APPLY_INTERVAL_S: typing.Final = 0.01
_STORE_FAULTS: typing.Final = (
    store.StoreFault.REFUSES,
    store.StoreFault.SILENT,
    store.StoreFault.LOSES_ANSWERS,
    store.StoreFault.APPLIES_LATE,
)


class Partitions:
    """Injects partitions, alone, in series and beside a second fault."""

    __slots__ = ('_cut_hosts', '_cut_machines', '_model', '_random')

    def __init__(
        self, model: cell_model.CellModel, rng: random.Random
    ) -> None:
        self._model = model
        self._random = rng
        # The side without the store; no hosts while there is no partition.
        self._cut_hosts: frozenset[str] = frozenset()
        # Workers without what tells their incarnations apart.
        self._cut_machines: frozenset[str] = frozenset()

    def actions(self) -> tuple[host_faults.Action, ...]:
        """Return every fault in a fixed order, on which the draws depend."""
        return (
            self.cut_scheduler,
            self.cut_scheduler_in_series,
            self.cut_scheduler_beside_kill,
            self.cut_scheduler_beside_store_fault,
        )

    async def cut_scheduler(self, _duration_s: float) -> None:
        """Partition the cell once."""
        await self._partition(self._random.uniform(*_DURATION_RANGE_S))

    async def cut_scheduler_in_series(self, _duration_s: float) -> None:
        """Partition the cell repeatedly, each time between other sides."""
        for _ in range(self._random.choice(_SERIES_COUNTS)):
            await self._partition(
                self._random.uniform(*_SERIES_DURATION_RANGE_S)
            )
            await anyio.sleep(self._random.uniform(*_SERIES_INTERVAL_RANGE_S))

    async def cut_scheduler_beside_kill(self, _duration_s: float) -> None:
        """Kill a host of either side, and start it again."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._kill_host)
            await self._partition(self._random.uniform(*_DURATION_RANGE_S))

    async def cut_scheduler_beside_store_fault(
        self, _duration_s: float
    ) -> None:
        """Let the store fail for the side that reaches it as well."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._break_store)
            await self._partition(self._random.uniform(*_DURATION_RANGE_S))

    async def _kill_host(self) -> None:
        await anyio.sleep(self._random.uniform(*_SECOND_DELAY_RANGE_S))
        name = self._random.choice(sorted(self._model.processes))
        self._model.kill(name)
        await anyio.sleep(self._random.uniform(*_SECOND_DURATION_RANGE_S))
        self._model.start(name)
        self._apply()

    async def _break_store(self) -> None:
        await anyio.sleep(self._random.uniform(*_SECOND_DELAY_RANGE_S))
        self._model.store.fault = self._random.choice(_STORE_FAULTS)
        await anyio.sleep(self._random.uniform(*_SECOND_DURATION_RANGE_S))
        self._model.store.fault = store.StoreFault.NONE

    async def _partition(self, duration_s: float) -> None:
        """Cut the scheduler and others off for a time."""
        self._draw_sides()
        with anyio.move_on_after(duration_s):
            while True:
                self._apply()
                await anyio.sleep(_APPLY_INTERVAL_S)
        self._cut_hosts = self._cut_machines = frozenset()
        self._model.network.cut_links.clear()
        self._apply()

    def _draw_sides(self) -> None:
        """Draw the side of the scheduler, which is not all hosts."""
        hosts = sorted(self._model.processes)
        scheduler = self._model.scheduler() or self._random.choice(hosts)
        hosts.remove(scheduler)
        count = self._random.randrange(len(hosts))
        self._cut_hosts = frozenset(
            (scheduler, *self._random.sample(hosts, count))
        )
        machines = sorted({_machine(n) for n in self._model.fleet.workers})
        count = self._random.randint(1, len(machines))
        self._cut_machines = frozenset(self._random.sample(machines, count))

    def _apply(self) -> None:
        """Cut what the sides separate, restarted hosts and workers too."""
        processes = self._model.processes
        for name, host in processes.items():
            is_cut = name in self._cut_hosts
            host.store.is_cut = is_cut
            host.fleet.is_listing_cut = is_cut
            host.fleet.cut_workers = self._unreachable(is_cut=is_cut)
        if not self._cut_hosts:
            return
        for one, other in itertools.combinations(processes.values(), 2):
            if (one.name in self._cut_hosts) != (
                other.name in self._cut_hosts
            ):
                self._model.network.cut(one.address, other.address)

    def _unreachable(self, *, is_cut: bool) -> frozenset[str]:
        """Return the workers that hosts of a side don't reach."""
        if not self._cut_hosts:
            return frozenset()
        return frozenset(
            worker_id
            for worker_id in self._model.fleet.workers
            if (_machine(worker_id) in self._cut_machines) != is_cut
        )


def _machine(worker_id: str) -> str:
    """Return what all incarnations of a worker have in common."""
    return worker_id.partition('~')[0]
