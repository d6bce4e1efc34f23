"""Resource vectors of tasks, workers and quotas."""

from __future__ import annotations

import dataclasses
import typing

__all__ = (
    'UNBOUNDED',
    'Resources',
)

# A number of tasks above any.
UNBOUNDED: typing.Final = 2**53


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """A resource vector in integer units, so that sums are exact."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Return the difference."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def scaled(self, count: int) -> Resources:
        """Multiply each resource by a count."""
        return Resources(
            self.cpu_millicores * count,
            self.memory_mb * count,
            self.accelerators * count,
            self.slots * count,
        )

    def elementwise_min(self, other: Resources) -> Resources:
        """Return the minimum of each resource."""
        return Resources(
            min(self.cpu_millicores, other.cpu_millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
            min(self.slots, other.slots),
        )

    def elementwise_max(self, other: Resources) -> Resources:
        """Return the maximum of each resource."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
        )

    def covers(self, demand: Resources) -> bool:
        """Return whether every resource suffices for a demand."""
        return (
            self.slots >= demand.slots
            and self.cpu_millicores >= demand.cpu_millicores
            and self.memory_mb >= demand.memory_mb
            and self.accelerators >= demand.accelerators
        )

    def dominant_share(self, capacity: Resources) -> float:
        """Return the largest share that any resource takes of a capacity.

        A worker is as full as its scarcest resource: without a free
        accelerator it is full, however many of its cores are idle.
        """
        return max(
            self.cpu_millicores / max(1, capacity.cpu_millicores),
            self.memory_mb / max(1, capacity.memory_mb),
            self.accelerators / max(1, capacity.accelerators),
        )

    def fit_count(self, demand: Resources) -> int:
        """Return how many copies of a demand fit.

        UNBOUNDED for a demand of nothing, which fits any number of times
        unless some resource is overbooked.
        """
        if not self.covers(demand):
            return 0
        available = (
            (self.slots, demand.slots),
            (self.cpu_millicores, demand.cpu_millicores),
            (self.memory_mb, demand.memory_mb),
            (self.accelerators, demand.accelerators),
        )
        counts = [amount // asked for amount, asked in available if asked]
        return min(counts, default=UNBOUNDED)
