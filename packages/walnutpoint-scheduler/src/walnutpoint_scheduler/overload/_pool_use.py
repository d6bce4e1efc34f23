"""How much of a pool its work uses, and how much a priority can get."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import math
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker

__all__ = (
    'PoolSample',
    'PoolUse',
    'sample_pools',
)

# Time constant of the averages: longer than a burst of urgent jobs of one
# step, shorter than the objective of a batch job.
_AVERAGING_S: typing.Final = 5.0
# Utilization of a full pool before any is observed, and its bounds: gaps that
# are too small for a task remain, and a pool that is idle for want of advice
# must not appear to have no capacity.
_UTILIZATION_FIRST: typing.Final = 0.9
_UTILIZATION_MIN: typing.Final = 0.6
_UTILIZATION_MAX: typing.Final = 0.98
# The least share of a pool that a priority is assumed to get.
_RATE_MIN: typing.Final = 0.05


@dataclasses.dataclass(slots=True)
class PoolSample:
    """What a pool has and what its runs book at one time."""

    capacity: resources.Resources = resources.Resources()
    booked: resources.Resources = resources.Resources()
    # By priority; None is for lasting work of any priority.
    by_priority: dict[int | None, resources.Resources] = dataclasses.field(
        default_factory=dict
    )


class PoolUse:
    """Averages the use of one pool over some seconds."""

    __slots__ = ('_sampled_s', '_share_by_priority', 'utilization')

    def __init__(self) -> None:
        self._sampled_s: float | None = None
        self._share_by_priority: dict[int | None, float] = {}
        # The share that is booked while work waits.
        self.utilization = _UTILIZATION_FIRST

    def add(self, sample: PoolSample, is_full: bool, now_s: float) -> None:
        """Add a sample, taken while much work waits or not."""
        weight = 1.0
        if self._sampled_s is not None:
            elapsed_s = now_s - self._sampled_s
            weight = 1.0 - math.exp(-elapsed_s / _AVERAGING_S)
        shares = self._share_by_priority
        for priority in {*shares, *sample.by_priority}:
            need = sample.by_priority.get(priority, resources.Resources())
            before = shares.get(priority, 0.0)
            share = need.dominant_share(sample.capacity)
            shares[priority] = before + weight * (share - before)
        if is_full and self._sampled_s is not None:
            booked = sample.booked.dominant_share(sample.capacity)
            average = self.utilization + weight * (booked - self.utilization)
            self.utilization = min(
                max(average, _UTILIZATION_MIN), _UTILIZATION_MAX
            )
        self._sampled_s = now_s

    def rate(self, priority: int) -> float:
        """Return the share of the pool that a priority's jobs can get."""
        taken = sum(
            share
            for other, share in self._share_by_priority.items()
            if other is None or other < priority
        )
        return max(_RATE_MIN, self.utilization - taken)


def sample_pools(
    workers: collections.abc.Iterable[_worker.WorkerState],
    priority_of: collections.abc.Callable[[_state.JobProgress], int],
) -> dict[str, PoolSample]:
    """Sum the capacity of each pool and the needs of what runs there."""
    samples: dict[str, PoolSample] = collections.defaultdict(PoolSample)
    # Counts of runs by need are cheaper to sum than the needs.
    counts: collections.Counter[
        tuple[str, int | None, resources.Resources]
    ] = collections.Counter()
    for worker in workers:
        if not worker.may_accept_starts and not worker.runs:
            continue
        pool = worker.listed.pool
        sample = samples[pool]
        sample.capacity += worker.listed.capacity
        sample.booked += worker.booked
        for run in worker.runs.values():
            if run.task is None:
                continue
            step = run.task.step
            priority = None if step.step.lasting else priority_of(step.job)
            counts[pool, priority, run.need] += 1
    for (pool, priority, need), count in counts.items():
        by_priority = samples[pool].by_priority
        used = by_priority.get(priority, resources.Resources())
        by_priority[priority] = used + need.scaled(count)
    return samples
