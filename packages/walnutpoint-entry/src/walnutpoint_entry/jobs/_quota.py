"""Shares of the teams' quotas, which every process computes alike.

All processes hold the same configuration. How many tasks of each job fall
within its team's quota is a function of it alone, so that the owners of a
team's jobs together keep to the quota without asking each other. Services
come first, then gangs, each whole or not at all, then batch jobs evenly.
What is beyond may only borrow: it runs in the class that is displaced first,
and only on room that has been idle for a while.

Bounds: within one revision the entitled tasks never exceed the quota; while
a new revision spreads, both may be in use. A job keeps its share until it
leaves the configuration, so the tail of a job leaves some of it unused.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from walnutpoint_core import documents
from walnutpoint_entry.jobs import _model

__all__ = ('Entitlements', 'entitlements')

_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class _Room:
    """What is left of a quota."""

    cpu_cores: float
    memory_mb: float
    slots: float
    accelerators: float

    def tasks(self, size: documents.Size) -> int:
        """Return how many tasks of a size still fit."""
        fits = [self.slots, self.memory_mb // size.memory_mb]
        fits.append((self.cpu_cores + _ROUNDING) // size.cpu_cores)
        if size.accelerators:
            fits.append(self.accelerators // size.accelerators)
        return max(0, int(min(fits)))

    def take(self, size: documents.Size, count: int) -> None:
        """Use the room of some tasks."""
        self.cpu_cores -= count * size.cpu_cores
        self.memory_mb -= count * size.memory_mb
        self.slots -= count
        self.accelerators -= count * size.accelerators

    def fits(
        self, wanted: collections.abc.Iterable[tuple[documents.Size, int]]
    ) -> bool:
        """Tell whether all of this fits together."""
        rest = dataclasses.replace(self)
        for size, count in wanted:
            rest.take(size, count)
        return (
            min(rest.cpu_cores, rest.memory_mb, rest.slots, rest.accelerators)
            >= -_ROUNDING
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Entitlements:
    """How many tasks of each job fall within its team's quota."""

    revision: int
    counts: collections.abc.Mapping[str, int]
    teams: collections.abc.Mapping[str, documents.Team]

    def tasks(self, key: str) -> int:
        """Return the tasks of a job that need not borrow."""
        return self.counts.get(key, 0)

    def may_borrow(self, team: str) -> bool:
        """Tell whether a team may use more than its quota."""
        return team in self.teams and self.teams[team].may_borrow

    def weight(self, team: str) -> float:
        """Return a team's weight among those that borrow."""
        return self.teams[team].weight if team in self.teams else 1.0


def entitlements(configuration: documents.Configuration) -> Entitlements:
    """Return the shares of all jobs in a configuration."""
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
        counts.update(_shares(teams[team].quota, items))
    return Entitlements(configuration.revision, counts, teams)


def _shares(
    quota: documents.Quota, items: list[_model.JobItem]
) -> dict[str, int]:
    room = _Room(
        quota.cpu_cores, quota.memory_mb, quota.slots, quota.accelerators
    )
    counts = {}
    for item in _of_kind(items, _model.JobKind.SERVICE):
        counts[item.key] = min(item.tasks_count, room.tasks(item.item.size))
        room.take(item.item.size, counts[item.key])
    for item in _of_kind(items, _model.JobKind.GANG):
        fits = room.tasks(item.item.size) >= item.tasks_count
        counts[item.key] = item.tasks_count if fits else 0
        room.take(item.item.size, counts[item.key])
    counts.update(_even(room, _of_kind(items, _model.JobKind.BATCH)))
    return counts


def _of_kind(
    items: list[_model.JobItem], kind: _model.JobKind
) -> list[_model.JobItem]:
    return [item for item in items if item.kind is kind]


def _even(room: _Room, items: list[_model.JobItem]) -> dict[str, int]:
    """Give every job the same number of tasks, as far as it has them."""
    low = 0
    high = max((item.tasks_count for item in items), default=0)
    while low < high:
        middle = (low + high + 1) // 2
        if room.fits(
            (item.item.size, min(item.tasks_count, middle)) for item in items
        ):
            low = middle
        else:
            high = middle - 1
    counts = {item.key: min(item.tasks_count, low) for item in items}
    for item in items:
        room.take(item.item.size, counts[item.key])
    for item in items:
        if counts[item.key] < item.tasks_count and room.tasks(item.item.size):
            counts[item.key] += 1
            room.take(item.item.size, 1)
    return counts
