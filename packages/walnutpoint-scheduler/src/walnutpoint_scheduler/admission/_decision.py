"""Decides whether a job could still end while its result is useful.

The load pattern: more work is accepted than a pool serves, until the waiting
work of jobs that precede a new one takes longer than the new one's caller has
use for its result. Accepting it would only cost its caller the wait.

Doubt is resolved in favor of the job: jobs that arrive later, more urgent work
and running tasks do not count, and the time since the backlog was measured
counts in full as work done. Jobs ahead that become useless while they wait do
count, as in an overload new arrivals take their place.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler.admission import _size_class
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document

__all__ = (
    'Arrival',
    'Forecast',
    'forecast',
    'measure',
)

_MS_PER_S: typing.Final = 1000.0
# Declared run times are off by up to this factor in either direction.
_ESTIMATE_ERROR: typing.Final = 1.9


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job that a process is about to accept."""

    chain_s: float
    # Time for which it would occupy the whole pool, by the scarcest resource.
    work_pool_s: float
    stretch: float
    allowance_s: float
    # Whether it is within its account's rate.
    is_owed: bool

    @property
    def useful_s(self) -> float:
        """Return for how long its result is useful.

        By the declared chain, as the scheduler ranks it by that.
        """
        objective_s = self.chain_s * self.stretch + self.allowance_s
        return cell.USEFUL_FACTOR * objective_s


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """The earliest end of a job, and what it was computed from."""

    # Work of the jobs that precede it, in seconds of the whole pool.
    ahead_pool_s: float
    ahead_jobs: int
    rate: float
    age_s: float
    chain_s: float
    end_s: float
    useful_s: float
    # By when a job like this one could be accepted, without that favor.
    room_s: float
    is_hopeless: bool


def measure(
    job: document.Job, backlog: _messages.PoolBacklog, is_owed: bool
) -> Arrival | None:
    """Return what a job demands, or None for one that is never refused."""
    queue = job.objective_queue
    chain_s = document.chain_s(job.steps)
    if queue is None or chain_s <= 0.0:
        return None
    capacity = resources.Resources(
        backlog.cpu_millicores, backlog.memory_mb, backlog.accelerators
    )
    work_pool_s = sum(
        step.task_count * step.expected_s * step.need.dominant_share(capacity)
        for step in job.steps
    )
    return Arrival(
        chain_s, work_pool_s, queue.stretch, queue.allowance_s, is_owed
    )


def forecast(
    arrival: Arrival, backlog: _messages.PoolBacklog, age_s: float
) -> Forecast:
    """Return the earliest end of a job, with estimates in its favor."""
    preceding = [row for row in backlog.work if _precedes(row, arrival)]
    jobs = sum(row.jobs for row in preceding)
    ahead_pool_s = sum(row.work_pool_ms for row in preceding) / _MS_PER_S
    # The rate is work done by the same estimates, so that an error common to
    # all jobs cancels out. Independent errors cancel out over many jobs.
    error = 1.0 + (_ESTIMATE_ERROR - 1.0) / math.sqrt(max(1, jobs))
    wait_s = max(0.0, ahead_pool_s / error / backlog.rate - age_s)
    end_s = wait_s + arrival.chain_s / _ESTIMATE_ERROR
    room_s = ahead_pool_s / backlog.rate + arrival.chain_s - arrival.useful_s
    return Forecast(
        ahead_pool_s,
        jobs,
        backlog.rate,
        age_s,
        arrival.chain_s,
        end_s,
        arrival.useful_s,
        max(0.0, room_s - age_s),
        end_s > arrival.useful_s,
    )


def _precedes(row: _messages.WaitingWork, arrival: Arrival) -> bool:
    """Return whether waiting jobs are certainly served before a new one.

    Jobs within their account's rate precede the others of their priority.
    Among equals, smaller ones do. A larger one does not even if it has begun,
    as long as the new one can be served in time. What is left of a begun job
    is better known, and precedes an equal one.
    """
    if row.is_owed is not arrival.is_owed:
        return row.is_owed
    error = 1.0 if row.is_begun else _ESTIMATE_ERROR
    size_max_s = arrival.work_pool_s / error
    return _size_class.upper_bound_s(row.size_class) <= size_max_s
