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
differ in speed, for good and for seconds, and a few tasks are large. From draw
6 on the store drops its history, also while the scheduler is stopped, and
callers cancel jobs at once; no task of theirs starts or runs on after that.
From draw 7 on, in place of these, tasks and gangs end failed, callers cancel
jobs at every age, notices and answers to watches are lost, and all hosts lose
power at the end; promises judges the starts and the failed jobs. From draw
8 on callers also submit jobs with many due occurrences, gangs that need
nothing, and tasks that end at once on one worker, more than a report lists;
workers refuse starts or lose them, and the number of pending jobs is compared
with the jobs that have not begun. From draw 9 on the scheduler is cut off from
the store together with other hosts and some workers.

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
from walnutpoint_model import cancelled_jobs
from walnutpoint_model import cell_model
from walnutpoint_model import host_faults
from walnutpoint_model import partitions
from walnutpoint_model import promise_faults
from walnutpoint_model import promised_jobs
from walnutpoint_model import seed_runner
from walnutpoint_model import soak_jobs
from walnutpoint_model import start_faults
from walnutpoint_model import uneven_speeds
from walnutpoint_model import unusual_jobs
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

NEWEST_DRAW: typing.Final = 9
_WORKERS: typing.Final = 6
# Two thirds of these have the capacity for all jobs.
_WORKERS_WITH_FAULTS: typing.Final = 9
# The share of worker faults in a series that has them.
_WORKER_FAULTS_SHARE: typing.Final = 0.5
# The share of faults of starts in a series that has them.
_START_FAULTS_SHARE: typing.Final = 0.3
# The share of faults of the store's history in a series that has them.
_HISTORY_FAULTS_SHARE: typing.Final = 0.4
# The share of partitions in a series that has them.
_PARTITIONS_SHARE: typing.Final = 0.8
# One crashing job is submitted with every so many others.
_JOBS_PER_CRASHING_JOB: typing.Final = 25
_LASTING_TASKS: typing.Final = 6
# Time limit of the job on every worker, without faults.
_WIDE_JOB_TIMEOUT_S: typing.Final = 3.0
_MILLICORES: typing.Final = 1000
_MEMORY_MB: typing.Final = 100
_NEED: typing.Final = resources.Resources(_MILLICORES, _MEMORY_MB)
_JOB_INTERVAL_S: typing.Final = 0.1
# The deadline of a caller's call.
_CALL_TIMEOUT_S: typing.Final = 3.0
_FAULT_DURATION_S: typing.Final = (0.1, 2.5)
_FAULT_INTERVAL_S: typing.Final = (0.0, 0.8)
# Long enough at times for cancels to be due before the next fault.
_LONG_FAULT_INTERVAL_S: typing.Final = (0.0, 6.0)
# Every accepted job ends within this time after the last fault: twice a lease,
# a takeover and two steps.
_SETTLING_TIME_S: typing.Final = 12.0
# Allows for five crashes of a task, each with a lease and a pause.
_SETTLING_TIME_WITH_CRASHES_S: typing.Final = 30.0
# In a series that submits while it settles: a suspect waits for its turn, and
# its probations and pauses grow with its losses.
_SETTLING_TIME_WITH_TRIALS_S: typing.Final = 60.0
# For how long such a series submits after the last fault.
_CALM_SUBMISSIONS_S: typing.Final = 12.0
# Far below the length of a term.
_TERM_POLL_INTERVAL_S: typing.Final = 0.01
_HOSTS: typing.Final = 9
_DURATION_S: typing.Final = 12.0
_QUEUE: typing.Final = cell.Queue(
    'urgent', 'host', '/urgent/', 'pool', 0, 3, 1.5, 0.25, 3.0
)
_UNUSUAL_QUEUE: typing.Final = cell.Queue(
    'unusual', 'host', '/unusual/', 'pool', 0, 3, 1.5, 0.25, 3.0
)
_POOLS: typing.Final = (cell.Pool('pool'),)
_CELL: typing.Final = cell.Cell(1, (_QUEUE,), _POOLS)
_CELL_OF_TWO_QUEUES: typing.Final = cell.Cell(
    1, (_QUEUE, _UNUSUAL_QUEUE), _POOLS
)


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
            self._worker_faults = worker_faults.WorkerFaults(
                model,
                self._random,
                soak_jobs.run_time_of(draw),
                _need_of,
                has_restarts=draw > 2,
            )
            self._worker_actions = self._worker_faults.actions()
        faults = host_faults.HostFaults(model, self._random, hosts)
        self._actions = faults.actions()
        self._history_actions: tuple[host_faults.Action, ...] = ()
        self._fault_interval_s = _FAULT_INTERVAL_S
        self._cancelled_jobs = None
        if draw > 5:
            self._history_actions = faults.history_actions()
            self._fault_interval_s = _LONG_FAULT_INTERVAL_S
        if draw == 6:
            self._cancelled_jobs = cancelled_jobs.CancelledJobs(
                model, random.Random(f'{seed} cancels'), _QUEUE
            )
        self._promised_jobs = None
        self._power_failure = None
        if draw > 6:
            self._history_actions += promise_faults.PromiseFaults(
                model, self._random
            ).actions()
            self._power_failure = faults.kill_all
            self._promised_jobs = promised_jobs.PromisedJobs(
                model, random.Random(f'{seed} promises'), _QUEUE
            )

        self._unusual_jobs = None
        self._start_actions: tuple[host_faults.Action, ...] = ()
        if draw > 7:
            last = model.fleet.workers[f'worker-{_WORKERS_WITH_FAULTS - 1}']
            self._unusual_jobs = unusual_jobs.UnusualJobs(
                model,
                random.Random(f'{seed} unusual'),
                _UNUSUAL_QUEUE,
                last.listed.rack,
            )
            self._start_actions = start_faults.StartFaults(
                model, self._random, (last.listed.worker_id,)
            ).actions()

        self._partition_actions: tuple[host_faults.Action, ...] = ()
        if draw > 8:
            self._partition_actions = partitions.Partitions(
                model, self._random
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
            if self._cancelled_jobs is not None:
                tasks.start_soon(self._cancelled_jobs.run, tasks)
            if self._promised_jobs is not None:
                tasks.start_soon(self._promised_jobs.run, tasks)
            if self._unusual_jobs is not None:
                tasks.start_soon(self._unusual_jobs.run, tasks)
            settle_s = _SETTLING_TIME_S
            if self._worker_faults is not None:
                tasks.start_soon(self._worker_faults.run)
                settle_s = _SETTLING_TIME_WITH_CRASHES_S
            await self._inject_faults(duration_s)
            self._faults_ended = True
            if self._promised_jobs is not None:
                settle_s = _SETTLING_TIME_WITH_TRIALS_S
                await anyio.sleep(_CALM_SUBMISSIONS_S)
                self._promised_jobs.is_stopped = True
            if self._unusual_jobs is not None:
                self._unusual_jobs.is_stopped = True
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
            if self._history_actions:
                if self._random.random() < _HISTORY_FAULTS_SHARE:
                    actions = self._history_actions
            if self._start_actions:
                if self._random.random() < _START_FAULTS_SHARE:
                    actions = self._start_actions
            if self._partition_actions:
                if self._random.random() < _PARTITIONS_SHARE:
                    actions = self._partition_actions
            action = self._random.choice(actions)
            fault_s = self._random.uniform(*_FAULT_DURATION_S)
            name = action.__name__.strip('_')
            self.result.actions.append(f'{name} {fault_s:.2f}')
            await self._inject(action, fault_s)
            await anyio.sleep(self._random.uniform(*self._fault_interval_s))
        if self._power_failure is not None:
            await self._inject(self._power_failure, _FAULT_DURATION_S[1])

    async def _inject(
        self, action: host_faults.Action, duration_s: float
    ) -> None:
        clock = self._model.timer
        begun_s = clock.now_s()
        if self._cancelled_jobs is not None:
            self._cancelled_jobs.calm_since_s = math.inf
        self._note_unusual_fault(action, is_over=False)
        await action(duration_s)
        self._note_unusual_fault(action, is_over=True)
        if self._cancelled_jobs is not None:
            self._cancelled_jobs.calm_since_s = clock.now_s()
        if self._promised_jobs is not None:
            self._promised_jobs.note_disturbance(begun_s)

    def _note_unusual_fault(
        self, action: host_faults.Action, *, is_over: bool
    ) -> None:
        """Tell the unusual jobs what a fault may explain."""
        if self._unusual_jobs is None:
            return
        since_s = self._model.timer.now_s()
        if action in self._start_actions:
            self._unusual_jobs.starts_fail_since_s = (
                math.inf if is_over else since_s
            )
        else:
            self._unusual_jobs.calm_since_s = since_s if is_over else math.inf

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
        await self._submit(soak_jobs.WIDE_ID, step)
        await anyio.sleep(_WIDE_JOB_TIMEOUT_S)

    async def _submit_lasting_job(self) -> None:
        """Submit the lasting job until it is accepted."""
        step = document.Step(
            _LASTING_TASKS, _MILLICORES, _MEMORY_MB, lasting=True
        )
        while soak_jobs.LASTING_ID not in self._accepted:
            await self._submit(soak_jobs.LASTING_ID, step)
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
        if self._promised_jobs is not None:
            self._promised_jobs.note_submission(job_id)
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
        if self._cancelled_jobs is not None:
            result.violations += self._cancelled_jobs.violations()
            self._accepted |= self._cancelled_jobs.lasting_job_ids()
        if self._unusual_jobs is not None:
            result.violations += self._unusual_jobs.violations()
            self._accepted |= self._unusual_jobs.accepted_ids
        if self._has_lasting_job:
            running = {
                t for t in ledger.running if t.job_id == soak_jobs.LASTING_ID
            }
            if len(running) < _LASTING_TASKS:
                result.violations.append(
                    f'only {len(running)} lasting tasks run'
                )
            if soak_jobs.WIDE_ID not in self._accepted:
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
            if self._is_judged(job_id, state):
                continue
            if state != soak_jobs.expected_state(job_id):
                result.violations.append(
                    f'{job_id} was accepted and is {state}'
                )
        if self._promised_jobs is not None:
            result.violations += self._promised_jobs.violations()

    def _is_judged(self, job_id: str, state: str | None) -> bool:
        """Return whether a state is left to the judge of promises."""
        if self._promised_jobs is None or state is None:
            return False
        self._promised_jobs.note_state(job_id, state)
        return state == 'failed'


def _need_of(task: ports.TaskName) -> resources.Resources:
    """Return what a task books on its worker."""
    if unusual_jobs.is_unusual_job(task.job_id):
        return unusual_jobs.need_of(task)
    return _NEED


def simulate(
    seed: int,
    hosts: int = _HOSTS,
    duration_s: float = _DURATION_S,
    draw: int = NEWEST_DRAW,
) -> Result:
    """Simulate one seed of a draw."""
    results: list[Result] = []

    async def simulate_cell() -> None:
        configuration = _CELL_OF_TWO_QUEUES if draw > 7 else _CELL
        if draw > 3:
            configuration = account_changes.with_initial_accounts(
                configuration
            )
        async with cell_model.running(
            configuration, hosts, seed=seed, is_configured_by_store=draw > 3
        ) as model:
            count = _WORKERS_WITH_FAULTS if draw > 1 else _WORKERS
            for number in range(count):
                model.fleet.add(
                    workers.listed_worker(number),
                    soak_jobs.run_time_of(draw),
                    number,
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
