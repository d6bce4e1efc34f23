"""Keeps the served sets of a term, and the rank class of each job."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import estimates
from walnutpoint_scheduler.overload import _demand
from walnutpoint_scheduler.overload import _pool_use
from walnutpoint_scheduler.overload import _served_set

__all__ = (
    'Overload',
    'Place',
    'Standing',
)

_LOG: typing.Final = logs.get_logger('overload')
# Time between two computations, and after a job that the last one lacks.
_PERIOD_S: typing.Final = 0.25
_NEW_JOB_PERIOD_S: typing.Final = 0.1
# Most of a processor that the computations may take: on a slow host they are
# less frequent.
_COST_SHARE: typing.Final = 0.04
_LOG_PERIOD_S: typing.Final = 1.0
# Waiting work that would occupy a whole pool for this long keeps it full.
_FULL_S: typing.Final = 0.5


class Place(enum.Enum):
    """Where a job stands in an overload."""

    SERVED = 'served'
    # Left out of the set.
    DROPPED = 'dropped'
    # Late by its own chain.
    LATE = 'late'
    USELESS = 'useless'


_TIER_BY_PLACE: typing.Final = {
    Place.SERVED: 0,
    Place.DROPPED: 1,
    Place.LATE: 1,
    Place.USELESS: 2,
}


class Standing(typing.NamedTuple):
    """A job's position among the others of its pool and priority."""

    tier: int
    # Within the tier; the lowest goes first.
    order: float
    place: Place


class _Group(typing.NamedTuple):
    """Jobs that compete for the same share of a pool."""

    pool: str
    priority: int
    is_owed: bool


@dataclasses.dataclass(slots=True)
class _GroupLog:
    """What was logged last about a group."""

    logged_s: float
    counts: tuple[int, ...]


