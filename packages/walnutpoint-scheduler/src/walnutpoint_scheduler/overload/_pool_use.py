"""How much of a pool its work uses, and how much a priority can get."""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import typing

from walnutpoint_core import resources
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


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSample:
    """What a pool has, and the share that its runs book, at one time."""

    capacity: resources.Resources
    booked_share: float


class PoolUse:
    """Averages the use of one pool over some seconds."""

    __slots__ = ('_sampled_s', '_share_by_priority', 'utilization')

    def __init__(self) -> None:
        self._sampled_s: float | None = None
        # None is for lasting work of any priority.
        self._share_by_priority: dict[int | None, float] = {}
        # The share that is booked while work waits.
        self.utilization = _UTILIZATION_FIRST

    def add(
        self,
        booked_share: float,
        share_by_priority: collections.abc.Mapping[int | None, float],
        is_full: bool,
        now_s: float,
    ) -> None:
        """Add a sample, taken while much work waits or not."""
        weight = 1.0
        if self._sampled_s is not None:
            elapsed_s = now_s - self._sampled_s
            weight = 1.0 - math.exp(-elapsed_s / _AVERAGING_S)
        shares = self._share_by_priority
        for priority in {*shares, *share_by_priority}:
            before = shares.get(priority, 0.0)
            share = share_by_priority.get(priority, 0.0)
            shares[priority] = before + weight * (share - before)
        if is_full and self._sampled_s is not None:
            change = weight * (booked_share - self.utilization)
            self.utilization = min(
                max(self.utilization + change, _UTILIZATION_MIN),
                _UTILIZATION_MAX,
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
) -> dict[str, PoolSample]:
    """Return the capacity and the booked share of each pool."""
    sums: dict[str, list[int]] = {}
    for worker in workers:
        if not worker.may_accept_starts and not worker.runs:
            continue
        capacity, booked = worker.listed.capacity, worker.booked
        pool_sum = sums.setdefault(worker.listed.pool, [0] * 6)
        # Sums of numbers, as those of vectors take several times as long.
        pool_sum[0] += capacity.cpu_millicores
        pool_sum[1] += capacity.memory_mb
        pool_sum[2] += capacity.accelerators
        pool_sum[3] += booked.cpu_millicores
        pool_sum[4] += booked.memory_mb
        pool_sum[5] += booked.accelerators
    samples = {}
    for pool, pool_sum in sums.items():
        capacity = resources.Resources(*pool_sum[:3])
        booked = resources.Resources(*pool_sum[3:])
        samples[pool] = PoolSample(capacity, booked.dominant_share(capacity))
    return samples
