"""Simulations of a load on a cell, and the service that accounts get."""

from __future__ import annotations

import dataclasses
import functools
import math
import pathlib
import statistics
import typing

import anyio
from hdrh import histogram
import msgspec
import yaml

from walnutpoint_core import logs
from walnutpoint_model import account_audit
from walnutpoint_model import bound
from walnutpoint_model import cell_model
from walnutpoint_model import load
from walnutpoint_model import store
from walnutpoint_model import tenancy
from walnutpoint_model import virtual_time
from walnutpoint_model import workers
from walnutpoint_scheduler import accounts as client_accounts
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports
from walnutpoint_scheduler import settings

__all__ = (
    'Experiment',
    'Outcome',
    'simulate',
    'read',
)

_PROCESSES: typing.Final = 4
_MS: typing.Final = 1000.0
_HISTOGRAM_MAX_MS: typing.Final = 600_000
# About four tries fit into the default patience_s.
_RETRY_INTERVAL_S: typing.Final = 0.7
_POLL_INTERVAL_S: typing.Final = 0.02
_WORST_ACCOUNTS_SHARE: typing.Final = 0.1


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load, and the scheduler settings to compare on it."""

    load: load.LoadSettings
    policies: dict[str, settings.SchedulerSettings]
    seeds: tuple[int, ...] = (1, 2, 3)


@dataclasses.dataclass(slots=True)
class Outcome:
    """Results of one simulation, by class of jobs."""

    policy: str
    seed: int
    worth: float
    jobs: dict[str, int]
    in_objective: dict[str, float]
    # Times from the first try to the end.
    times_ms: dict[str, histogram.HdrHistogram]
    starts: int
    # The worth that no scheduler exceeds (bound.upper_bound).
    bound: float
    violations: list[str]
    # The mean worth of each account's jobs within its rate.
    worth_by_account: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def worst_accounts_worth(self) -> float:
        """Return the mean worth of the worst-served tenth of the accounts."""
        worths = sorted(self.worth_by_account.values())
        count = math.ceil(len(worths) * _WORST_ACCOUNTS_SHARE)
        return statistics.mean(worths[:count]) if worths else 1.0


def read(path: str) -> Experiment:
    """Read an experiment; raise msgspec.ValidationError or OSError."""
    text = pathlib.Path(path).read_text(encoding='utf-8')
    return msgspec.convert(yaml.safe_load(text), Experiment)


def simulate(experiment: Experiment, policy: str, seed: int) -> Outcome:
    """Simulate one policy on one seed in virtual time."""
    logs.configure('critical')
    return virtual_time.run(_simulate(experiment, policy, seed))


async def _simulate(experiment: Experiment, policy: str, seed: int) -> Outcome:
    load_settings = experiment.load
    workload = load.Load(load_settings, seed)
    configuration = cell.Cell(
        1,
        tuple(job_class.queue() for job_class in load_settings.classes),
        (cell.Pool('pool'),),
        accounts=client_accounts.Accounts(
            each.account() for each in load_settings.accounts
        ),
    )
    async with cell_model.running(
        configuration,
        _PROCESSES,
        config=experiment.policies[policy],
        seed=seed,
        granted_share=load_settings.granted_share,
    ) as model:
        _add_workers(model, load_settings, workload)
        audit = account_audit.AccountAudit(
            model.fleet.ledger,
            workload.jobs,
            lambda: [configuration.accounts] if configuration.accounts else [],
        )
        while model.scheduler() is None:
            await anyio.sleep(_POLL_INTERVAL_S)
        ended = await _run_workload(model, load_settings, workload)
        outcome = _outcome(policy, seed, load_settings, model, workload, ended)
        outcome.violations += audit.violations
        return outcome


def _add_workers(
    model: cell_model.CellModel,
    load_settings: load.LoadSettings,
    workload: load.Load,
) -> None:
    slow = math.ceil(load_settings.slow_share * load_settings.workers)
    failing = math.ceil(
        load_settings.failing_workers_share * load_settings.workers
    )
    for number in range(load_settings.workers):
        factor = load_settings.slow_factor if number < slow else 1.0
        worker = model.fleet.add(
            workers.listed_worker(
                number,
                'pool',
                load_settings.worker_millicores,
                load_settings.worker_memory_mb,
                accelerators=load_settings.worker_accelerators,
            ),
            functools.partial(_run_time_s, workload, factor),
            number,
        )
        worker.fails = slow <= number < slow + failing


def _run_time_s(
    workload: load.Load, factor: float, task: ports.TaskName
) -> float:
    return workload.run_time_s(task) * factor


async def _run_workload(
    model: cell_model.CellModel,
    load_settings: load.LoadSettings,
    workload: load.Load,
) -> dict[str, tuple[float, str]]:
    """Submit jobs, and return each one's duration and final state."""
    start_ms = model.now_ms()
    workload.start_ms = start_ms
    ended: dict[str, tuple[float, str]] = {}
    submitted_ms: dict[str, int] = {}

    async def arrive(job_class: load.JobClass) -> None:
        while model.now_ms() - start_ms < load_settings.duration_s * _MS:
            await anyio.sleep(workload.interarrival_s(job_class))
            job = workload.draw(job_class, model.now_ms())
            submitted_ms[job.job_id] = model.now_ms()
            tasks.start_soon(submit, job, len(submitted_ms))

    async def burst(
        job_class: load.JobClass, hot_account: tenancy.AccountLoad
    ) -> None:
        """Submit an account's jobs beyond its usual rate."""
        usual_per_s = (
            workload.tenancy.fraction(hot_account.name)
            * job_class.arrivals_per_s
        )
        extra_per_s = usual_per_s * (hot_account.hot_factor - 1.0)
        await anyio.sleep(hot_account.hot_at_s or 0.0)
        end_ms = model.now_ms() + hot_account.hot_s * _MS
        while extra_per_s and model.now_ms() < end_ms:
            await anyio.sleep(workload.interarrival_s(job_class, extra_per_s))
            job = workload.draw(job_class, model.now_ms(), hot_account.name)
            submitted_ms[job.job_id] = model.now_ms()
            tasks.start_soon(submit, job, len(submitted_ms))

    async def submit(job: document.Job, number: int) -> None:
        """Try one process after another until the caller gives up."""
        end_ms = job.accepted_ms + load_settings.patience_s * _MS
        while True:
            names = sorted(model.processes)
            host = model.processes[names[number % len(names)]]
            result = await host.process.submissions.submit(
                job, model.now_ms() / _MS + 3.0
            )
            if result.is_ok():
                return
            number += 1
            await anyio.sleep(_RETRY_INTERVAL_S)
            if model.now_ms() > end_ms:
                ended[job.job_id] = (math.inf, 'refused')
                return

    async def watch() -> None:
        while True:
            await anyio.sleep(_POLL_INTERVAL_S)
            name = model.scheduler()
            if name is None:
                continue
            process = model.processes[name].process
            # A copy, because jobs arrive during the calls below.
            for job_id, since_ms in list(submitted_ms.items()):
                if job_id in ended:
                    continue
                answer = await process.job_status.state(
                    job_id, workload.jobs[job_id].account
                )
                if answer.is_error() or answer.ok is None:
                    continue
                state = answer.ok.state
                if state in _FINAL:
                    ended[job_id] = (model.now_ms() - since_ms, state)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch)
        async with anyio.create_task_group() as arrivals:
            for job_class in load_settings.classes:
                arrivals.start_soon(arrive, job_class)
                for hot_account in workload.tenancy.hot_accounts():
                    arrivals.start_soon(burst, job_class, hot_account)
            if load_settings.kill_at_s is not None:
                arrivals.start_soon(
                    _kill_scheduler, model, load_settings.kill_at_s
                )
            if load_settings.outage_at_s is not None:
                arrivals.start_soon(
                    _inject_store_outage,
                    model,
                    load_settings.outage_at_s,
                    load_settings.outage_s,
                )
        with anyio.move_on_after(load_settings.settle_s):
            while len(ended) < len(submitted_ms):
                await anyio.sleep(_POLL_INTERVAL_S)
        tasks.cancel_scope.cancel()
    return ended


