"""Injected faults that put cancels and failed attempts at risk."""

from __future__ import annotations

import random
import typing

import anyio

from walnutpoint_model import cell_model
from walnutpoint_model import host_faults
from walnutpoint_scheduler import _peers

__all__ = ('PromiseFaults',)

_THIRD: typing.Final = 1 / 3
# From the cut of some workers to the kill of the scheduler.
_KILL_DELAY_RANGE_S: typing.Final = (0.05, 0.5)
_NOTICES: typing.Final = frozenset((_peers.JOB_PATH, _peers.CANCEL_PATH))


class PromiseFaults:
    """Injects faults of notices, watches, workers and their scheduler."""

    __slots__ = ('_model', '_random')

    def __init__(
        self, model: cell_model.CellModel, rng: random.Random
    ) -> None:
        self._model = model
        self._random = rng

    def actions(self) -> tuple[host_faults.Action, ...]:
        """Return every fault in a fixed order."""
        return (
            self.lose_notices,
            self.fail_all_runs,
            self.kill_scheduler_beside_cut,
            self.stop_scheduler,
        )

    async def lose_notices(self, duration_s: float) -> None:
        """Lose notices to the scheduler, and answers to watches."""
        self._model.network.lost_paths |= _NOTICES
        self._model.store.loses_watch_answers = True
        await anyio.sleep(duration_s)
        self._model.store.loses_watch_answers = False
        self._model.network.lost_paths.clear()

    async def fail_all_runs(self, duration_s: float) -> None:
        """Let one worker fail all that it runs."""
        workers = self._model.fleet.workers
        worker = workers[self._random.choice(sorted(workers))]
        worker.fails = True
        await anyio.sleep(duration_s * 2.0)
        worker.fails = False

    async def kill_scheduler_beside_cut(self, duration_s: float) -> None:
        """Cut some workers off, so that the next term learns their ends."""
        workers = self._model.fleet.workers
        count = max(1, int(len(workers) * _THIRD))
        names = self._random.sample(sorted(workers), count)
        cut_off = [workers[name] for name in names]
        for worker in cut_off:
            worker.is_cut_off = True
        await anyio.sleep(self._random.uniform(*_KILL_DELAY_RANGE_S))
        scheduler = self._model.scheduler()
        if scheduler is not None:
            self._model.kill(scheduler)
        for worker in cut_off:
            worker.is_cut_off = False
        await anyio.sleep(duration_s)
        if scheduler is not None:
            self._model.start(scheduler)

    async def stop_scheduler(self, duration_s: float) -> None:
        """Shut the scheduling host down in order."""
        name = self._model.scheduler()
        if name is not None:
            await self._model.stop(name)
            await anyio.sleep(duration_s * _THIRD)
            self._model.start(name)
