"""What one job still demands of its pool."""

from __future__ import annotations

import dataclasses
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _remaining
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import estimates

__all__ = (
    'JobDemand',
    'demand_of',
    'running_share',
    'whole_pool_s',
)

_MS_PER_S: typing.Final = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobDemand:
    """The remaining work of a job and the times that its caller waits for."""

    job_id: str
    account: str
    priority: int
    # Whether it was accepted within its account's rate.
    is_owed: bool
    # Whether a task of it has begun, or its start is on the way.
    is_begun: bool
    accepted_ms: float
    # End of the objective, and of the time within which a late end is useful.
    deadline_ms: float
    useful_until_ms: float
    # Time from now to its end if nothing else ran.
    chain_s: float
    # Time for which it would occupy the whole pool, by the scarcest resource.
    work_pool_s: float
    # The part of that work that runs now.
    running_pool_s: float = 0.0
    # Share of the pool that its runs book now.
    running_share: float = 0.0

    @property
    def waiting_pool_s(self) -> float:
        """Return the part of the work that has to wait for capacity."""
        return self.work_pool_s - self.running_pool_s


def demand_of(
    job: _state.JobProgress,
    queue: cell.Queue,
    pool_capacity: resources.Resources,
    run_times: estimates.RunTimes,
    now_s: float | None = None,
) -> JobDemand:
    """Return what a job without occurrences or lasting steps demands.

    Of running tasks only the remaining time counts, if the time is given.
    The objective is that of the expected run times, as is the remaining
    chain. Where declared times are too short, all jobs would be late by them.
    """
    document = job.document
    ends_s: list[float] = []
    # The same if no task had started, for the objective.
    whole_ends_s: list[float] = []
    work_pool_s, running_pool_s, booked_share = 0.0, 0.0, 0.0
    for step in job.occurrence(0):
        longest_s = 0.0
        task_s = run_times.task_s(queue.name, step.key, step.step)
        if not step.done:
            left = _left_in_step(step, task_s, now_s)
            longest_s = left.longest_s
            share = step.step.need.dominant_share(pool_capacity)
            work_pool_s += (left.waiting_s + left.running_s) * share
            running_pool_s += left.running_s * share
            booked_share += left.running_count * share
        start_s, whole_start_s = 0.0, 0.0
        for earlier in step.step.after:
            start_s = max(start_s, ends_s[earlier])
            whole_start_s = max(whole_start_s, whole_ends_s[earlier])
        ends_s.append(start_s + longest_s)
        whole_ends_s.append(whole_start_s + task_s)
    chain_ms = max(whole_ends_s, default=0.0) * _MS_PER_S
    objective_ms = chain_ms * queue.stretch + queue.allowance_s * _MS_PER_S
    accepted_ms = float(document.accepted_ms)
    return JobDemand(
        document.job_id,
        document.account,
        queue.priority,
        job.is_owed,
        job.is_under_way,
        accepted_ms,
        accepted_ms + objective_ms,
        accepted_ms + cell.USEFUL_FACTOR * objective_ms,
        max(ends_s, default=0.0),
        work_pool_s,
        running_pool_s,
        booked_share,
    )


def running_share(
    job: _state.JobProgress, pool_capacity: resources.Resources
) -> float:
    """Return the share of a pool that a job's runs book."""
    share = 0.0
    for step in job.steps():
        if not step.done:
            count = sum(task.run is not None for task in step.tasks)
            share += count * step.step.need.dominant_share(pool_capacity)
    return share


def whole_pool_s(
    job: _state.JobProgress, pool_capacity: resources.Resources
) -> float:
    """Return the declared work of a job, done or not."""
    return sum(
        step.task_count
        * step.expected_s
        * step.need.dominant_share(pool_capacity)
        for step in job.document.steps
    )


class _StepRest(typing.NamedTuple):
    """Remaining times of a step's tasks: the longest, and sums."""

    longest_s: float
    waiting_s: float
    running_s: float
    running_count: int


def _left_in_step(
    step: _state.StepProgress, task_s: float, now_s: float | None
) -> _StepRest:
    """Return the remaining times of the tasks of a step."""
    unfinished = len(step.tasks) - step.done_count
    if now_s is None or not step.job.is_under_way:
        return _StepRest(task_s, unfinished * task_s, 0.0, 0)
    longest_s, running_s, running_count = 0.0, 0.0, 0
    for task in step.tasks:
        run = task.run
        if run is not None and task.state is not _state.TaskState.DONE:
            left_s = _remaining.run_s(run, task, now_s)
            longest_s = max(longest_s, left_s)
            running_s += left_s
            running_count += 1
    waiting = unfinished - running_count
    if waiting:
        longest_s = max(longest_s, task_s)
    return _StepRest(longest_s, waiting * task_s, running_s, running_count)
