"""Keeps the served sets of a term, and the standing of each job."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import logs
from walnutpoint_core import resources
from walnutpoint_core import slices
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler.overload import _demand
from walnutpoint_scheduler.overload import _leaving
from walnutpoint_scheduler.overload import _pool_use
from walnutpoint_scheduler.overload import _served_set
from walnutpoint_scheduler.overload import _set_log
from walnutpoint_scheduler.overload import _size_classes
from walnutpoint_scheduler.overload import _standing

if typing.TYPE_CHECKING:
    from walnutpoint_scheduler import _context

__all__ = ('Overload',)

_LOG: typing.Final = logs.get_logger('overload')

# Time between two computations, and in an overload after a job that the last
# one lacks.
_PERIOD_S: typing.Final = 0.25
_NEW_JOB_PERIOD_S: typing.Final = 0.1
# Most of a processor that the computations may take: on a slow host they are
# less frequent.
_COST_SHARE: typing.Final = 0.04
# Bounds how often a lasting fault logs a traceback.
_RETRY_S: typing.Final = 10.0
# Steps and tasks that are read before other work of the process goes on.
_SLICE_TASKS: typing.Final = 5000
# Waiting work that would occupy a whole pool for this long keeps it full.
_FULL_S: typing.Final = 0.5


class _Jobs:
    """What the open jobs demand and use, at one time."""

    __slots__ = (
        'groups',
        'recurring',
        'share_by_account',
        'share_by_priority',
        'weights',
    )

    def __init__(self) -> None:
        self.groups: dict[_set_log.Group, list[_demand.JobDemand]] = {}
        # Jobs with occurrences, and the capacity of their pool.
        self.recurring: list[
            tuple[_set_log.Group, _state.JobProgress, resources.Resources]
        ] = []
        # By pool, and by priority or None for lasting work.
        self.share_by_priority: dict[str, dict[int | None, float]] = {}
        # By pool and priority, and by account.
        self.share_by_account: dict[tuple[str, int], dict[str, float]] = {}
        self.weights: dict[str, float] = {}

    def add_use(self, pool: str, priority: int | None, share: float) -> None:
        """Add the share of a pool that a job's runs book."""
        shares = self.share_by_priority.setdefault(pool, {})
        shares[priority] = shares.get(priority, 0.0) + share

    def add_demand(
        self, group: _set_log.Group, demand: _demand.JobDemand
    ) -> None:
        """Add the demand of a job to its group."""
        self.groups.setdefault(group, []).append(demand)
        key = group.pool, group.priority
        shares = self.share_by_account.setdefault(key, {})
        shares[demand.account] = (
            shares.get(demand.account, 0.0) + demand.running_share
        )

    def waiting_pool_s(self, group: _set_log.Group) -> float:
        """Return the waiting work of a group."""
        return sum(each.waiting_pool_s for each in self.groups.get(group, ()))


