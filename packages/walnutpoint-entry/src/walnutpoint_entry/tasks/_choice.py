"""Policies that rank workers for a task."""

from __future__ import annotations

import collections
import dataclasses
import typing

from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _resources

__all__ = (
    'BestFit',
    'Candidate',
    'RankingPolicy',
    'SiblingCounts',
    'SpreadDomains',
    'policy_for',
)


class Candidate(typing.Protocol):
    """A worker on which a task fits."""

    @property
    def worker(self) -> str:
        """Return the worker's name."""

    @property
    def domain(self) -> str:
        """Return the worker's failure domain."""

    @property
    def capacity(self) -> _resources.Resources:
        """Return the worker's total resources."""

    @property
    def free(self) -> _resources.Resources:
        """Return the worker's free resources."""


@dataclasses.dataclass(slots=True)
class SiblingCounts:
    """Count a job's tasks by failure domain and worker."""

    by_domain: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    by_worker: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, worker: str, domain: str) -> None:
        """Count one task."""
        self.by_worker[worker] += 1
        self.by_domain[domain] += 1


class RankingPolicy(typing.Protocol):
    """Rank the workers on which a task fits."""

    def rank(
        self, candidate: Candidate, siblings: SiblingCounts
    ) -> tuple[float, ...]:
        """Return a rank; the lowest is chosen."""


class BestFit:
    """Prefer the worker with the smallest free share."""

    __slots__ = ()

    def rank(
        self, candidate: Candidate, siblings: SiblingCounts
    ) -> tuple[float, ...]:
        """Return the free share of the worker."""
        return (free_share(candidate),)


class SpreadDomains:
    """Prefer domains, then workers, with the fewest tasks of the job."""

    __slots__ = ()

    def rank(
        self, candidate: Candidate, siblings: SiblingCounts
    ) -> tuple[float, ...]:
        """Return sibling counts of the domain and of the worker."""
        return (
            siblings.by_domain[candidate.domain],
            siblings.by_worker[candidate.worker],
            -free_share(candidate),
        )


def free_share(candidate: Candidate) -> float:
    """Return the sum of the free shares of slots, CPU and memory."""
    free = candidate.free
    capacity = candidate.capacity
    return (
        free.slots / max(capacity.slots, 1)
        + free.cpu_millicores / max(capacity.cpu_millicores, 1)
        + free.memory_mb / max(capacity.memory_mb, 1)
    )


def policy_for(task_class: _model.TaskClass) -> RankingPolicy:
    """Return the ranking policy of a task class."""
    if task_class is _model.TaskClass.SERVICE:
        return _SPREAD
    return _PACK


_PACK: typing.Final = BestFit()
_SPREAD: typing.Final = SpreadDomains()
