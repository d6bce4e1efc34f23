"""Simulation of crashing tasks among healthy ones, and of lost workers.

python -m walnutpoint_model.crash_history simulates seeds, each one term with
healthy jobs, tasks that crash every worker that starts them, and losses that
no task causes: of single workers, racks, and up to 15% of the workers at once.
It reports how many workers each crashing task has crashed, and how many
healthy jobs were given up.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import random
import statistics
import sys
import typing

import anyio

from walnutpoint_core import logs
from walnutpoint_model import cell_model
from walnutpoint_model import crashes
from walnutpoint_model import seed_runner
from walnutpoint_model import virtual_time
from walnutpoint_model import workers
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports
from walnutpoint_scheduler import settings

__all__ = (
    'History',
    'Parameters',
    'simulate',
)

_WORKER_MILLICORES: typing.Final = 16_000
# Eight tasks fill a worker.
_TASK_MILLICORES: typing.Final = 2000
_TASK_MB: typing.Final = 100
_WORKERS_PER_RACK: typing.Final = 6
_RUN_TIME_S: typing.Final = (0.2, 3.0)
_MS: typing.Final = 1000
# Jobs with at least this ID have a task that crashes its workers.
_FIRST_CRASHING_ID: typing.Final = 0xC0000000
_SIMULTANEOUS_LOSS_SHARE: typing.Final = 0.15
_STARTS_MAX: typing.Final = 5
# A job's objective is 1.5 times its run time and 0.25 s.
_QUEUE: typing.Final = cell.Queue(
    'urgent', 'host', '/urgent/', 'pool', 0, 4, 1.5, 0.25, 3.0
)
_CELL: typing.Final = cell.Cell(1, (_QUEUE,), (cell.Pool('pool'),))
_FINAL_STATES: typing.Final = ('done', 'failed')
_POLL_INTERVAL_S: typing.Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Parameters:
    """Parameters of a simulation."""

    workers: int = 18
    jobs: int = 60
    jobs_per_s: float = 5.0
    crashing_jobs: int = 3
    # The mean rate of losses that no task causes.
    losses_per_s: float = 0.2
    # From the start of a crashing task to the crash of its worker.
    crash_s: float = 0.01
    # Time without jobs, in which the scheduler observes the cell.
    warm_up_s: float = 20.0
    settle_s: float = 25.0
    # Whether restarted workers keep their names.
    keeps_name: bool = False
    config: settings.SchedulerSettings = settings.SchedulerSettings()


_DEFAULTS: typing.Final = Parameters()


@dataclasses.dataclass(slots=True)
class History:
    """Results of one seed."""

    seed: int
    # How many workers each crashing task has crashed.
    crashes: list[int] = dataclasses.field(default_factory=list)
    # Workers lost without a crashing task.
    losses: int = 0
    # Runs of healthy tasks that were lost with their workers.
    runs_lost: int = 0
    given_up: int = 0
    # Healthy jobs that missed their objective, or never ended.
    late: int = 0
    jobs: int = 0
    actions: list[str] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)


class _Simulation:
    """One simulation on one cell."""

    def __init__(
        self, seed: int, parameters: Parameters, model: cell_model.CellModel
    ) -> None:
        self.history = History(seed)
        self._parameters = parameters
        self._random = random.Random(seed)  # noqa: S311
        self._model = model
        self._run_times_s: dict[str, float] = {}
        self._submitted_s: dict[str, float] = {}
        self._ended: dict[str, tuple[float, str]] = {}
        restart_delay_s = self._random.choice((0.5, 3.0))
        self._crashes = crashes.Crashes(
            model.fleet,
            self.run_time_s,
            _is_crashing,
            crash_s=parameters.crash_s,
            draw_restart=lambda: crashes.Restart(
                restart_delay_s, keeps_name=parameters.keeps_name
            ),
        )

    def run_time_s(self, task: ports.TaskName) -> float:
        """Return how long a task runs on a healthy worker."""
        return self._run_times_s.get(task.job_id, _RUN_TIME_S[0])

    async def run(self) -> None:
        """Submit all jobs while workers are lost, then check the results."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_job_states)
            await anyio.sleep(self._parameters.warm_up_s)
            async with anyio.create_task_group() as losses:
                losses.start_soon(self._crash_workers)
                await self._submit_all()
                losses.cancel_scope.cancel()
            await anyio.sleep(self._parameters.settle_s)
            tasks.cancel_scope.cancel()
        self._check()

    async def _submit_all(self) -> None:
        parameters = self._parameters
        crashing = self._random.sample(
            range(parameters.jobs), parameters.crashing_jobs
        )
        for number in range(parameters.jobs):
            await self._submit(f'{number + 1:016x}')
            if number in crashing:
                await self._submit(f'{_FIRST_CRASHING_ID + number:016x}')
            await anyio.sleep(self._random.expovariate(parameters.jobs_per_s))

    async def _submit(self, job_id: str) -> None:
        run_time_s = self._random.uniform(*_RUN_TIME_S)
        if int(job_id, 16) >= _FIRST_CRASHING_ID:
            # A task that ends before the crash would not cause it.
            run_time_s += self._parameters.crash_s
        self._run_times_s[job_id] = run_time_s
        step = document.Step(
            self._random.randint(1, 8),
            _TASK_MILLICORES,
            _TASK_MB,
            estimate_ms=int(run_time_s * _MS),
        )
        now_s = self._model.timer.now_s()
        job = document.Job(
            job_id,
            _QUEUE.name,
            'payload',
            (step,),
            self._model.now_ms(),
            accepted_by=_QUEUE,
        )
        self._submitted_s[job_id] = now_s
        host = next(iter(self._model.processes.values()))
        await host.process.submissions.submit(job, now_s + _QUEUE.timeout_s)

    async def _crash_workers(self) -> None:
        """Crash workers for causes outside their tasks."""
        if not self._parameters.losses_per_s:
            return
        while True:
            interval_s = self._random.expovariate(
                self._parameters.losses_per_s
            )
            await anyio.sleep(interval_s)
            names = sorted(self._model.fleet.workers)
            if not names:
                continue
            kind = self._random.choice(('one', 'some', 'rack'))
            lost = [self._random.choice(names)]
            if kind == 'some':
                max_count = max(1, int(len(names) * _SIMULTANEOUS_LOSS_SHARE))
                lost = self._random.sample(
                    names, self._random.randint(1, max_count)
                )
            elif kind == 'rack':
                rack = self._model.fleet.workers[lost[0]].listed.rack
                lost = [
                    name
                    for name in names
                    if self._model.fleet.workers[name].listed.rack == rack
                ]
            self.history.actions.append(f'{kind} {len(lost)}')
            self.history.losses += len(lost)
            for name in lost:
                self._crashes.crash(name)

    async def _poll_job_states(self) -> None:
        """Record when the cell reports each job's end."""
        while True:
            await anyio.sleep(_POLL_INTERVAL_S)
            host = next(iter(self._model.processes.values()))
            for job_id in self._submitted_s.keys() - self._ended.keys():
                answer = await host.process.job_status.state(job_id, '')
                if answer.is_error() or answer.ok is None:
                    continue
                if answer.ok.state in _FINAL_STATES:
                    now_s = self._model.timer.now_s()
                    self._ended[job_id] = now_s, answer.ok.state

    def _check(self) -> None:
        history = self.history
        ledger = self._model.fleet.ledger
        history.violations += ledger.violations
        by_task = self._crashes.crashed_by
        history.crashes = sorted(by_task.values())
        history.runs_lost = sum(self._crashes.innocent_losses.values())
        history.jobs = len(self._submitted_s)
        for task, count in by_task.items():
            if count > _STARTS_MAX:
                history.violations.append(f'{task} crashed {count} workers')
        for job_id, submitted_s in self._submitted_s.items():
            ended_s, state = self._ended.get(job_id, (0.0, 'open'))
            is_crashing = int(job_id, 16) >= _FIRST_CRASHING_ID
            if not is_crashing and state == 'failed':
                history.given_up += 1
            if state != ('failed' if is_crashing else 'done'):
                history.violations.append(f'{job_id} is {state}')
            objective_s = self._run_times_s[job_id] * _QUEUE.stretch
            objective_s += _QUEUE.allowance_s + _POLL_INTERVAL_S
            is_late = state != 'done' or ended_s - submitted_s > objective_s
            if not is_crashing and is_late:
                history.late += 1


