"""Which job leaves the served set first."""

from __future__ import annotations

import collections.abc
import heapq
import typing

from walnutpoint_scheduler.overload import _demand

__all__ = (
    'Leaving',
    'ShareLevels',
)

# An account is above its share from this multiple of the mean level on. With
# many accounts, each with few jobs, smaller differences are those of single
# jobs, and would cost other accounts their jobs in time.
_ABOVE_SHARE: typing.Final = 1.5
# An account without a rate of its own has weight 0.
_WEIGHT_MIN: typing.Final = 0.001

_Key: typing.TypeAlias = tuple[bool, float, str]
_Entry: typing.TypeAlias = tuple[_Key, _demand.JobDemand]


class ShareLevels:
    """What each account gets of a pool, relative to its weight.

    Counts what it used of late, what runs, and the waiting work of its jobs
    in the set, so that a share that an account does not use is left to the
    others.
    """

    __slots__ = ('_pool_s', '_total_pool_s', '_total_weight', '_weights')

    def __init__(
        self,
        used_pool_s: collections.abc.Mapping[str, float],
        weights: collections.abc.Mapping[str, float],
    ) -> None:
        self._weights = weights
        self._pool_s: dict[str, float] = {}
        self._total_pool_s = 0.0
        self._total_weight = 0.0
        for account, pool_s in used_pool_s.items():
            self.add(account, pool_s)

    def add(self, account: str, pool_s: float) -> None:
        """Add work to an account, or remove some."""
        if account not in self._pool_s:
            self._total_weight += self._weight(account)
        self._pool_s[account] = self._pool_s.get(account, 0.0) + pool_s
        self._total_pool_s += pool_s

    def furthest_above(
        self, accounts: collections.abc.Iterable[str]
    ) -> str | None:
        """Return which account is furthest above its share, if any is."""
        highest = max(accounts, key=self._level, default=None)
        if highest is None or self.excess(highest) <= 1.0:
            return None
        return highest

    def excess(self, account: str) -> float:
        """Return by which factor an account is above its share, at least 1."""
        if self._total_pool_s <= 0.0:
            return 1.0
        mean_level = self._total_pool_s / self._total_weight
        return max(1.0, self._level(account) / (_ABOVE_SHARE * mean_level))

    def _level(self, account: str) -> float:
        return self._pool_s.get(account, 0.0) / self._weight(account)

    def _weight(self, account: str) -> float:
        return max(_WEIGHT_MIN, self._weights.get(account, 1.0))


class Leaving:
    """The jobs in the set, in the order in which they would leave.

    Jobs that have not begun leave first, and among them the job that takes
    most of the pool. An account above its share comes before all others.
    """

    __slots__ = ('_by_account', '_left', '_levels', '_members')

    def __init__(self, levels: ShareLevels | None = None) -> None:
        self._levels = levels
        self._members: list[_Entry] = []
        self._by_account: dict[str, list[_Entry]] = {}
        # Jobs that left through another heap.
        self._left: set[str] = set()

    def push(self, demand: _demand.JobDemand) -> None:
        """Add a job to the set."""
        key = demand.is_begun, -demand.work_pool_s, demand.job_id
        heapq.heappush(self._members, (key, demand))
        if self._levels is not None:
            jobs = self._by_account.setdefault(demand.account, [])
            heapq.heappush(jobs, (key, demand))
            self._levels.add(demand.account, demand.waiting_pool_s)

    def pop(self) -> _demand.JobDemand:
        """Remove the job that leaves first."""
        demand = self._pop_above_share() or self._pop_from(self._members)
        self._left.add(demand.job_id)
        if self._levels is not None:
            self._levels.add(demand.account, -demand.waiting_pool_s)
        return demand

    def _pop_above_share(self) -> _demand.JobDemand | None:
        """Remove a job that has not begun, of an account above its share."""
        if self._levels is None:
            return None
        accounts = [
            account
            for account, jobs in self._by_account.items()
            if self._has_unbegun(jobs)
        ]
        account = self._levels.furthest_above(accounts)
        if account is None:
            return None
        return self._pop_from(self._by_account[account])

    def _has_unbegun(self, jobs: list[_Entry]) -> bool:
        self._skip_left(jobs)
        return bool(jobs) and not jobs[0][1].is_begun

    def _pop_from(self, jobs: list[_Entry]) -> _demand.JobDemand:
        self._skip_left(jobs)
        return heapq.heappop(jobs)[1]

    def _skip_left(self, jobs: list[_Entry]) -> None:
        while jobs and jobs[0][1].job_id in self._left:
            heapq.heappop(jobs)
