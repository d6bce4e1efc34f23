"""Injected faults of workers: crashes, partitions, changed capacities."""

from __future__ import annotations

import collections.abc
import random
import typing

import anyio

from walnutpoint_core import resources
from walnutpoint_model import capacity_changes
from walnutpoint_model import cell_model
from walnutpoint_model import crashes
from walnutpoint_model import host_faults
from walnutpoint_model import workers
from walnutpoint_scheduler import ports

__all__ = (
    'WorkerFaults',
    'crashing_job_id',
    'is_crashing_job',
)

# A task may be started twice more after its third crash.
_STARTS_MAX: typing.Final = 5
# Jobs with at least this ID crash their workers.
_FIRST_CRASHING_ID: typing.Final = 0xC0000000
_THIRD: typing.Final = 1 / 3
_CORES: typing.Final = (4, 8, 16, 24)
_MB_PER_CORE: typing.Final = 4000
_MILLICORES: typing.Final = 1000
# From a crash to the restart, before and after the lease lapses.
_RESTART_DELAY_S: typing.Final = 2.0
_RESTART_DELAYS_S: typing.Final = (0.0, 0.3, 2.0, 4.0)
_LISTING_DELAYS_S: typing.Final = (0.0, 0.0, 0.5, 1.4)
_KEEPS_NAME_SHARE: typing.Final = 0.7
_CRASHES_IN_A_ROW: typing.Final = 4
_CLOCK_STEP_MS: typing.Final = 5000
_AFFECTED_ORDERS_SHARE: typing.Final = 0.5


class WorkerFaults:
    """Injects faults of workers, and checks the starts of crashing tasks."""

    __slots__ = (
        '_capacities',
        '_crashes',
        '_has_restarts',
        '_model',
        '_random',
        '_restart_random',
    )

    def __init__(
        self,
        model: cell_model.CellModel,
        rng: random.Random,
        run_time: workers.RunTime,
        need_of: collections.abc.Callable[
            [ports.TaskName], resources.Resources
        ],
        *,
        has_restarts: bool = False,
    ) -> None:
        """Create the faults; with restarts, workers may keep their names."""
        self._model = model
        self._random = rng
        self._has_restarts = has_restarts
        # Separate, so that a crash by a task doesn't change the series.
        self._restart_random = random.Random(  # noqa: S311
            rng.random() if has_restarts else 0.0
        )
        self._crashes = crashes.Crashes(
            model.fleet, run_time, is_crashing, draw_restart=self._draw_restart
        )
        self._capacities = capacity_changes.CapacityChanges(
            model.fleet, need_of
        )

    async def run(self) -> None:
        """Write the workers' heartbeats until cancelled."""
        await self._capacities.write_heartbeats()

    def actions(self) -> tuple[host_faults.Action, ...]:
        """Return the faults that a series draws from, in a fixed order."""
        base_faults = (
            self.crash_worker,
            self.crash_third,
            self.cut_worker,
            self.change_capacity,
        )
        if not self._has_restarts:
            return base_faults
        return (
            *base_faults,
            self.crash_in_a_row,
            self.delay_orders,
            self.lose_answers,
            self.step_clock,
        )

    async def crash_in_a_row(self, duration_s: float) -> None:
        """Crash one worker repeatedly."""
        name = self._random_worker()
        for _ in range(_CRASHES_IN_A_ROW):
            self._crashes.crash(name)
            await anyio.sleep(duration_s)

    async def delay_orders(self, duration_s: float) -> None:
        """Execute half of the orders to some workers late."""
        await self._set_share('late_share', duration_s)

    async def lose_answers(self, duration_s: float) -> None:
        """Lose half of some workers' answers to orders."""
        await self._set_share('loses_answers_share', duration_s)

    async def _set_share(self, fault: str, duration_s: float) -> None:
        """Set the share of orders that a fault affects on some workers."""
        fleet = self._model.fleet.workers
        count = max(1, int(len(fleet) * _THIRD))
        names = self._random.sample(sorted(fleet), count)
        affected = [fleet[name] for name in names]
        for worker in affected:
            setattr(worker, fault, _AFFECTED_ORDERS_SHARE)
        await anyio.sleep(duration_s)
        for worker in affected:
            setattr(worker, fault, 0.0)

    async def step_clock(self, duration_s: float) -> None:
        """Step the workers' wall clock, and wait."""
        self._model.fleet.step_clock(
            self._random.randint(-_CLOCK_STEP_MS, _CLOCK_STEP_MS)
        )
        await anyio.sleep(duration_s)

    def _draw_restart(self) -> crashes.Restart:
        if not self._has_restarts:
            return crashes.Restart(_RESTART_DELAY_S)
        return crashes.Restart(
            self._restart_random.choice(_RESTART_DELAYS_S),
            self._restart_random.choice(_LISTING_DELAYS_S),
            self._restart_random.random() < _KEEPS_NAME_SHARE,
        )

    async def crash_worker(self, duration_s: float) -> None:
        """Crash one worker, and wait."""
        self._crashes.crash(self._random_worker())
        await anyio.sleep(duration_s)

    async def crash_third(self, duration_s: float) -> None:
        """Crash a third of the workers at once, and wait."""
        names = sorted(self._model.fleet.workers)
        count = max(1, int(len(names) * _THIRD))
        for name in self._random.sample(names, min(count, len(names))):
            self._crashes.crash(name)
        await anyio.sleep(duration_s)

    async def cut_worker(self, duration_s: float) -> None:
        """Cut one worker off, at times for longer than a lease."""
        worker = self._model.fleet.workers[self._random_worker()]
        worker.is_cut_off = True
        await anyio.sleep(duration_s * 2.0)
        worker.is_cut_off = False

    async def change_capacity(self, duration_s: float) -> None:
        """Change the capacity of half of the workers, and wait."""
        names = sorted(self._model.fleet.workers)
        for name in self._random.sample(names, max(1, len(names) // 2)):
            cores = self._random.choice(_CORES)
            self._capacities.set_capacity(
                name,
                resources.Resources(cores * _MILLICORES, cores * _MB_PER_CORE),
            )
        await anyio.sleep(duration_s)

    def violations(self) -> list[str]:
        """Return the violations that the workers observed."""
        found = list(self._capacities.overruns)
        found += [
            f'{task} was started {count} times, and crashed each worker'
            for task, count in self._model.fleet.ledger.starts.items()
            if is_crashing(task) and count > _STARTS_MAX
        ]
        return found

    def _random_worker(self) -> str:
        return self._random.choice(sorted(self._model.fleet.workers))


def crashing_job_id(number: int) -> str:
    """Return the identifier of a job that crashes its workers."""
    return f'{_FIRST_CRASHING_ID + number:016x}'


def is_crashing_job(job_id: str) -> bool:
    """Return whether a job crashes its workers."""
    return int(job_id, 16) >= _FIRST_CRASHING_ID


def is_crashing(task: ports.TaskName) -> bool:
    """Return whether a task crashes the workers that start it."""
    return is_crashing_job(task.job_id) and not task.ordinal