class Overload:
    """Decides which open jobs a pool serves while it can't serve all."""

    __slots__ = (
        '_computed_s',
        '_cost_s',
        '_has_new_job',
        '_known',
        '_log',
        '_pool_use',
        '_recent_use',
        '_sizes',
        '_standings',
        '_waiting_pool_s',
    )

    def __init__(self) -> None:
        # May lie in the future, after a fault.
        self._computed_s: float | None = None
        self._forget()

    def _forget(self) -> None:
        """Start afresh, without any job in a set."""
        self._cost_s = 0.0
        self._known: frozenset[str] = frozenset()
        self._has_new_job = False
        self._standings: dict[str, _standing.Standing] = {}
        self._log = _set_log.SetLog()
        self._sizes = _size_classes.SizeClasses()
        self._pool_use: dict[str, _pool_use.PoolUse] = {}
        # By pool and priority.
        self._recent_use: dict[tuple[str, int], accounts.RecentUse] = {}
        # Waiting work by pool, as computed last.
        self._waiting_pool_s: dict[str, float] = {}

    def standing(self, job_id: str) -> _standing.Standing | None:
        """Return a job's standing; None while its pool serves every job."""
        if self._standings and job_id not in self._known:
            self._has_new_job = True
            return _standing.NEW
        return self._standings.get(job_id)

    def is_due(self, now_s: float) -> bool:
        """Return whether the sets have to be computed again."""
        if self._computed_s is None:
            return True
        period_s = _NEW_JOB_PERIOD_S if self._has_new_job else _PERIOD_S
        period_s = max(period_s, self._cost_s / _COST_SHARE)
        return now_s - self._computed_s >= period_s

    async def compute(self, context: _context.Context) -> None:
        """Compute the served set of each pool and priority.

        After an unexpected fault, steps are placed in order of deadline until
        the next attempt: no pass may fail for the sake of an order.
        """
        try:
            await self._compute(context)
        except Exception as error:
            _LOG.exception('overload.failed', error=repr(error))
            self._forget()
            self._computed_s = context.timer.now_s() + _RETRY_S

    async def _compute(self, context: _context.Context) -> None:
        now_s, now_ms = context.timer.now_s(), context.now_ms()
        samples = _pool_use.sample_pools(context.roster.workers.values())
        known = frozenset(context.open_jobs)
        jobs = await self._read_jobs(context, samples, now_s)
        self._observe(samples, jobs, now_s)
        self._record_ends(context, now_ms)
        before, self._standings = self._standings, {}
        policies = context.settings.policies
        overloaded = set()
        # Owed jobs first, as they go ahead of the others.
        for group in sorted(jobs.groups, key=lambda each: not each.is_owed):
            if self._select(jobs, group, policies.fair_shares, now_s, now_ms):
                overloaded.add(group)
        _set_log.log_jobs(before, self._standings, self._sizes.served_share)
        for group, job, capacity in jobs.recurring:
            if group in overloaded:
                # Late occurrences go among the dropped jobs, by work.
                self._standings[job.document.job_id] = _standing.Standing(
                    0,
                    _demand.whole_pool_s(job, capacity),
                    _standing.Place.RECURRING,
                )
        self._known = known
        self._has_new_job = False
        self._computed_s = now_s
        self._cost_s = context.timer.now_s() - now_s

    async def _read_jobs(
        self,
        context: _context.Context,
        samples: collections.abc.Mapping[str, _pool_use.PoolSample],
        now_s: float,
    ) -> _Jobs:
        """Return what the open jobs demand and use."""
        jobs = _Jobs()
        owed_first = context.settings.policies.owed_first
        open_jobs = list(context.open_jobs.values())
        async for job in slices.sliced(
            open_jobs, _SLICE_TASKS, lambda job: job.size
        ):
            if job.state.final:
                continue
            queue, document = context.queue_of(job), job.document
            sample = samples.get(queue.pool)
            if sample is None:
                continue
            is_owed = job.is_owed or not owed_first
            group = _set_log.Group(queue.pool, queue.priority, is_owed)
            if document.lasting or document.occurrence_count:
                share = _demand.running_share(job, sample.capacity)
                priority = None if document.lasting else queue.priority
                jobs.add_use(queue.pool, priority, share)
                if not document.lasting:
                    jobs.recurring.append((group, job, sample.capacity))
                continue
            demand = _demand.demand_of(
                job, queue, sample.capacity, context.run_times, now_s
            )
            jobs.add_demand(group, demand)
            jobs.add_use(queue.pool, queue.priority, demand.running_share)
            account = context.account_of(job)
            if account is not None:
                jobs.weights[account.name] = account.weight
            if not self._sizes.is_open(document.job_id):
                whole_pool_s = _demand.whole_pool_s(job, sample.capacity)
                self._sizes.add(queue.name, demand, whole_pool_s)
        return jobs

    def _observe(
        self,
        samples: collections.abc.Mapping[str, _pool_use.PoolSample],
        jobs: _Jobs,
        now_s: float,
    ) -> None:
        """Update the averages of what priorities and accounts use."""
        for pool, sample in samples.items():
            is_full = self._waiting_pool_s.get(pool, 0.0) > _FULL_S
            use = self._pool_use.setdefault(pool, _pool_use.PoolUse())
            shares = jobs.share_by_priority.get(pool, {})
            use.add(sample.booked_share, shares, is_full, now_s)
        for key in {*self._recent_use, *jobs.share_by_account}:
            recent = self._recent_use.setdefault(key, accounts.RecentUse())
            recent.add(jobs.share_by_account.get(key, {}), now_s)
        self._waiting_pool_s = {}
        for group in jobs.groups:
            waiting_pool_s = self._waiting_pool_s.get(group.pool, 0.0)
            waiting_pool_s += jobs.waiting_pool_s(group)
            self._waiting_pool_s[group.pool] = waiting_pool_s

    def _record_ends(self, context: _context.Context, now_ms: float) -> None:
        """Record which jobs have ended, and compare the size classes."""
        for job_id in self._sizes.open_ids():
            if job_id in context.open_jobs:
                continue
            job = context.jobs.get(job_id)
            if job is not None and job.state is _state.JobState.CANCELLED:
                self._sizes.forget(job_id)
                continue
            is_done = job is not None and job.state is _state.JobState.DONE
            self._sizes.record_end(job_id, is_done, now_ms)
        self._sizes.update(now_ms)

    def _select(
        self,
        jobs: _Jobs,
        group: _set_log.Group,
        fair_shares: bool,
        now_s: float,
        now_ms: float,
    ) -> bool:
        """Select the set of one group, and return whether it overloads."""
        use = self._pool_use[group.pool]
        rate = use.rate(group.priority)
        ahead_pool_s = 0.0
        if not group.is_owed:
            owed_group = group._replace(is_owed=True)
            ahead_pool_s = jobs.waiting_pool_s(owed_group)
        levels = self._levels(jobs, group) if fair_shares else None
        selection = _served_set.select(
            jobs.groups[group],
            rate,
            now_ms,
            ahead_pool_s,
            _leaving.Leaving(levels),
        )
        if selection.is_overloaded:
            self._standings.update(
                _standing.standings(
                    selection, self._sizes.served_share, levels
                )
            )
        self._log.log_set(group, selection, rate, use.utilization, now_s)
        return selection.is_overloaded

    def _levels(
        self, jobs: _Jobs, group: _set_log.Group
    ) -> _leaving.ShareLevels:
        """Return what each account uses and has used of a priority's share."""
        key = group.pool, group.priority
        used_pool_s = self._recent_use[key].pool_s()
        for is_owed in (True, False):
            demands = jobs.groups.get(group._replace(is_owed=is_owed), ())
            for demand in demands:
                used_pool_s[demand.account] = (
                    used_pool_s.get(demand.account, 0.0)
                    + demand.running_pool_s
                )
        return _leaving.ShareLevels(used_pool_s, jobs.weights)