_FINAL: typing.Final = frozenset({'done', 'failed', 'cancelled'})


async def _inject_store_outage(
    model: cell_model.CellModel, at_s: float, for_s: float
) -> None:
    await anyio.sleep(at_s)
    model.store.fault = store.StoreFault.SILENT
    await anyio.sleep(for_s)
    model.store.fault = store.StoreFault.NONE


async def _kill_scheduler(model: cell_model.CellModel, at_s: float) -> None:
    await anyio.sleep(at_s)
    name = model.scheduler()
    if name is not None:
        model.kill(name)
        await anyio.sleep(1.0)
        model.start(name)


def _outcome(
    policy: str,
    seed: int,
    load_settings: load.LoadSettings,
    model: cell_model.CellModel,
    workload: load.Load,
    ended: dict[str, tuple[float, str]],
) -> Outcome:
    names = sorted(
        {job_class.name for job_class in workload.job_classes.values()}
    )
    times = {
        name: histogram.HdrHistogram(1, _HISTOGRAM_MAX_MS, 3) for name in names
    }
    jobs = dict.fromkeys(names, 0)
    in_objective_count = dict.fromkeys(names, 0)
    total_credit = 0.0
    owed = workload.tenancy.owed
    credits: dict[str, list[float]] = {}
    for job_id, job_class in workload.job_classes.items():
        account_credits = credits.setdefault(workload.jobs[job_id].account, [])
        if owed[job_id]:
            account_credits.append(0.0)
        jobs[job_class.name] += 1
        duration_ms, state = ended.get(job_id, (math.inf, 'open'))
        if state != 'done':
            continue
        times[job_class.name].record_value(max(1, round(duration_ms)))
        objective_ms = _MS * (
            workload.critical_paths_s[job_id] * job_class.stretch
            + job_class.allowance_s
        )
        in_objective_count[job_class.name] += duration_ms <= objective_ms
        if owed[job_id]:
            account_credits[-1] = bound.credit(duration_ms, objective_ms)
            total_credit += account_credits[-1]
    return Outcome(
        policy,
        seed,
        total_credit / max(1, sum(owed.values())),
        jobs,
        {
            name: in_objective_count[name] / max(1, jobs[name])
            for name in names
        },
        times,
        sum(model.fleet.ledger.starts.values()),
        bound.upper_bound(load_settings, workload),
        list(model.fleet.ledger.violations),
        {
            name: statistics.mean(account_credits)
            for name, account_credits in credits.items()
            if name and account_credits
        },
    )
