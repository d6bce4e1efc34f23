"""Chooses the jobs that a full pool serves, so that most end in time.

The load pattern is an overload of seconds to minutes: jobs arrive faster than
the pool can serve them. In order of deadline alone, each job reaches its
deadline with part of its work done.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from walnutpoint_scheduler.overload import _demand
from walnutpoint_scheduler.overload import _leaving

__all__ = (
    'Selection',
    'select',
)

_MS_PER_S: typing.Final = 1000.0
# Part of the remaining chain that is kept as a margin: the longest of twenty
# tasks of usual spread runs for twice the mean, and declared times are off.
_CHAIN_MARGIN: typing.Final = 1.0
# Most of the time that an objective permits a job to wait which that margin
# may take; otherwise no job with a tight objective could wait at all.
_SLACK_MARGIN: typing.Final = 0.7
# A queue that drains within this part of the time that most of its jobs can
# wait is no overload: what is late in it is late for other reasons, such as a
# lost worker.
_OVERLOAD_SHARE: typing.Final = 0.5
# Part of the jobs that may be unable to wait that long.
_TIGHT_SHARE: typing.Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """The jobs of one pool and priority by what can be expected of them."""

    # In order of deadline; all are expected to end in time.
    served: tuple[_demand.JobDemand, ...]
    # Left out as the pool can't serve them all in time.
    dropped: tuple[_demand.JobDemand, ...]
    # Late even on an empty pool, but useful.
    late: tuple[_demand.JobDemand, ...]
    # Useless even on an empty pool.
    useless: tuple[_demand.JobDemand, ...]
    # Time until the pool has started the waiting work, of the served jobs and
    # of all.
    served_drain_s: float
    drain_s: float
    is_overloaded: bool


def select(
    demands: collections.abc.Collection[_demand.JobDemand],
    rate: float,
    now_ms: float,
    ahead_pool_s: float = 0.0,
    members: _leaving.Leaving | None = None,
) -> Selection:
    """Choose as many jobs as can end in time (Moore and Hodgson's rule).

    rate is the share of the pool that serves them, and ahead_pool_s the
    waiting work that goes before all of them. members decides which job
    leaves first; by default the one that takes most of the pool.
    """
    members = members or _leaving.Leaving()
    candidates, late, useless = _split(demands, now_ms)
    dropped: set[str] = set()
    waiting_pool_s = ahead_pool_s
    for demand in candidates:
        own_pool_s = demand.waiting_pool_s
        # Nothing delays a job of which all work runs.
        if own_pool_s <= 0.0:
            continue
        # No other job's place would help it.
        if not _ends_in_time(
            demand, (ahead_pool_s + own_pool_s) / rate, now_ms
        ):
            dropped.add(demand.job_id)
            continue
        members.push(demand)
        waiting_pool_s += own_pool_s
        while demand.job_id not in dropped and not _ends_in_time(
            demand, waiting_pool_s / rate, now_ms
        ):
            leaving = members.pop()
            dropped.add(leaving.job_id)
            waiting_pool_s -= leaving.waiting_pool_s
    all_pool_s = ahead_pool_s + sum(each.waiting_pool_s for each in demands)
    return Selection(
        tuple(each for each in candidates if each.job_id not in dropped),
        tuple(each for each in candidates if each.job_id in dropped),
        tuple(late),
        tuple(useless),
        waiting_pool_s / rate,
        all_pool_s / rate,
        bool(dropped or late or useless)
        and all_pool_s / rate
        > _OVERLOAD_SHARE * _permitted_wait_s(candidates or demands),
    )


def _split(
    demands: collections.abc.Iterable[_demand.JobDemand], now_ms: float
) -> tuple[
    list[_demand.JobDemand],
    list[_demand.JobDemand],
    list[_demand.JobDemand],
]:
    """Return those that an empty pool would end in time, late, or useless."""
    in_time, late, useless = [], [], []
    for demand in demands:
        end_ms = now_ms + demand.chain_s * _MS_PER_S
        if end_ms <= demand.deadline_ms:
            in_time.append(demand)
        elif end_ms <= demand.useful_until_ms:
            late.append(demand)
        else:
            useless.append(demand)
    in_time.sort(key=lambda each: (each.deadline_ms, each.job_id))
    return in_time, late, useless


def _ends_in_time(
    demand: _demand.JobDemand, started_after_s: float, now_ms: float
) -> bool:
    """Return whether a job ends in time if its work starts by a time."""
    margin_s = min(
        _CHAIN_MARGIN * demand.chain_s, _SLACK_MARGIN * _slack_s(demand)
    )
    end_s = started_after_s + demand.chain_s + margin_s
    return now_ms + end_s * _MS_PER_S <= demand.deadline_ms


def _slack_s(demand: _demand.JobDemand) -> float:
    """Return how long a job's objective permits it to wait in total."""
    objective_ms = demand.deadline_ms - demand.accepted_ms
    return max(0.0, objective_ms / _MS_PER_S - demand.chain_s)


def _permitted_wait_s(
    demands: collections.abc.Collection[_demand.JobDemand],
) -> float:
    """Return the wait that the objectives of nine in ten jobs permit."""
    slacks_s = sorted(map(_slack_s, demands))
    if not slacks_s:
        return 0.0
    return slacks_s[int(_TIGHT_SHARE * len(slacks_s))]
