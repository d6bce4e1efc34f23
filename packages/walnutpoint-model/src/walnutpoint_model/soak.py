"""A randomized soak of whole cells in virtual time.

python -m walnutpoint_model.soak plays seeds, each a series of faults: hosts
that are killed, stopped, silent or cut off, alone, by thirds or all, links
that lose segments, and a store that is slow, silent or turns hosts away.
Callers keep handing jobs in. At the end what they were told is compared with
what the workers ran.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import random
import sys
import typing

import anyio

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_model import cell_model
from walnutpoint_model import seeds
from walnutpoint_model import store
from walnutpoint_model import virtual_time
from walnutpoint_model import workers
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document

__all__ = (
    'Result',
    'play',
)

_WORKERS: typing.Final = 6
_TASK_S: typing.Final = 0.5
_JOB_GAP_S: typing.Final = 0.1
# How long a caller waits for the answer to one call.
_PATIENCE_S: typing.Final = 3.0
_FAULT_S: typing.Final = (0.1, 2.5)
_PAUSE_S: typing.Final = (0.0, 0.8)
# Once the faults are over every accepted job ends within this time: a lease, a
# takeover and two steps, and as much again.
_SETTLE_S: typing.Final = 12.0
# Hosts that come back together do so within some 0.2 s of each other.
_APART_S: typing.Final = 0.02
# Power is back, and a stopped host, sooner than a host that broke.
_POWER_SHARE: typing.Final = 1 / 2
_RESTART_SHARE: typing.Final = 1 / 3
# Of the cuts of a third of the hosts, how many take the store as well.
_CUT_ALL_SHARE: typing.Final = 0.5
# Between two looks for terms, which last far longer.
_WATCH_S: typing.Final = 0.01
_HOSTS: typing.Final = 9
_DURATION_S: typing.Final = 12.0
_LOSS_SHARE: typing.Final = 0.2
_SLOW_S: typing.Final = 0.28
_QUEUE: typing.Final = cell.Queue(
    'urgent', 'host', '/urgent/', 'pool', 0, 3, 1.5, 0.25, 3.0
)
_CELL: typing.Final = cell.Cell(1, (_QUEUE,), (cell.Pool('pool'),))
_STORE_FAULTS: typing.Final = (
    store.StoreFault.REFUSES,
    store.StoreFault.SILENT,
    store.StoreFault.LOSES_ANSWERS,
    store.StoreFault.APPLIES_LATE,
)


@dataclasses.dataclass(slots=True)
class Result:
    """What one seed showed."""

    seed: int
    accepted: int = 0
    refused: int = 0
    unknown: int = 0
    terms: int = 0
    # The longest time between two starts, in seconds.
    longest_gap_s: float = 0.0
    actions: list[str] = dataclasses.field(default_factory=list)
    # What was promised and not kept.
    faults: list[str] = dataclasses.field(default_factory=list)


class _Soak:
    """One series of faults on one cell."""

    def __init__(
        self, seed: int, hosts: int, model: cell_model.CellModel
    ) -> None:
        self.result = Result(seed)
        self._random = random.Random(seed)  # noqa: S311
        self._third = max(1, hosts // 3)
        self._model = model
        self._accepted: set[str] = set()
        self._refused: set[str] = set()
        # Whether the faults are over, and callers hand nothing in any more.
        self._is_over = False
        self._tokens: set[float] = set()
        self._starts_s: list[float] = []
        model.fleet.ledger.on_start = lambda _task, _worker: (
            self._starts_s.append(model.timer.now_s())
        )
        self._actions: tuple[
            collections.abc.Callable[[float], collections.abc.Awaitable[None]],
            ...,
        ] = (
            self._kill,
            self._kill_scheduler,
            self._kill_all,
            self._stop,
            self._silence,
            self._cut_pair,
            self._cut_third,
            self._turn_away_third,
            self._break_store,
            self._slow_store,
            self._lose_segments,
        )

    async def run(self, duration_s: float) -> None:
        """Break and mend for a time, and compare at the end."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            tasks.start_soon(self._hand_in_all, tasks)
            await self._break_things(duration_s)
            self._is_over = True
            await anyio.sleep(_SETTLE_S)
            tasks.cancel_scope.cancel()
        await self._check()

    async def _break_things(self, duration_s: float) -> None:
        clock = self._model.timer
        end_s = clock.now_s() + duration_s
        while clock.now_s() < end_s:
            action = self._random.choice(self._actions)
            for_s = self._random.uniform(*_FAULT_S)
            name = action.__name__.strip('_')
            self.result.actions.append(f'{name} {for_s:.2f}')
            await action(for_s)
            await anyio.sleep(self._random.uniform(*_PAUSE_S))

    async def _watch(self) -> None:
        while True:
            for host in list(self._model.processes.values()):
                figures = host.process.figures()
                if figures['schedules']:
                    self._tokens.add(figures['token'])
            await anyio.sleep(_WATCH_S)

    async def _hand_in_all(self, tasks: anyio.abc.TaskGroup) -> None:
        for number in itertools.count(1):
            if self._is_over:
                return
            tasks.start_soon(self._hand_in, f'{number:016x}')
            await anyio.sleep(_JOB_GAP_S)

    async def _hand_in(self, job_id: str) -> None:
        """Hand a job in at one host, as a caller that asks once."""
        names = sorted(self._model.processes)
        if not names:
            self.result.unknown += 1
            return
        step = document.Step(2, 1000, 100, estimate_ms=500)
        last = document.Step(1, 1000, 100, estimate_ms=500, after=(0,))
        job = document.Job(
            job_id,
            _QUEUE.name,
            'payload',
            (step, last),
            self._model.now_ms(),
            accepted_by=_QUEUE,
        )
        host = self._model.processes[names[int(job_id, 16) % len(names)]]
        deadline_s = self._model.timer.now_s() + _PATIENCE_S
        taken = await host.answer(
            lambda: host.process.submissions.submit(job, deadline_s)
        )
        if taken is None:
            self.result.unknown += 1
        elif taken.is_ok():
            self._accepted.add(job_id)
        elif taken.error.outcome is errors.Outcome.NOT_RUN:
            self._refused.add(job_id)
        else:
            self.result.unknown += 1

    async def _check(self) -> None:
        result, ledger = self.result, self._model.fleet.ledger
        result.accepted = len(self._accepted)
        result.refused = len(self._refused)
        result.terms = len(self._tokens)
        pairs = itertools.pairwise(self._starts_s)
        gaps_s = [after - before for before, after in pairs]
        result.longest_gap_s = max(gaps_s, default=0.0)
        result.faults += ledger.violations
        started = {task.job_id for task in ledger.starts}
        result.faults += [
            f'{job_id} was refused and ran'
            for job_id in sorted(self._refused & started)
        ]
        name = self._model.scheduler()
        if name is None:
            result.faults.append('nobody schedules')
            return
        status = self._model.processes[name].process.job_status
        for job_id in sorted(self._accepted):
            answer = await status.state(job_id)
            said = None
            if answer.is_error():
                said = answer.error.kind.value
            elif answer.ok is not None:
                said = answer.ok.state
            if said != 'done':
                result.faults.append(f'{job_id} was accepted and is {said}')

    def _any(self) -> str:
        return self._random.choice(sorted(self._model.processes))

    def _some(self) -> list[str]:
        return self._random.sample(sorted(self._model.processes), self._third)

    async def _kill(self, for_s: float) -> None:
        name = self._any()
        self._model.kill(name)
        await anyio.sleep(for_s)
        self._model.start(name)

    async def _kill_scheduler(self, for_s: float) -> None:
        name = self._model.scheduler()
        if name is not None:
            self._model.kill(name)
            await anyio.sleep(for_s)
            self._model.start(name)

    async def _kill_all(self, for_s: float) -> None:
        names = sorted(self._model.processes)
        for name in names:
            self._model.kill(name)
        await anyio.sleep(for_s * _POWER_SHARE)
        for name in names:
            self._model.start(name)
            await anyio.sleep(_APART_S)

    async def _stop(self, for_s: float) -> None:
        name = self._any()
        await self._model.stop(name)
        await anyio.sleep(for_s * _RESTART_SHARE)
        self._model.start(name)

    async def _silence(self, for_s: float) -> None:
        address = self._model.processes[self._any()].address
        self._model.network.silent.add(address)
        await anyio.sleep(for_s)
        self._model.network.silent.discard(address)

    async def _cut_pair(self, for_s: float) -> None:
        one, other = self._random.sample(sorted(self._model.processes), 2)
        self._cut([one], [other])
        await anyio.sleep(for_s)
        self._model.network.cuts.clear()

    async def _cut_third(self, for_s: float) -> None:
        names = self._some()
        self._cut(names, set(self._model.processes) - set(names))
        if self._random.random() < _CUT_ALL_SHARE:
            await self._turn_away(names, for_s)
        else:
            await anyio.sleep(for_s)
        self._model.network.cuts.clear()

    async def _turn_away_third(self, for_s: float) -> None:
        await self._turn_away(self._some(), for_s)

    async def _turn_away(self, names: list[str], for_s: float) -> None:
        reached = [self._model.processes[name].store for name in names]
        for one in reached:
            one.refused = True
        await anyio.sleep(for_s)
        for one in reached:
            one.refused = False

    async def _break_store(self, for_s: float) -> None:
        self._model.store.fault = self._random.choice(_STORE_FAULTS)
        await anyio.sleep(for_s)
        self._model.store.fault = store.StoreFault.NONE

    async def _slow_store(self, for_s: float) -> None:
        usual_s = self._model.store.latency_s
        self._model.store.latency_s = _SLOW_S
        await anyio.sleep(for_s)
        self._model.store.latency_s = usual_s

    async def _lose_segments(self, for_s: float) -> None:
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


def play(
    seed: int, hosts: int = _HOSTS, duration_s: float = _DURATION_S
) -> Result:
    """Play one seed."""
    results: list[Result] = []

    async def scene() -> None:
        async with cell_model.running(_CELL, hosts, seed=seed) as model:
            for number in range(_WORKERS):
                model.fleet.add(
                    workers.listed_worker(number),
                    lambda _task: _TASK_S,
                    number,
                )
            soak = _Soak(seed, hosts, model)
            await soak.run(duration_s)
            results.append(soak.result)

    virtual_time.run(scene())
    return results[0]


def main() -> int:
    """Play the seeds that the arguments name; 1 where a promise broke."""
    logs.configure('critical')
    return seeds.run(
        __doc__,
        {
            'first': 1,
            'seeds': 20,
            'hosts': _HOSTS,
            'duration_s': _DURATION_S,
        },
        lambda seed, wanted: play(seed, wanted.hosts, wanted.duration_s),
        lambda result: (
            f'{result.accepted} accepted, {result.refused} refused, '
            f'{result.unknown} unknown, {result.terms} terms, longest gap '
            f'{result.longest_gap_s:.2f} s'
        ),
    )


if __name__ == '__main__':
    sys.exit(main())
