"""Amounts of what tasks take of a worker."""

from __future__ import annotations

import dataclasses

__all__ = ('Amount',)


@dataclasses.dataclass(frozen=True, slots=True)
class Amount:
    """A capacity vector in whole units, which add up without rounding."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: Amount) -> Amount:
        """Return the sum."""
        return Amount(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: Amount) -> Amount:
        """Return the difference."""
        return Amount(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def scaled(self, count: int) -> Amount:
        """Return what some of this amount are together."""
        return Amount(
            self.cpu_millicores * count,
            self.memory_mb * count,
            self.accelerators * count,
            self.slots * count,
        )

    def least(self, other: Amount) -> Amount:
        """Return the smaller of each resource."""
        return Amount(
            min(self.cpu_millicores, other.cpu_millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
            min(self.slots, other.slots),
        )

    def most(self, other: Amount) -> Amount:
        """Return the larger of each resource."""
        return Amount(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
        )

    def covers(self, need: Amount) -> bool:
        """Tell whether this is enough for a need."""
        return (
            self.slots >= need.slots
            and self.cpu_millicores >= need.cpu_millicores
            and self.memory_mb >= need.memory_mb
            and self.accelerators >= need.accelerators
        )

    def largest_share(self, whole: Amount) -> float:
        """Return the share of a whole that is the largest of all resources.

        The resource that binds decides how full a worker is: one whose
        accelerators are taken is full, however many of its cores are idle.
        """
        return max(
            self.cpu_millicores / max(1, whole.cpu_millicores),
            self.memory_mb / max(1, whole.memory_mb),
            self.accelerators / max(1, whole.accelerators),
        )

    def times(self, need: Amount) -> int:
        """Return how many times this is enough for a need."""
        counts = [self.slots // need.slots] if need.slots else []
        if need.cpu_millicores:
            counts.append(self.cpu_millicores // need.cpu_millicores)
        if need.memory_mb:
            counts.append(self.memory_mb // need.memory_mb)
        if need.accelerators:
            counts.append(self.accelerators // need.accelerators)
        return max(0, min(counts, default=0))
