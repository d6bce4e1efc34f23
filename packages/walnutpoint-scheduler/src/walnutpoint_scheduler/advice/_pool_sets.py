"""Chooses the working set of each pool from what comes free there."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from walnutpoint_core import logs
from walnutpoint_core import resources
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _limits
from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _release
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler.advice import _startable
from walnutpoint_scheduler.advice import _working_set
from walnutpoint_scheduler import cell

__all__ = (
    'Pool',
    'PoolSets',
    'TICKET_MARGIN_S',
    'TYPICAL_NAMES',
)

_LOG: typing.Final = logs.get_logger('advice')
_LOG_PERIOD_S: typing.Final = 1.0
# Workers that a typical request names.
TYPICAL_NAMES: typing.Final = 50
# What an answer and the start take of a ticket's life.
TICKET_MARGIN_S: typing.Final = 0.15
# An overdue step enters early enough for a request that is lost with its
# host, and the one after it.
_OVERDUE_ANSWERS: typing.Final = 4.0


@dataclasses.dataclass(slots=True)
class Pool:
    """The waiting steps of a pool, and those of them that may request."""

    # The terms of the queue with most demand.
    terms: cell.AdviceTerms
    # Concurrent requests, if it used all hosts.
    limit: int
    waits: list[_working_set.WaitingStep]
    places_max: int
    chosen: _working_set.WorkingSet


class PoolSets:
    """The working sets of a term, which share the hosts by their demand."""

    __slots__ = (
        '_capacities',
        '_context',
        '_logged_s',
        '_releases',
        'pools',
        'stuck',
    )

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._logged_s = float('-inf')
        self._releases = _release.Releases(0.0)
        # What comes free within a ticket's life, by pool and that life.
        self._capacities: dict[tuple[str, float], resources.Resources] = {}
        self.pools: dict[str, Pool] = {}
        # Keys of the steps that can't start anywhere.
        self.stuck: frozenset[str] = frozenset()

    def choose(
        self,
        steps: collections.abc.Sequence[_placement_order.QueuedStep],
        limits: _limits.AccountLimits,
        permits: collections.abc.Callable[[str], bool],
        promoted: collections.abc.Container[str],
        now_s: float,
    ) -> None:
        """Choose the set of each pool from the capacity that comes free."""
        self._releases = _release.Releases(now_s)
        self._capacities.clear()
        self.stuck = frozenset(self._stuck_steps(steps))
        by_pool: dict[str, list[_placement_order.QueuedStep]] = {}
        counts: dict[str, int] = {}
        shares = _startable.AccountShares()
        for queued in steps:
            step = queued.step
            if step.key not in self.stuck:
                by_pool.setdefault(queued.queue.pool, []).append(queued)
                # Other steps of the account may use what a withheld one can't.
                if permits(step.key):
                    counts[step.key] = self._startable_count(
                        step, limits, shares
                    )
        self.pools = {}
        for name, members in by_pool.items():
            waits = []
            demands: dict[cell.AdviceTerms, float] = {}
            for queued in members:
                count = counts.get(queued.step.key, 0)
                wait = self._waiting_step(
                    queued,
                    count,
                    now_s,
                    is_regular=count > 0,
                    is_promoted=queued.step.key in promoted,
                )
                waits.append(wait)
                terms = typing.cast(cell.AdviceTerms, queued.queue.advice)
                demands[terms] = demands.get(terms, 0.0) + wait.demand
            terms = max(demands, key=demands.__getitem__)
            limit = self._context.advice.request_limit(terms) or 1
            # First as if there was no bound on the hosts.
            chosen = self._chosen(waits, terms, max(1, len(waits)))
            self.pools[name] = Pool(terms, limit, waits, len(waits), chosen)
        self._share_hosts()
        if now_s - self._logged_s >= _LOG_PERIOD_S:
            for name, pool in self.pools.items():
                if pool.chosen.is_contested:
                    self._logged_s = now_s
                    self._log(name, pool)

    def _share_hosts(self) -> None:
        """Reduce the sets in proportion if the hosts can't keep up."""
        wanted = {
            name: len(pool.chosen.keys - pool.chosen.overdue_keys)
            for name, pool in self.pools.items()
        }
        load = sum(
            wanted[name] * self._host_share(pool)
            for name, pool in self.pools.items()
        )
        if load <= 1.0:
            return
        for name, pool in self.pools.items():
            pool.places_max = max(1, int(wanted[name] / load))
            pool.chosen = self._chosen(pool.waits, pool.terms, pool.places_max)

    def _host_share(self, pool: Pool) -> float:
        """Return the share of the hosts that keeps tickets for one step."""
        life_s = max(pool.terms.valid_s - TICKET_MARGIN_S, TICKET_MARGIN_S)
        return self._answer_s(pool.terms) / life_s / pool.limit

    def _chosen(
        self,
        waits: list[_working_set.WaitingStep],
        terms: cell.AdviceTerms,
        places_max: int,
    ) -> _working_set.WorkingSet:
        answer_s = self._answer_s(terms)
        return _working_set.choose(
            waits,
            self._context.advice.granted_share(terms),
            places_max,
            self._context.settings.patience_s - _OVERDUE_ANSWERS * answer_s,
            answer_s / max(terms.valid_s, TICKET_MARGIN_S),
        )

    def _stuck_steps(
        self, steps: collections.abc.Iterable[_placement_order.QueuedStep]
    ) -> collections.abc.Iterator[str]:
        """Yield the keys of the steps that no open workers can start."""
        context = self._context
        workers: dict[str, list[_worker.WorkerState]] = {}
        for queued in steps:
            pool = queued.queue.pool
            if pool not in workers:
                workers[pool] = [
                    w
                    for w in context.roster.in_pool(pool)
                    if w.may_accept_starts
                ]
            if _startable.is_stuck(
                queued.step, workers[pool], context.advice.permits
            ):
                yield queued.step.key

    def _startable_count(
        self,
        step: _state.StepProgress,
        limits: _limits.AccountLimits,
        shares: _startable.AccountShares,
    ) -> int:
        """Return how many tasks its account's limit has room for."""
        account = self._context.account_of(step.job)
        name = '' if account is None else account.name
        return shares.take(name, step, limits.startable_tasks(step))

    def _waiting_step(
        self,
        queued: _placement_order.QueuedStep,
        count: int,
        now_s: float,
        *,
        is_regular: bool,
        is_promoted: bool,
    ) -> _working_set.WaitingStep:
        step = queued.step
        terms = typing.cast(cell.AdviceTerms, queued.queue.advice)
        capacity = self._capacity(queued.queue.pool, terms.valid_s)
        since_s = step.idle_since_s
        return _working_set.WaitingStep(
            step.key,
            step.step.need.scaled(count).dominant_share(capacity),
            0.0 if since_s is None else now_s - since_s,
            is_regular,
            is_promoted,
        )

    def _capacity(self, pool: str, within_s: float) -> resources.Resources:
        """Return what of a pool is free or comes free soon."""
        capacity = self._capacities.get((pool, within_s))
        if capacity is None:
            capacity = resources.Resources()
            for worker in self._context.roster.in_pool(pool):
                if worker.may_accept_starts:
                    capacity += self._releases.free_within(worker, within_s)
            self._capacities[(pool, within_s)] = capacity
        return capacity

    def _log(self, name: str, pool: Pool) -> None:
        capacity = self._capacity(name, pool.terms.valid_s)
        advice = self._context.advice
        _LOG.info(
            'advice.working_set',
            pool=name,
            steps=len(pool.waits),
            chosen=len(pool.chosen.keys),
            overdue=len(pool.chosen.overdue_keys),
            in_flight=advice.limited_in_flight,
            hosts=pool.limit,
            places=pool.places_max,
            is_limited_by_budget=pool.chosen.is_limited_by_budget,
            cores_soon=capacity.cpu_millicores // 1000,
            granted_share=round(advice.granted_share(pool.terms), 2),
        )

    def _answer_s(self, terms: cell.AdviceTerms) -> float:
        """Return the time of a typical answer."""
        return self._context.advice.answer_s(terms, TYPICAL_NAMES)
