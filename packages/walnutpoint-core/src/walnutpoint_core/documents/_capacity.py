"""The capacity of the hosts, and checks whether jobs can ever run."""

from __future__ import annotations

import dataclasses

from walnutpoint_core.documents import _schema

__all__ = ('HostCapacity', 'HostShape')


@dataclasses.dataclass(frozen=True, slots=True)
class HostShape:
    """A shape of host, and the number of such hosts in the cell."""

    cpu_cores: float
    memory_mb: int
    accelerators: int
    slots: int
    count: int

    def tasks_max(self, size: _schema.Size) -> int:
        """Return how many tasks of a size fit on one such host."""
        counts = [
            self.slots,
            int(self.cpu_cores / size.cpu_cores + 1e-9),
            self.memory_mb // size.memory_mb,
        ]
        if size.accelerators:
            counts.append(self.accelerators // size.accelerators)
        return min(counts)


@dataclasses.dataclass(frozen=True, slots=True)
class HostCapacity:
    """The host shapes of the cell and its number of failure domains."""

    shapes: tuple[HostShape, ...]
    domains: int

    def size_rejection(self, size: _schema.Size) -> str:
        """Return why a task fits on no host, or an empty text."""
        if any(shape.tasks_max(size) for shape in self.shapes):
            return ''
        for name in ('cpu_cores', 'memory_mb', 'accelerators'):
            maximum = max(
                (getattr(shape, name) for shape in self.shapes), default=0
            )
            if getattr(size, name) > maximum:
                return f'the largest host has {maximum} {name}'
        return 'no one host has all of this together'

    def gang_rejection(self, size: _schema.Size, tasks: int) -> str:
        """Return why a gang can never fit as a whole, or an empty text."""
        maximum = sum(
            shape.count * shape.tasks_max(size) for shape in self.shapes
        )
        if tasks <= maximum:
            return ''
        return f'the whole cell holds {maximum} such tasks at once'
