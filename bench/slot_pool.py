"""A pool of equal slots that serves jobs of two steps in some order."""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq
import math
import random
import statistics
import typing

from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import overload

__all__ = (
    'Job',
    'Order',
    'ServedSet',
    'by_deadline',
    'by_work',
    'in_time',
    'jobs_of',
    'large_share',
    'serve',
    'useful',
    'value',
    'worst_tenth',
)

SLOTS = 225
TASK_S = 3.8
OBJECTIVE_S = 2.2 * 2 * TASK_S + 1.2
WIDTH_MEAN = 21
# Jobs per second that occupy every slot.
CAPACITY_RATE = SLOTS / (2 * WIDTH_MEAN * TASK_S)
TICK_S = 0.1
PERIOD_S = 0.25
PATIENCE_S = 12.0
_LATE_VALUE = 0.25


@dataclasses.dataclass(eq=False)
class Job:
    """A job, of which the scheduler knows the declared time only."""

    number: int
    account: str
    accepted_s: float
    # Actual times of the tasks of each step.
    steps: list[list[float]]
    # Objective of the caller, who knows the usual time of its tasks.
    objective_s: float
    is_owed: bool = True
    step: int = 0
    begun_at_s: dict[int, float] = dataclasses.field(default_factory=dict)
    running: set[int] = dataclasses.field(default_factory=set)
    idle_since_s: float = 0.0
    ended_s: float = math.inf

    @property
    def waiting(self) -> int:
        """Return how many tasks of the current step have not started."""
        return len(self.steps[self.step]) - len(self.begun_at_s)

    def demand(self, now_s: float) -> overload.JobDemand:
        """Return what the job demands by declared times."""
        left = [
            max(TASK_S - now_s + self.begun_at_s[task], 0.0)
            for task in self.running
        ]
        later = len(self.steps) - self.step - 1
        width = len(self.steps[-1])
        waiting_s = (self.waiting + later * width) * TASK_S
        chain_s = max([*left, TASK_S if self.waiting else 0.0], default=0.0)
        return overload.JobDemand(
            str(self.number),
            self.account,
            2,
            self.is_owed,
            bool(self.step or self.begun_at_s),
            self.accepted_s * 1000,
            (self.accepted_s + OBJECTIVE_S) * 1000,
            (self.accepted_s + 3 * OBJECTIVE_S) * 1000,
            chain_s + later * TASK_S,
            (waiting_s + sum(left)) / SLOTS,
            sum(left) / SLOTS,
            len(left) / SLOTS,
        )


Order: typing.TypeAlias = collections.abc.Callable[
    [list[Job], float], dict[int, tuple[float, ...]]
]


def jobs_of(
    seed: int,
    load: float,
    burst_s: float,
    error: float = 0.0,
    account_count: int = 20,
    hot_factor: int = 1,
) -> list[Job]:
    """Return jobs at 0.7 of the capacity, with a burst at a load.

    error is the logarithm, to base 1.9, of actual over declared times; zero
    draws one for each job. The first account sends hot_factor times as much.
    """
    random_ = random.Random(seed)
    jobs: list[Job] = []
    now_s = 0.0
    while now_s < burst_s + 20.0:
        rate = load if 5.0 <= now_s < 5.0 + burst_s else 0.7
        now_s += random_.expovariate(CAPACITY_RATE * rate)
        width = round(random_.lognormvariate(math.log(16), 0.75))
        width = min(max(width, 5), 80)
        usual_s = TASK_S * 1.9 ** (error or random_.uniform(-1, 1))
        steps = [
            [
                usual_s * random_.lognormvariate(-0.125, 0.5)
                for _ in range(width)
            ]
            for _ in range(2)
        ]
        account = random_.randrange(account_count - 1 + hot_factor)
        jobs.append(
            Job(
                len(jobs),
                str(max(0, account - hot_factor + 1)),
                now_s,
                steps,
                2.2 * 2 * usual_s + 1.2,
                idle_since_s=now_s,
            )
        )
    return jobs


def serve(jobs: list[Job], order: Order) -> list[Job]:
    """Serve jobs until all have ended, and return them."""
    coming = collections.deque(jobs)
    by_number = {job.number: job for job in jobs}
    open_jobs: list[Job] = []
    ends: list[tuple[float, int, int]] = []
    now_s, free = 0.0, SLOTS
    while coming or open_jobs:
        now_s += TICK_S
        while coming and coming[0].accepted_s <= now_s:
            open_jobs.append(coming.popleft())
        while ends and ends[0][0] <= now_s:
            ended_s, number, task = heapq.heappop(ends)
            free += 1
            _end_task(by_number[number], task, ended_s, open_jobs)
        if not free:
            continue
        ranks = order(open_jobs, now_s)
        ready = [job for job in open_jobs if job.waiting]
        ready.sort(key=lambda j: (not j.is_owed, ranks[j.number], j.number))
        for job, most in [
            *_overdue(ready, now_s),
            *((j, free) for j in ready),
        ]:
            for _ in range(min(free, most, job.waiting)):
                task = len(job.begun_at_s)
                job.begun_at_s[task] = now_s
                job.running.add(task)
                end_s = now_s + job.steps[job.step][task]
                heapq.heappush(ends, (end_s, job.number, task))
                free -= 1
    return jobs


