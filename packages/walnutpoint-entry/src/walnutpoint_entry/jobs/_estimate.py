"""Declared sizes and run times, corrected by what was observed.

A family is the jobs whose names differ only by digits. Its run times are
corrected by the geometric mean of observed over declared, which fades.
bench/size_estimate.py weighs it against the cost matrix of the RenderFarm
paper (Rodrigues, Afonso, Silva; section 2.2), with size classes as its cells:
the matrix is better only where the ratio depends on the size, and worse
elsewhere, since its newest measurement replaces all that was known.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import math
import typing

from walnutpoint_core import documents
from walnutpoint_entry.jobs import _progress

__all__ = ('SizeEstimate',)

FAMILIES_MAX: typing.Final = 4096
_WEIGHT: typing.Final = 0.1
_OBSERVED_MIN_S: typing.Final = 0.001
_RATIO_MAX: typing.Final = 1000.0
# One task of a family may be an exception; a size is changed only after a
# few, and shrunk only for what a host shares out without killing anyone.
_LEARNT_AFTER: typing.Final = 5
_HEADROOM: typing.Final = 1.2
_GROWTH_MAX: typing.Final = 2.0
_SHRINK_MAX: typing.Final = 0.5


@dataclasses.dataclass(slots=True)
class _Family:
    count: int = 0
    log_ratio: float = 0.0
    cpu_cores: float = 0.0
    memory_mb: float = 0.0


class SizeEstimate:
    """What was observed of each family of jobs."""

    __slots__ = ('_families',)

    def __init__(self) -> None:
        self._families: collections.OrderedDict[str, _Family] = (
            collections.OrderedDict()
        )

    def observe_run(
        self, family: str, declared_s: float, observed_s: float
    ) -> None:
        """Learn from a task that has finished."""
        ratio = max(observed_s, _OBSERVED_MIN_S) / declared_s
        ratio = min(max(ratio, 1.0 / _RATIO_MAX), _RATIO_MAX)
        known = self._family(family)
        known.count += 1
        weight = max(_WEIGHT, 1.0 / known.count)
        known.log_ratio += weight * (math.log(ratio) - known.log_ratio)

    def observe_use(
        self, family: str, cpu_cores: float | None, memory_mb: float | None
    ) -> None:
        """Learn the most that a running task has used."""
        known = self._family(family)
        known.cpu_cores = max(known.cpu_cores, cpu_cores or 0.0)
        known.memory_mb = max(known.memory_mb, float(memory_mb or 0))

    def run_s(self, family: str, declared_s: float) -> float:
        """Return the run time to expect."""
        known = self._families.get(family)
        if known is None:
            return declared_s
        return declared_s * math.exp(known.log_ratio)

    def size(self, family: str, declared: documents.Size) -> documents.Size:
        """Return the size to reserve for a task."""
        known = self._families.get(family)
        if known is None or known.count < _LEARNT_AFTER:
            return declared
        cpu_cores = declared.cpu_cores
        if known.cpu_cores > 0.0:
            cpu_cores = min(
                max(known.cpu_cores * _HEADROOM, cpu_cores * _SHRINK_MAX),
                cpu_cores * _GROWTH_MAX,
            )
        memory_mb = min(
            max(known.memory_mb, declared.memory_mb),
            declared.memory_mb * _GROWTH_MAX,
        )
        return documents.Size(
            cpu_cores, math.ceil(memory_mb), declared.accelerators
        )

    def records(
        self, families: collections.abc.Iterable[str]
    ) -> tuple[_progress.FamilyRecord, ...]:
        """Return what is known of some families, to be stored."""
        return tuple(
            _progress.FamilyRecord(
                name,
                known.count,
                known.log_ratio,
                known.cpu_cores,
                known.memory_mb,
            )
            for name in sorted(set(families))
            if (known := self._families.get(name)) is not None
        )

    def restore(
        self, records: collections.abc.Iterable[_progress.FamilyRecord]
    ) -> None:
        """Take what an earlier owner observed, where it knew more."""
        for record in records:
            known = self._family(record.family)
            known.cpu_cores = max(known.cpu_cores, record.cpu_cores)
            known.memory_mb = max(known.memory_mb, record.memory_mb)
            if record.count > known.count:
                known.count = record.count
                known.log_ratio = record.log_ratio

    def _family(self, name: str) -> _Family:
        known = self._families.setdefault(name, _Family())
        self._families.move_to_end(name)
        if len(self._families) > FAMILIES_MAX:
            self._families.popitem(last=False)
        return known
