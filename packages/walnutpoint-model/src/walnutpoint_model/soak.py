"""A randomized soak of whole cells in virtual time.

python -m walnutpoint_model.soak simulates seeds, each a series of faults:
hosts that are killed, stopped, silent or cut off, alone, by thirds or all,
links that lose segments, and a store that is slow, silent or refuses hosts.
Meanwhile callers submit jobs. At the end the answers to callers are compared
with what the workers ran. From draw 2 on workers fail as well: they crash, by
themselves or by a task that crashes every worker, are cut off, and change
their capacity. From draw 3 on they may keep their names over restarts, at once
or later, often in a row, with a clock that jumps; orders are executed late or
not answered; a lasting job must be complete at the end, and each worker accept
a task. From draw 4 on jobs belong to client accounts, whose limits and keys
change; each account's usage is checked on the workers. From draw 5 on workers
differ in speed, for good and for seconds, and a few tasks are large.

A seed and a draw determine a series. Each new kind of fault adds a draw, so
that earlier failures can be reproduced.
"""

from __future__ import annotations

import dataclasses
import itertools
import math
import random
import sys
import typing

import anyio

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import resources
from walnutpoint_model import account_changes
from walnutpoint_model import cell_model
from walnutpoint_model import host_faults
from walnutpoint_model import seed_runner
from walnutpoint_model import uneven_speeds
from walnutpoint_model import virtual_time
from walnutpoint_model import worker_faults
from walnutpoint_model import workers
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports

__all__ = (
    'NEWEST_DRAW',
    'Result',
    'simulate',
)

NEWEST_DRAW: typing.Final = 5
_WORKERS: typing.Final = 6
# Two thirds of these have the capacity for all jobs.
_WORKERS_WITH_FAULTS: typing.Final = 9
# The share of worker faults in a series that has them.
_WORKER_FAULTS_SHARE: typing.Final = 0.5
# One crashing job is submitted with every so many others.
_JOBS_PER_CRASHING_JOB: typing.Final = 25
_LASTING_JOB_ID: typing.Final = f'{0xB0000000:016x}'
_LASTING_TASKS: typing.Final = 6
# A job with a task on each worker, and its time limit without faults.
_WIDE_JOB_ID: typing.Final = f'{0xB0000001:016x}'
_WIDE_JOB_TIMEOUT_S: typing.Final = 3.0
_TASK_RUN_TIME_S: typing.Final = 0.5
_LARGE_FACTOR: typing.Final = 7.0
_MILLICORES: typing.Final = 1000
_MEMORY_MB: typing.Final = 100
_NEED: typing.Final = resources.Resources(_MILLICORES, _MEMORY_MB)
_JOB_INTERVAL_S: typing.Final = 0.1
# The deadline of a caller's call.
_CALL_TIMEOUT_S: typing.Final = 3.0
_FAULT_DURATION_S: typing.Final = (0.1, 2.5)
_FAULT_INTERVAL_S: typing.Final = (0.0, 0.8)
# Every accepted job ends within this time after the last fault: twice a lease,
# a takeover and two steps.
_SETTLING_TIME_S: typing.Final = 12.0
# Allows for five crashes of a task, each with a lease and a pause.
_SETTLING_TIME_WITH_CRASHES_S: typing.Final = 30.0
# Far below the length of a term.
_TERM_POLL_INTERVAL_S: typing.Final = 0.01
_HOSTS: typing.Final = 9
_DURATION_S: typing.Final = 12.0
_QUEUE: typing.Final = cell.Queue(
    'urgent', 'host', '/urgent/', 'pool', 0, 3, 1.5, 0.25, 3.0
)
_CELL: typing.Final = cell.Cell(1, (_QUEUE,), (cell.Pool('pool'),))


@dataclasses.dataclass(slots=True)
class Result:
    """Results of one seed."""

    seed: int
    accepted: int = 0
    refused: int = 0
    unknown: int = 0
    terms: int = 0
    # The longest time between two starts.
    longest_gap_s: float = 0.0
    actions: list[str] = dataclasses.field(default_factory=list)
    # Violated invariants.
    violations: list[str] = dataclasses.field(default_factory=list)