class Overload:
    """Decides which open jobs a pool serves while it can't serve all."""

    __slots__ = (
        '_computed_s',
        '_cost_s',
        '_group_logs',
        '_has_new_job',
        '_known',
        '_standings',
        '_waiting_pool_s',
        'pool_use',
    )

    def __init__(self) -> None:
        self._computed_s: float | None = None
        self._cost_s = 0.0
        self._known: frozenset[str] = frozenset()
        self._has_new_job = False
        self._standings: dict[str, Standing] = {}
        self._group_logs: dict[_Group, _GroupLog] = {}
        # Waiting work by pool, as computed last.
        self._waiting_pool_s: dict[str, float] = {}
        self.pool_use: dict[str, _pool_use.PoolUse] = {}

    def standing(self, job_id: str) -> Standing | None:
        """Return a job's standing; None while its pool serves every job."""
        if job_id not in self._known:
            self._has_new_job = True
        return self._standings.get(job_id)

    def is_due(self, now_s: float) -> bool:
        """Return whether the sets have to be computed again."""
        if self._computed_s is None:
            return True
        period_s = _NEW_JOB_PERIOD_S if self._has_new_job else _PERIOD_S
        period_s = max(period_s, self._cost_s / _COST_SHARE)
        return now_s - self._computed_s >= period_s

    def record_cost(self, cost_s: float) -> None:
        """Record how long the last computation took."""
        self._cost_s = cost_s

    def compute(
        self,
        jobs: collections.abc.Sequence[_state.JobProgress],
        workers: collections.abc.Iterable[_worker.WorkerState],
        queue_of: collections.abc.Callable[[_state.JobProgress], cell.Queue],
        run_times: estimates.RunTimes,
        now_s: float,
        now_ms: float,
        owed_first: bool = True,
    ) -> None:
        """Compute the served set of each pool and priority."""
        samples = _pool_use.sample_pools(workers)
        groups: dict[_Group, list[_demand.JobDemand]] = {}
        shares: dict[str, dict[int | None, float]] = {}
        for job in jobs:
            queue, document = queue_of(job), job.document
            sample = samples.get(queue.pool)
            if sample is None:
                continue
            priority = None if document.lasting else queue.priority
            if document.lasting or document.occurrence_count:
                share = _demand.running_share(job, sample.capacity)
            else:
                demand = _demand.demand_of(
                    job, queue, sample.capacity, run_times, now_s
                )
                is_owed = job.is_owed or not owed_first
                group = _Group(queue.pool, queue.priority, is_owed)
                groups.setdefault(group, []).append(demand)
                share = demand.running_share
            pool_shares = shares.setdefault(queue.pool, {})
            pool_shares[priority] = pool_shares.get(priority, 0.0) + share
        self._observe(samples, shares, now_s)
        self._select(groups, now_s, now_ms)
        self._known = frozenset(job.document.job_id for job in jobs)
        self._has_new_job = False
        self._computed_s = now_s

    def _observe(
        self,
        samples: dict[str, _pool_use.PoolSample],
        shares: dict[str, dict[int | None, float]],
        now_s: float,
    ) -> None:
        """Update the average use of each pool."""
        for pool, sample in samples.items():
            is_full = self._waiting_pool_s.get(pool, 0.0) > _FULL_S
            use = self.pool_use.setdefault(pool, _pool_use.PoolUse())
            pool_shares = shares.get(pool, {})
            use.add(sample.booked_share, pool_shares, is_full, now_s)

    def _select(
        self,
        groups: dict[_Group, list[_demand.JobDemand]],
        now_s: float,
        now_ms: float,
    ) -> None:
        """Select the set of each group, and log what has changed."""
        before = self._standings
        self._standings = {}
        self._waiting_pool_s = {}
        # Owed jobs first, as they go ahead of the others.
        for group in sorted(groups, key=lambda each: not each.is_owed):
            demands = groups[group]
            owed_group = group._replace(is_owed=True)
            ahead_pool_s = 0.0
            if owed_group != group:
                ahead_pool_s = _waiting_pool_s(groups.get(owed_group, ()))
            rate = self.pool_use[group.pool].rate(group.priority)
            selection = _served_set.select(demands, rate, now_ms, ahead_pool_s)
            self._waiting_pool_s[group.pool] = self._waiting_pool_s.get(
                group.pool, 0.0
            ) + _waiting_pool_s(demands)
            if selection.is_overloaded:
                self._standings.update(_standings(selection))
            self._log_group(group, selection, rate, now_s)
        _log_jobs(before, self._standings)

    def _log_group(
        self,
        group: _Group,
        selection: _served_set.Selection,
        rate: float,
        now_s: float,
    ) -> None:
        """Log a group's set when it has changed, at most once a second."""
        counts = (
            int(selection.is_overloaded),
            len(selection.served),
            len(selection.dropped),
            len(selection.late),
            len(selection.useless),
        )
        last = self._group_logs.get(group)
        was_overloaded = last is not None and bool(last.counts[0])
        if not selection.is_overloaded and not was_overloaded:
            return
        if last is not None and (
            now_s - last.logged_s < _LOG_PERIOD_S or last.counts == counts
        ):
            return
        self._group_logs[group] = _GroupLog(now_s, counts)
        _LOG.info(
            'overload.set',
            pool=group.pool,
            priority=group.priority,
            owed=group.is_owed,
            overloaded=selection.is_overloaded,
            jobs=sum(counts[1:]),
            served=counts[1],
            dropped=counts[2],
            late=counts[3],
            useless=counts[4],
            rate=round(rate, 3),
            utilization=round(self.pool_use[group.pool].utilization, 3),
            served_drain_s=round(selection.served_drain_s, 2),
            drain_s=round(selection.drain_s, 2),
        )


def _waiting_pool_s(
    demands: collections.abc.Iterable[_demand.JobDemand],
) -> float:
    return sum(demand.waiting_pool_s for demand in demands)


def _standings(
    selection: _served_set.Selection,
) -> collections.abc.Iterator[tuple[str, Standing]]:
    """Return the standing of each job of an overloaded pool.

    Outside the set, the least remaining work goes first. Begun jobs have no
    precedence beyond that, as it would serve large jobs first.
    """
    for demand in selection.served:
        yield _standing(demand, Place.SERVED, demand.deadline_ms)
    for demand in selection.dropped:
        yield _standing(demand, Place.DROPPED, demand.work_pool_s)
    for demand in selection.late:
        yield _standing(demand, Place.LATE, demand.work_pool_s)
    for demand in selection.useless:
        yield _standing(demand, Place.USELESS, demand.work_pool_s)


def _standing(
    demand: _demand.JobDemand, place: Place, order: float
) -> tuple[str, Standing]:
    return demand.job_id, Standing(_TIER_BY_PLACE[place], order, place)


def _log_jobs(before: dict[str, Standing], after: dict[str, Standing]) -> None:
    """Log the jobs that have moved to another place."""
    for job_id, standing in after.items():
        former = before.get(job_id)
        if former is not None and former.place is standing.place:
            continue
        if former is None and standing.place is Place.SERVED:
            continue
        _LOG.info(
            'overload.job',
            job=job_id,
            place=standing.place.value,
            former='-' if former is None else former.place.value,
            order=round(standing.order, 4),
        )
