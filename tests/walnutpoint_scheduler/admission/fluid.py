"""A pool as a fluid, served in the scheduler's order, without a network."""

from __future__ import annotations

import dataclasses
import random
import typing

from walnutpoint_scheduler import _messages
from walnutpoint_scheduler.admission import _decision
from walnutpoint_scheduler.admission import _service_rate
from walnutpoint_scheduler.admission import _waiting_work
from walnutpoint_scheduler import overload

STEP_S = 0.5
STRETCH, ALLOWANCE_S = 2.2, 1.2


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A job of two wide steps, and how far it has come."""

    accepted_s: float
    # As declared; the actual values are larger by the error.
    chain_s: float
    work_pool_s: float
    error: float = 1.0
    is_owed: bool = True
    done: float = 0.0
    ended_s: float | None = None

    def objective_s(self, chain_s: float) -> float:
        return chain_s * STRETCH + ALLOWANCE_S

    @property
    def is_useful(self) -> bool:
        """Whether it ended while its caller had use for it."""
        if self.ended_s is None:
            return False
        useful_s = 3.0 * self.objective_s(self.chain_s * self.error)
        return self.ended_s - self.accepted_s <= useful_s

    def demand(self) -> overload.JobDemand:
        objective_ms = self.objective_s(self.chain_s) * 1000
        accepted_ms = self.accepted_s * 1000
        return overload.JobDemand(
            '',
            '',
            2,
            self.is_owed,
            self.done > 0.0,
            accepted_ms,
            accepted_ms + objective_ms,
            accepted_ms + 3 * objective_ms,
            self.chain_s * (1.0 - self.done),
            self.work_pool_s * (1.0 - self.done),
        )


class Pool:
    """Serves jobs at a rate, and publishes the backlog at each step."""

    def __init__(self, rate: typing.Callable[[float], float]) -> None:
        self._rate = rate
        self.jobs: list[Job] = []
        self._measured = _service_rate.ServiceRate()
        self.backlogs: list[tuple[float, _messages.PoolBacklog | None]] = []

    def serve(self, now_s: float) -> None:
        """Serve the open jobs for one step."""
        left = self._rate(now_s) * STEP_S
        served = 0.0
        for job in self._order(now_s):
            actual = job.work_pool_s * job.error
            fastest = STEP_S / (job.chain_s * job.error)
            share = min(fastest, left / actual, 1.0 - job.done)
            left -= share * actual
            served += share * job.work_pool_s
            job.done += share
            if job.done > 1.0 - 1e-9:
                job.ended_s = now_s + STEP_S
        self.jobs = [job for job in self.jobs if job.ended_s is None]
        self._publish(now_s + STEP_S, served, self._rate(now_s))

    def _order(self, now_s: float) -> list[Job]:
        """Return the set that can end in time, the late and the useless."""
        by_rank: list[tuple[typing.Any, Job]] = []
        taken = {True: 0.0, False: 0.0}
        demands = [(job.demand(), job) for job in self.jobs]
        demands.sort(key=lambda pair: pair[0].work_pool_s)
        for demand, job in demands:
            wait_s = taken[job.is_owed] / self._rate(now_s)
            end_ms = (now_s + demand.chain_s) * 1000
            if end_ms + wait_s * 1000 <= demand.deadline_ms:
                taken[job.is_owed] += demand.work_pool_s
                rank = (0, demand.deadline_ms, 0.0)
            elif end_ms <= demand.useful_until_ms:
                rank = (1, not demand.is_begun, demand.work_pool_s)
            else:
                rank = (2, 0.0, demand.work_pool_s)
            by_rank.append(((not job.is_owed, rank), job))
        by_rank.sort(key=lambda pair: pair[0])
        return [job for _, job in by_rank]

    def _publish(self, now_s: float, served: float, used: float) -> None:
        waiting = [
            _waiting_work.WaitingJob(job.demand(), waiting_pool_s)
            for job in self.jobs
            if (waiting_pool_s := _waiting_pool_s(job))
        ]
        total = sum(job.waiting_pool_s for job in waiting)
        self._measured.record(now_s, served, used, total, 3.8)
        rate = self._measured.rate(now_s)
        backlog = None
        if rate is not None:
            work = _waiting_work.summarize(waiting, now_s * 1000)
            backlog = _messages.PoolBacklog('pool', 2, 1, 0, 0, rate, work)
        self.backlogs.append((now_s, backlog))


def _waiting_pool_s(job: Job) -> float:
    """Return the work of steps that have not begun."""
    if not job.done:
        return job.work_pool_s
    return job.work_pool_s / 2 if job.done < 0.5 else 0.0


def replay(
    arrivals: list[Job],
    rate: typing.Callable[[float], float],
    ages_s: typing.Callable[[], float] | None,
) -> tuple[list[Job], set[int]]:
    """Return the jobs, and the numbers of the refused; None refuses none."""
    pool, refused = Pool(rate), set()
    jobs = [dataclasses.replace(job) for job in arrivals]
    pending = sorted(range(len(jobs)), key=lambda n: jobs[n].accepted_s)
    now_s = 0.0
    end_s = jobs[pending[-1]].accepted_s + 100.0
    while now_s < end_s:
        while pending and jobs[pending[0]].accepted_s <= now_s:
            number = pending.pop(0)
            if ages_s and is_refused(pool, jobs[number], now_s, ages_s()):
                refused.add(number)
            else:
                pool.jobs.append(jobs[number])
        pool.serve(now_s)
        now_s += STEP_S
    return jobs, refused


def is_refused(pool: Pool, job: Job, now_s: float, age_s: float) -> bool:
    """Decide on a job by the backlog as it was some time ago."""
    index = len(pool.backlogs) - 1 - round(age_s / STEP_S)
    if index < 0 or pool.backlogs[index][1] is None:
        return False
    arrival = _decision.Arrival(
        job.chain_s, job.work_pool_s, STRETCH, ALLOWANCE_S, job.is_owed
    )
    measured_s, backlog = pool.backlogs[index]
    return _decision.forecast(arrival, backlog, now_s - measured_s).is_hopeless


def batch(
    seed: int,
    duration_s: float,
    offered: float,
    error: typing.Callable[[random.Random], float] = lambda _: 1.0,
    **fields: typing.Any,
) -> list[Job]:
    """Return batch jobs that offer a work per second, of mixed sizes."""
    source = random.Random(seed)  # noqa: S311
    jobs, now_s = [], 0.0
    while now_s < duration_s:
        factor = error(source)
        size = source.lognormvariate(0.0, 0.8)
        chain_s = 7.6 * source.lognormvariate(0.0, 0.3)
        jobs.append(
            Job(now_s, chain_s / factor, 0.2 * size / factor, factor, **fields)
        )
        now_s += source.expovariate(offered / (0.2 * 1.377))
    return jobs
