"""Measure whether refused jobs would have got nothing, in a whole cell.

Jobs of two steps that offer several times what eight workers serve are
submitted to three processes in virtual time, with and without refusals.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import random

import anyio

from tests.walnutpoint_scheduler import harness
from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_model import cell_model
from walnutpoint_model import workers
from walnutpoint_scheduler import document
from walnutpoint_scheduler import settings

SEEDS = (1, 2)
OFFERED = 3.0
DURATION_S = 40.0
SETTLING_S = 25.0
HOSTS = 3
WORKERS = 8
TASKS_AT_A_TIME = 2 * WORKERS
# Of each task; the declared one is off by the error.
RUN_TIME_S = 1.0
STEPS = 2
TASKS_MEDIAN = 8
TASKS_SPREAD = 0.8
# Ends are stored and polled a little later.
POLL_S = 0.25
ERRORS: dict[str, collections.abc.Callable[[random.Random], float]] = {
    'exact': lambda _: 1.0,
    'independent': lambda source: 1.9 ** source.uniform(-1.0, 1.0),
    'declared too short': lambda _: 1.9,
    'declared too long': lambda _: 1 / 1.9,
}


@dataclasses.dataclass(slots=True)
class Replay:
    """The jobs of one replay by number."""

    accepted_s: dict[int, float] = dataclasses.field(default_factory=dict)
    ended_s: dict[int, float] = dataclasses.field(default_factory=dict)
    refused: set[int] = dataclasses.field(default_factory=set)

    @property
    def useful(self) -> set[int]:
        """Return the jobs that ended within three objectives."""
        queue = harness.BATCH
        chain_s = STEPS * RUN_TIME_S
        useful_s = 3.0 * (chain_s * queue.stretch + queue.allowance_s)
        return {
            number
            for number, ended_s in self.ended_s.items()
            if ended_s - self.accepted_s[number] <= useful_s + POLL_S
        }


def _arrivals(
    seed: int, error: collections.abc.Callable[[random.Random], float]
) -> list[tuple[float, int, float]]:
    """Return the time, tasks of a step and error of each job."""
    source = random.Random(seed)  # noqa: S311
    mean_tasks = TASKS_MEDIAN * 1.377 * STEPS
    arrivals, now_s = [], 0.0
    while now_s < DURATION_S:
        spread = source.lognormvariate(0.0, TASKS_SPREAD)
        tasks = max(1, round(TASKS_MEDIAN * spread))
        arrivals.append((now_s, tasks, error(source)))
        now_s += source.expovariate(OFFERED * TASKS_AT_A_TIME / mean_tasks)
    return arrivals


def _job(number: int, tasks: int, error: float, now_ms: int) -> document.Job:
    estimate_ms = round(RUN_TIME_S * 1000 / error)
    steps = (
        harness.step(
            tasks, cpu_millicores=8000, estimate_ms=estimate_ms, after=after
        )
        for after in ((), (0,))
    )
    return harness.job(
        number + 1, *steps, queue=harness.BATCH, accepted_ms=now_ms
    )


def replay(
    arrivals: list[tuple[float, int, float]], is_enabled: bool
) -> Replay:
    """Submit the jobs, and record what became of each."""
    result = Replay()
    config = settings.SchedulerSettings(
        policies=settings.Policies(hopeless_refusal=is_enabled)
    )

    async def submit(
        model: cell_model.CellModel, number: int, tasks: int, error: float
    ) -> None:
        hosts = sorted(model.processes)
        host = model.processes[hosts[number % HOSTS]]
        now_s = model.timer.now_s()
        job = _job(number, tasks, error, model.now_ms())
        answer = await host.process.submissions.submit(job, now_s + 3.0)
        if answer.is_ok():
            result.accepted_s[number] = now_s
        elif answer.error.kind is errors.ErrorKind.BACKLOG_TOO_LONG:
            result.refused.add(number)

    async def poll(model: cell_model.CellModel) -> None:
        while True:
            await anyio.sleep(POLL_S)
            done = collections.Counter(
                task.job_id for task in model.fleet.ledger.done
            )
            for number in result.accepted_s.keys() - result.ended_s.keys():
                task_count = STEPS * arrivals[number][1]
                if done[f'{number + 1:016x}'] == task_count:
                    result.ended_s[number] = model.timer.now_s()

    async def scenario() -> None:
        async with cell_model.running(
            harness.CELL, HOSTS, config=config
        ) as model:
            for number in range(WORKERS):
                listed = workers.listed_worker(number)
                model.fleet.add(listed, lambda _: RUN_TIME_S, number)
            await anyio.sleep(3.0)
            begin_s = model.timer.now_s()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(poll, model)
                for number, (at_s, count, error) in enumerate(arrivals):
                    left_s = begin_s + at_s - model.timer.now_s()
                    await anyio.sleep(max(0.0, left_s))
                    tasks.start_soon(submit, model, number, count, error)
                await anyio.sleep(SETTLING_S)
                tasks.cancel_scope.cancel()

    harness.run_virtual(scenario)
    return result


def main() -> None:
    """Print what became of the jobs that are refused."""
    logs.configure('critical')
    for seed in SEEDS:
        for name, error in ERRORS.items():
            arrivals = _arrivals(seed, error)
            accepted = replay(arrivals, is_enabled=False)
            refusing = replay(arrivals, is_enabled=True)
            nothing = refusing.refused - accepted.useful
            print(
                f'seed {seed}, {name}: {len(arrivals)} jobs, useful '
                f'{len(accepted.useful)} without and {len(refusing.useful)} '
                f'with refusals; {len(refusing.refused)} refused, of which '
                f'{len(nothing)} would have got nothing',
                flush=True,
            )


if __name__ == '__main__':
    main()