def _overdue(
    ready: list[Job], now_s: float
) -> collections.abc.Iterator[tuple[Job, int]]:
    """Return the job that waits longest, for one task, as promotion does."""
    idle = [j for j in ready if not j.running]
    if idle:
        longest = min(idle, key=lambda job: job.idle_since_s)
        if now_s - longest.idle_since_s > PATIENCE_S:
            yield longest, 1


def _end_task(
    job: Job, task: int, ended_s: float, open_jobs: list[Job]
) -> None:
    job.running.remove(task)
    job.idle_since_s = ended_s
    if job.running or job.waiting:
        return
    job.step += 1
    job.begun_at_s = {}
    if job.step == len(job.steps):
        job.ended_s = ended_s
        open_jobs.remove(job)


def by_deadline(jobs: list[Job], now_s: float) -> dict[int, tuple[float, ...]]:
    """Rank by deadline, with tiers for late and useless jobs."""
    ranks: dict[int, tuple[float, ...]] = {}
    for job in jobs:
        end_s = now_s + (len(job.steps) - job.step) * TASK_S - job.accepted_s
        tier = (end_s > OBJECTIVE_S) + (end_s > 3 * OBJECTIVE_S)
        ranks[job.number] = tier, job.accepted_s
    return ranks


def by_work(jobs: list[Job], now_s: float) -> dict[int, tuple[float, ...]]:
    """Rank by least remaining work."""
    return {job.number: (job.demand(now_s).work_pool_s,) for job in jobs}


class ServedSet:
    """Ranks by the served set, computed as often as by the scheduler."""

    def __init__(self, fair_shares: bool = True, rate: float = 0.92) -> None:
        self._rate = rate
        self._fair_shares = fair_shares
        self._computed_s = -math.inf
        self._standings: dict[str, overload.Standing] = {}
        self._sizes = overload.SizeClasses()
        self._recent = accounts.RecentUse()
        self._jobs: dict[str, Job] = {}

    def __call__(
        self, jobs: list[Job], now_s: float
    ) -> dict[int, tuple[float, ...]]:
        """Return the rank of each job by its number."""
        if now_s - self._computed_s >= PERIOD_S:
            self._compute(jobs, now_s)
        ranks = by_deadline(jobs, now_s)
        for job in jobs:
            standing = self._standings.get(str(job.number))
            if standing is not None:
                ranks[job.number] = standing[:2]
        return ranks

    def _compute(self, jobs: list[Job], now_s: float) -> None:
        self._computed_s = now_s
        demands = [job.demand(now_s) for job in jobs]
        shares: dict[str, float] = {}
        for job, demand in zip(jobs, demands, strict=True):
            shares[job.account] = (
                shares.get(job.account, 0.0) + demand.running_share
            )
            if not self._sizes.is_open(demand.job_id):
                self._sizes.add('', demand, demand.work_pool_s)
                self._jobs[demand.job_id] = job
        self._recent.add(shares, now_s)
        for job_id in self._sizes.open_ids():
            job = self._jobs[job_id]
            if job.ended_s < math.inf:
                self._sizes.record_end(job_id, True, job.ended_s * 1000)
        self._sizes.update(now_s * 1000)
        self._standings = {}
        ahead_pool_s = 0.0
        for is_owed in (True, False):
            group = [each for each in demands if each.is_owed is is_owed]
            self._select(group, ahead_pool_s, now_s)
            ahead_pool_s = sum(each.waiting_pool_s for each in group)

    def _select(
        self,
        demands: list[overload.JobDemand],
        ahead_pool_s: float,
        now_s: float,
    ) -> None:
        levels = None
        if self._fair_shares:
            levels = overload.ShareLevels(self._recent.pool_s(), {})
        selection = overload.select(
            demands,
            self._rate,
            now_s * 1000,
            ahead_pool_s,
            overload.Leaving(levels),
        )
        if selection.is_overloaded:
            self._standings.update(
                overload.standings(selection, self._sizes.served_share, levels)
            )


def _value(job: Job) -> float:
    took_s = job.ended_s - job.accepted_s
    if took_s <= job.objective_s:
        return 1.0
    return _LATE_VALUE if took_s <= 3 * job.objective_s else 0.0


def value(jobs: collections.abc.Iterable[Job]) -> float:
    """Return the mean worth of jobs: late ones count a quarter."""
    return statistics.mean(map(_value, jobs))


def in_time(jobs: collections.abc.Sequence[Job]) -> float:
    """Return the share of jobs that end in time."""
    return sum(_value(job) == 1.0 for job in jobs) / len(jobs)


def useful(jobs: collections.abc.Sequence[Job]) -> float:
    """Return the share of jobs that end while they are useful."""
    return sum(_value(job) > 0.0 for job in jobs) / len(jobs)


def large_share(jobs: collections.abc.Sequence[Job]) -> tuple[float, ...]:
    """Return the useful shares of the largest tenth, a fifth, the rest."""
    ordered = sorted(jobs, key=lambda job: -len(job.steps[0]))
    first, second = len(jobs) // 10, len(jobs) * 3 // 10
    parts = ordered[:first], ordered[first:second], ordered[second:]
    return tuple(map(useful, parts))


def worst_tenth(jobs: collections.abc.Iterable[Job]) -> float:
    """Return the mean worth for the worst tenth of accounts."""
    by_account = collections.defaultdict[str, list[Job]](list)
    for job in jobs:
        by_account[job.account].append(job)
    values = sorted(map(value, by_account.values()))
    return statistics.mean(values[: max(1, len(values) // 10)])