class _Soak:
    """One series of faults on one cell."""

    def __init__(
        self,
        seed: int,
        hosts: int,
        model: cell_model.CellModel,
        draw: int,
    ) -> None:
        self.result = Result(seed)
        self._random = random.Random(seed)  # noqa: S311
        self._model = model
        self._accepted: set[str] = set()
        self._refused: set[str] = set()
        # Whether the faults, and with them the submissions, have ended.
        self._faults_ended = False
        self._term_tokens: set[float] = set()
        self._starts_s: list[float] = []
        model.fleet.ledger.on_start = lambda _task, _worker: (
            self._starts_s.append(model.timer.now_s())
        )
        self._has_lasting_job = draw > 2
        self._accounts = None
        if draw > 3:
            self._accounts = account_changes.AccountChanges(
                model, random.Random(f'{seed} accounts')
            )
        self._speeds = None
        if draw > 4:
            self._speeds = uneven_speeds.UnevenSpeeds(
                model.fleet, random.Random(f'{seed} speeds')
            )
        self._worker_faults: worker_faults.WorkerFaults | None = None
        self._worker_actions: tuple[host_faults.Action, ...] = ()
        if draw > 1:
            self._worker_faults = faults = worker_faults.WorkerFaults(
                model,
                self._random,
                _run_time_of(draw),
                _NEED,
                has_restarts=draw > 2,
            )
            self._worker_actions = faults.actions()
        self._actions = host_faults.HostFaults(
            model, self._random, hosts
        ).actions()

    async def run(self, duration_s: float) -> None:
        """Inject faults for a time, then check the invariants."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._record_terms)
            tasks.start_soon(self._submit_all, tasks)
            if self._has_lasting_job:
                tasks.start_soon(self._submit_lasting_job)
            if self._accounts is not None:
                tasks.start_soon(self._accounts.run, duration_s)
            if self._speeds is not None:
                tasks.start_soon(self._speeds.run, duration_s)
            settle_s = _SETTLING_TIME_S
            if self._worker_faults is not None:
                tasks.start_soon(self._worker_faults.run)
                settle_s = _SETTLING_TIME_WITH_CRASHES_S
            await self._inject_faults(duration_s)
            self._faults_ended = True
            await anyio.sleep(settle_s)
            if self._has_lasting_job:
                await self._submit_wide_job()
            tasks.cancel_scope.cancel()
        await self._check()

    async def _inject_faults(self, duration_s: float) -> None:
        clock = self._model.timer
        end_s = clock.now_s() + duration_s
        while clock.now_s() < end_s:
            actions = self._actions
            if self._worker_actions:
                if self._random.random() < _WORKER_FAULTS_SHARE:
                    actions = self._worker_actions
            action = self._random.choice(actions)
            fault_s = self._random.uniform(*_FAULT_DURATION_S)
            name = action.__name__.strip('_')
            self.result.actions.append(f'{name} {fault_s:.2f}')
            await action(fault_s)
            await anyio.sleep(self._random.uniform(*_FAULT_INTERVAL_S))

    async def _record_terms(self) -> None:
        while True:
            for host in list(self._model.processes.values()):
                figures = host.process.figures()
                if figures['schedules']:
                    self._term_tokens.add(figures['token'])
            await anyio.sleep(_TERM_POLL_INTERVAL_S)

    async def _submit_all(self, tasks: anyio.abc.TaskGroup) -> None:
        for number in itertools.count(1):
            if self._faults_ended:
                return
            tasks.start_soon(self._submit, f'{number:016x}')
            if self._worker_faults is not None:
                if not number % _JOBS_PER_CRASHING_JOB:
                    crashing_job_id = worker_faults.crashing_job_id(number)
                    tasks.start_soon(self._submit, crashing_job_id)
            await anyio.sleep(_JOB_INTERVAL_S)

    async def _submit_wide_job(self) -> None:
        """Submit a job that needs every worker, to detect unused ones."""
        step = document.Step(
            len(self._model.fleet.workers),
            _MILLICORES,
            _MEMORY_MB,
            estimate_ms=500,
            per_worker_max=1,
        )
        await self._submit(_WIDE_JOB_ID, step)
        await anyio.sleep(_WIDE_JOB_TIMEOUT_S)

    async def _submit_lasting_job(self) -> None:
        """Submit the lasting job until it is accepted."""
        step = document.Step(
            _LASTING_TASKS, _MILLICORES, _MEMORY_MB, lasting=True
        )
        while _LASTING_JOB_ID not in self._accepted:
            await self._submit(_LASTING_JOB_ID, step)
            await anyio.sleep(_JOB_INTERVAL_S)

    async def _submit(self, job_id: str, *steps: document.Step) -> None:
        """Submit a job at one host without a retry."""
        names = sorted(self._model.processes)
        if not names:
            self.result.unknown += 1
            return
        step = document.Step(2, _MILLICORES, _MEMORY_MB, estimate_ms=500)
        last = document.Step(
            1, _MILLICORES, _MEMORY_MB, estimate_ms=500, after=(0,)
        )
        job = document.Job(
            job_id,
            _QUEUE.name,
            'payload',
            steps or (step, last),
            self._model.now_ms(),
            accepted_by=_QUEUE,
        )
        if self._accounts is not None and not steps:
            job = self._accounts.assign(job)
        host = self._model.processes[names[int(job_id, 16) % len(names)]]
        deadline_s = self._model.timer.now_s() + _CALL_TIMEOUT_S
        reply = await host.call(
            lambda: host.process.submissions.submit(job, deadline_s)
        )
        if reply is None:
            self.result.unknown += 1
        elif reply.is_ok():
            self._accepted.add(job_id)
        elif reply.error.outcome is errors.Outcome.NOT_RUN:
            self._refused.add(job_id)
        else:
            self.result.unknown += 1

    async def _check(self) -> None:
        result, ledger = self.result, self._model.fleet.ledger
        result.accepted = len(self._accepted)
        result.refused = len(self._refused)
        result.terms = len(self._term_tokens)
        pairs = itertools.pairwise(self._starts_s)
        gaps_s = [after - before for before, after in pairs]
        result.longest_gap_s = max(gaps_s, default=0.0)
        result.violations += ledger.violations
        if self._accounts is not None:
            result.violations += self._accounts.violations()
        if self._worker_faults is not None:
            result.violations += self._worker_faults.violations()
        if self._has_lasting_job:
            running = {
                t for t in ledger.running if t.job_id == _LASTING_JOB_ID
            }
            if len(running) < _LASTING_TASKS:
                result.violations.append(
                    f'only {len(running)} lasting tasks run'
                )
            if _WIDE_JOB_ID not in self._accepted:
                result.violations.append(
                    'the job on every worker was not accepted'
                )
        started = {task.job_id for task in ledger.starts}
        result.violations += [
            f'{job_id} was refused and ran'
            for job_id in sorted((self._refused - self._accepted) & started)
        ]
        name = self._model.scheduler()
        if name is None:
            result.violations.append('no scheduler is active')
            return
        status = self._model.processes[name].process.job_status
        for job_id in sorted(self._accepted):
            account = (
                self._accounts.account_of(job_id) if self._accounts else ''
            )
            answer = await status.state(job_id, account)
            state = None
            if answer.is_error():
                state = answer.error.kind.value
            elif answer.ok is not None:
                state = answer.ok.state
            is_crashing = worker_faults.is_crashing_job(job_id)
            expected = 'failed' if is_crashing else 'done'
            if job_id == _LASTING_JOB_ID:
                expected = 'running'
            if state != expected:
                result.violations.append(
                    f'{job_id} was accepted and is {state}'
                )


def _run_time_s(task: ports.TaskName) -> float:
    return math.inf if task.job_id == _LASTING_JOB_ID else _TASK_RUN_TIME_S


def _uneven_run_time_s(task: ports.TaskName) -> float:
    run_time_s = _run_time_s(task)
    if task.job_id != _WIDE_JOB_ID and uneven_speeds.is_large(task):
        return run_time_s * _LARGE_FACTOR
    return run_time_s


def _run_time_of(draw: int) -> workers.RunTime:
    return _uneven_run_time_s if draw > 4 else _run_time_s


def simulate(
    seed: int,
    hosts: int = _HOSTS,
    duration_s: float = _DURATION_S,
    draw: int = NEWEST_DRAW,
) -> Result:
    """Simulate one seed of a draw."""
    results: list[Result] = []

    async def simulate_cell() -> None:
        configuration = (
            account_changes.with_initial_accounts(_CELL) if draw > 3 else _CELL
        )
        async with cell_model.running(
            configuration, hosts, seed=seed, is_configured_by_store=draw > 3
        ) as model:
            count = _WORKERS_WITH_FAULTS if draw > 1 else _WORKERS
            for number in range(count):
                model.fleet.add(
                    workers.listed_worker(number), _run_time_of(draw), number
                )
            soak = _Soak(seed, hosts, model, draw)
            await soak.run(duration_s)
            results.append(soak.result)

    virtual_time.run(simulate_cell())
    return results[0]


def main() -> int:
    """Simulate the seeds of the arguments; return 1 on a violation."""
    logs.configure('critical')
    return seed_runner.run(
        __doc__,
        {
            'first': 1,
            'seeds': 20,
            'hosts': _HOSTS,
            'duration_s': _DURATION_S,
            'draw': NEWEST_DRAW,
        },
        lambda seed, options: simulate(
            seed, options.hosts, options.duration_s, options.draw
        ),
        lambda result: (
            f'{result.accepted} accepted, {result.refused} refused, '
            f'{result.unknown} unknown, {result.terms} terms, longest gap '
            f'{result.longest_gap_s:.2f} s'
        ),
    )


if __name__ == '__main__':
    sys.exit(main())
