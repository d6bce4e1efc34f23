"""What the cell's hosts can hold, and why a job can never run on them."""

from __future__ import annotations

import dataclasses

from walnutpoint_core.documents import _schema

__all__ = ('HostCapacity', 'HostShape')


@dataclasses.dataclass(frozen=True, slots=True)
class HostShape:
    """One kind of host, and how many of it the cell has."""

    cpu_cores: float
    memory_mb: int
    accelerators: int
    slots: int
    count: int

    def tasks_max(self, size: _schema.Size) -> int:
        """Return how many tasks of a size one such host can hold."""
        fits = [
            self.slots,
            int(self.cpu_cores / size.cpu_cores + 1e-9),
            self.memory_mb // size.memory_mb,
        ]
        if size.accelerators:
            fits.append(self.accelerators // size.accelerators)
        return min(fits)


@dataclasses.dataclass(frozen=True, slots=True)
class HostCapacity:
    """The kinds of host of the cell, and its number of failure domains."""

    shapes: tuple[HostShape, ...]
    domains: int

    def size_reason(self, size: _schema.Size) -> str:
        """Return why no host can ever hold one task, or nothing."""
        if any(shape.tasks_max(size) for shape in self.shapes):
            return ''
        for name in ('cpu_cores', 'memory_mb', 'accelerators'):
            most = max((getattr(one, name) for one in self.shapes), default=0)
            if getattr(size, name) > most:
                return f'the largest host has {most} {name}'
        return 'no one host has all of this together'

    def gang_reason(self, size: _schema.Size, tasks: int) -> str:
        """Return why all tasks can never run at once, or nothing."""
        most = sum(one.count * one.tasks_max(size) for one in self.shapes)
        if tasks <= most:
            return ''
        return f'the whole cell holds {most} such tasks at once'
