"""Entitlements to team quotas, computed identically by every process.

How many tasks of each job fall within its team's quota is a function of the
configuration only, which all processes have. So the owners of a team's jobs
together keep to the quota without communication. Services come first, then
gangs, each whole or not at all, then batch jobs evenly. Tasks beyond the
quota can only borrow: they run in the class that is displaced first, and
only on capacity that has been idle for a while.

Bounds: within one revision the entitled tasks never exceed the quota; while
a new revision spreads, both may be in use. A job keeps its entitlement until
it is removed from the configuration, so part is unused while a job ends.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from walnutpoint_core import documents
from walnutpoint_entry.jobs import _model

__all__ = ('Entitlements', 'entitlements')

_ROUNDING_TOLERANCE = 1e-9


@dataclasses.dataclass(slots=True)
class _FreeQuota:
    """The unused part of a quota."""

    cpu_cores: float
    memory_mb: float
    slots: float
    accelerators: float

    def tasks(self, size: documents.Size) -> int:
        """Return how many tasks of a size still fit."""
        limits = [self.slots, self.memory_mb // size.memory_mb]
        limits.append((self.cpu_cores + _ROUNDING_TOLERANCE) // size.cpu_cores)
        if size.accelerators:
            limits.append(self.accelerators // size.accelerators)
        return max(0, int(min(limits)))

    def reserve(self, size: documents.Size, count: int) -> None:
        """Subtract the resources of count tasks."""
        self.cpu_cores -= count * size.cpu_cores
        self.memory_mb -= count * size.memory_mb
        self.slots -= count
        self.accelerators -= count * size.accelerators

    def fits(
        self, requests: collections.abc.Iterable[tuple[documents.Size, int]]
    ) -> bool:
        """Return whether all of these tasks fit together."""
        remaining = dataclasses.replace(self)
        for size, count in requests:
            remaining.reserve(size, count)
        return (
            min(
                remaining.cpu_cores,
                remaining.memory_mb,
                remaining.slots,
                remaining.accelerators,
            )
            >= -_ROUNDING_TOLERANCE
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Entitlements:
    """How many tasks of each job fall within its team's quota."""

    revision: int
    counts: collections.abc.Mapping[str, int]
    teams: collections.abc.Mapping[str, documents.Team]

    def tasks(self, key: str) -> int:
        """Return how many tasks of a job are within the quota."""
        return self.counts.get(key, 0)

    def may_borrow(self, team: str) -> bool:
        """Return whether a team may exceed its quota."""
        return team in self.teams and self.teams[team].may_borrow

    def weight(self, team: str) -> float:
        """Return a team's weight among borrowing teams."""
        return self.teams[team].weight if team in self.teams else 1.0


def entitlements(configuration: documents.Configuration) -> Entitlements:
    """Return the entitlements of all jobs in a configuration."""
    by_team: dict[str, list[_model.JobItem]] = collections.defaultdict(list)
    for item in _model.items_of(configuration):
        if not item.is_cancelled:
            by_team[item.team].append(item)
    teams = {
        name: part.team.item for name, part in configuration.teams.items()
    }
    counts: dict[str, int] = {}
    for team, items in by_team.items():
        items.sort(key=lambda item: (item.created, item.name))
        counts.update(_entitled_counts(teams[team].quota, items))
    return Entitlements(configuration.revision, counts, teams)


def _entitled_counts(
    quota: documents.Quota, items: list[_model.JobItem]
) -> dict[str, int]:
    free = _FreeQuota(
        quota.cpu_cores, quota.memory_mb, quota.slots, quota.accelerators
    )
    counts = {}
    for item in _of_kind(items, _model.JobKind.SERVICE):
        counts[item.key] = min(item.tasks_count, free.tasks(item.item.size))
        free.reserve(item.item.size, counts[item.key])
    for item in _of_kind(items, _model.JobKind.GANG):
        fits = free.tasks(item.item.size) >= item.tasks_count
        counts[item.key] = item.tasks_count if fits else 0
        free.reserve(item.item.size, counts[item.key])
    counts.update(_share_evenly(free, _of_kind(items, _model.JobKind.BATCH)))
    return counts


def _of_kind(
    items: list[_model.JobItem], kind: _model.JobKind
) -> list[_model.JobItem]:
    return [item for item in items if item.kind is kind]


def _share_evenly(
    free: _FreeQuota, items: list[_model.JobItem]
) -> dict[str, int]:
    """Give each job the same number of tasks, or all that it has."""
    low = 0
    high = max((item.tasks_count for item in items), default=0)
    while low < high:
        middle = (low + high + 1) // 2
        if free.fits(
            (item.item.size, min(item.tasks_count, middle)) for item in items
        ):
            low = middle
        else:
            high = middle - 1
    counts = {item.key: min(item.tasks_count, low) for item in items}
    for item in items:
        free.reserve(item.item.size, counts[item.key])
    for item in items:
        if counts[item.key] < item.tasks_count and free.tasks(item.item.size):
            counts[item.key] += 1
            free.reserve(item.item.size, 1)
    return counts
