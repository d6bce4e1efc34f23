"""Reads the waiting and completed work of a term's open jobs."""

from __future__ import annotations

import dataclasses
import typing

from walnutpoint_core import resources
from walnutpoint_core import slices
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _wait_cause
from walnutpoint_scheduler.admission import _waiting_work
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import estimates
from walnutpoint_scheduler import overload

__all__ = (
    'Load',
    'PoolPriority',
    'Scan',
)

PoolPriority = tuple[str, int]

# Steps and tasks that are read before other work of the process goes on.
_SLICE_TASKS: typing.Final = 5000
# A job that waits for one of these takes no capacity from others.
_NOT_COMPETING: typing.Final = frozenset(
    cause.value
    for cause in (
        _wait_cause.Cause.ACCOUNT_LIMIT,
        _wait_cause.Cause.DENIED,
        _wait_cause.Cause.NO_WORKER,
        _wait_cause.Cause.SUSPECT,
    )
)


@dataclasses.dataclass(slots=True)
class Load:
    """The load of one priority in one pool."""

    capacity: resources.Resources
    # Share of the pool that running tasks of any priority use, except lasting
    # ones. More urgent work only counts while it runs, so that a burst of it
    # does not appear as a low capacity.
    used_share: float
    # Jobs with waiting tasks, and the work of these.
    waiting: list[tuple[_state.JobProgress, cell.Queue, float]] = (
        dataclasses.field(default_factory=list)
    )
    # Work done since the last scan, in seconds of the whole pool.
    done_pool_s: float = 0.0
    waiting_pool_s: float = 0.0
    # Product of waiting work and the run time of its tasks.
    _weighted_task_s: float = 0.0

    @property
    def task_s(self) -> float:
        """Return the mean run time of waiting tasks, weighted by work."""
        if not self.waiting_pool_s:
            return 0.0
        return self._weighted_task_s / self.waiting_pool_s

    async def jobs(
        self, run_times: estimates.RunTimes
    ) -> list[_waiting_work.WaitingJob]:
        """Return what the jobs with waiting tasks demand."""
        return [
            _waiting_work.WaitingJob(
                overload.demand_of(job, queue, self.capacity, run_times),
                work_pool_s,
            )
            async for job, queue, work_pool_s in slices.sliced(
                self.waiting, _SLICE_TASKS, lambda waiting: waiting[0].size
            )
        ]

    def add_waiting(self, work_pool_s: float, task_s: float) -> None:
        """Add the waiting tasks of one step."""
        self.waiting_pool_s += work_pool_s
        self._weighted_task_s += work_pool_s * task_s


class Scan:
    """Compares the open jobs with those of the last scan."""

    __slots__ = ('_context', '_done_counts', '_tracked')

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        # Jobs of the last scan, and how many tasks of each step were done.
        self._tracked: dict[str, _state.JobProgress] = {}
        self._done_counts: dict[str, tuple[int, ...]] = {}

    async def loads(self) -> dict[PoolPriority, Load]:
        """Return the current load by pool and priority."""
        context = self._context
        capacities = self._capacities()
        used_shares = self._used_shares(capacities)
        loads: dict[PoolPriority, Load] = {}
        tracked = self._tracked
        current = {
            job_id: job
            for job_id, job in context.open_jobs.items()
            if job.document.objective_queue is not None
        }
        async for job_id, job in slices.sliced(
            (tracked | current).items(),
            _SLICE_TASKS,
            lambda item: item[1].size,
        ):
            queue = context.queue_of(job)
            capacity = capacities.get(queue.pool)
            if capacity is None:
                continue
            load = loads.setdefault(
                (queue.pool, queue.priority),
                Load(capacity, used_shares[queue.pool]),
            )
            self._add_done(load, queue, job)
            if job_id in current:
                self._add_open(load, queue, job)
        self._tracked = current
        self._done_counts = {
            job_id: tuple(step.done_count for step in job.occurrence(0))
            for job_id, job in current.items()
        }
        return loads

    def _capacities(self) -> dict[str, resources.Resources]:
        capacities: dict[str, resources.Resources] = {}
        for worker in self._context.roster.workers.values():
            if worker.answering and not worker.listed.draining:
                pool = worker.listed.pool
                capacity = capacities.get(pool, resources.Resources())
                capacities[pool] = capacity + worker.listed.capacity
        return capacities

    def _used_shares(
        self, capacities: dict[str, resources.Resources]
    ) -> dict[str, float]:
        """Return the share of each pool used by work that will end."""
        shares = dict.fromkeys(capacities, 0.0)
        for worker in self._context.roster.workers.values():
            capacity = capacities.get(worker.listed.pool)
            if capacity is None:
                continue
            for run in worker.runs.values():
                if run.task is None or not run.task.step.job.document.lasting:
                    share = run.need.dominant_share(capacity)
                    shares[worker.listed.pool] += share
        return shares

    def _add_done(
        self, load: Load, queue: cell.Queue, job: _state.JobProgress
    ) -> None:
        """Add the tasks done since the last scan."""
        before = self._done_counts.get(job.document.job_id)
        if before is None:
            return
        run_times = self._context.run_times
        for step, count in zip(job.occurrence(0), before, strict=True):
            if step.done_count > count:
                task_s = run_times.task_s(queue.name, step.key, step.step)
                share = step.step.need.dominant_share(load.capacity)
                load.done_pool_s += (step.done_count - count) * task_s * share

    def _add_open(
        self, load: Load, queue: cell.Queue, job: _state.JobProgress
    ) -> None:
        """Add the waiting tasks of an open job."""
        run_times = self._context.run_times
        job_waiting_pool_s = 0.0
        steps = job.occurrence(0)
        is_competing = not any(
            step.wait_cause in _NOT_COMPETING and step.waiting()
            for step in steps
        )
        for step in steps:
            if step.done:
                continue
            waiting = _waiting_count(step)
            share = step.step.need.dominant_share(load.capacity)
            if waiting and is_competing:
                task_s = run_times.task_s(queue.name, step.key, step.step)
                load.add_waiting(waiting * task_s * share, task_s)
                job_waiting_pool_s += waiting * task_s * share
        if job_waiting_pool_s:
            load.waiting.append((job, queue, job_waiting_pool_s))


def _waiting_count(step: _state.StepProgress) -> int:
    if not step.job.is_under_way:
        return len(step.tasks)
    return len(step.waiting())