def _is_crashing(task: ports.TaskName) -> bool:
    return int(task.job_id, 16) >= _FIRST_CRASHING_ID and not task.ordinal


def simulate(seed: int, parameters: Parameters | None = None) -> History:
    """Simulate one seed."""
    chosen = parameters or _DEFAULTS
    histories: list[History] = []

    async def simulate_cell() -> None:
        async with cell_model.running(
            _CELL, 1, config=chosen.config, seed=seed
        ) as model:
            simulation = _Simulation(seed, chosen, model)
            for number in range(chosen.workers):
                listed = workers.listed_worker(
                    number,
                    cpu_millicores=_WORKER_MILLICORES,
                    per_rack=_WORKERS_PER_RACK,
                )
                model.fleet.add(listed, simulation.run_time_s, number)
            await simulation.run()
            histories.append(simulation.history)

    virtual_time.run(simulate_cell())
    return histories[0]


def main() -> int:
    """Simulate the seeds of the arguments; return 1 on a violation."""
    logs.configure('critical')
    totals: collections.Counter[str] = collections.Counter()
    crashed: list[int] = []

    def summarize(history: History) -> str:
        totals['runs lost'] += history.runs_lost
        totals['given up'] += history.given_up
        totals['late'] += history.late
        totals['jobs'] += history.jobs
        crashed.extend(history.crashes)
        mean = statistics.fmean(crashed) if crashed else 0.0
        return (
            f'crashes {history.crashes}, {history.losses} other losses, '
            f'so far {mean:.2f} a task and {dict(totals)}'
        )

    return seed_runner.run(
        __doc__,
        {
            'first': 1,
            'seeds': 20,
            'crashing': _DEFAULTS.crashing_jobs,
            'losses_per_s': _DEFAULTS.losses_per_s,
            'crash_s': _DEFAULTS.crash_s,
            'keeps_name': 0,
        },
        lambda seed, options: simulate(
            seed,
            Parameters(
                crashing_jobs=options.crashing,
                losses_per_s=options.losses_per_s,
                crash_s=options.crash_s,
                keeps_name=bool(options.keeps_name),
            ),
        ),
        summarize,
    )


if __name__ == '__main__':
    sys.exit(main())
