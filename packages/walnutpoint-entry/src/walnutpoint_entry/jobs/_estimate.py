"""Correction of declared sizes and run times by observed ones.

A family is the jobs whose names differ only by digits. Run times of a family
are corrected by an exponentially weighted geometric mean of the ratios of
observed to declared time. bench/size_estimate.py compares it with the cost
matrix of the RenderFarm paper (Rodrigues, Afonso, Silva; section 2.2): the
matrix is better only where the ratio depends on the size, and worse
elsewhere, since each measurement replaces the previous ones.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import math
import typing

from walnutpoint_core import documents
from walnutpoint_entry.jobs import _progress

__all__ = ('SizeEstimator',)

FAMILIES_MAX: typing.Final = 4096
_MEAN_WEIGHT_MIN: typing.Final = 0.1
_OBSERVED_MIN_S: typing.Final = 0.001
_RATIO_MAX: typing.Final = 1000.0
# A single task may be an outlier, so sizes change only after several. Only
# CPU is shrunk: exceeding it slows a task, exceeding memory kills it.
_OBSERVATIONS_MIN: typing.Final = 5
_CPU_HEADROOM_FACTOR: typing.Final = 1.2
_GROWTH_FACTOR_MAX: typing.Final = 2.0
_SHRINK_FACTOR_MIN: typing.Final = 0.5


@dataclasses.dataclass(slots=True)
class _FamilyStats:
    count: int = 0
    log_ratio: float = 0.0
    cpu_cores: float = 0.0
    memory_mb: float = 0.0


class SizeEstimator:
    """Estimates run times and sizes per job family."""

    __slots__ = ('_stats_by_family',)

    def __init__(self) -> None:
        self._stats_by_family: collections.OrderedDict[str, _FamilyStats] = (
            collections.OrderedDict()
        )

    def observe_run(
        self, family: str, declared_s: float, observed_s: float
    ) -> None:
        """Record the run time of a finished task."""
        ratio = max(observed_s, _OBSERVED_MIN_S) / declared_s
        ratio = min(max(ratio, 1.0 / _RATIO_MAX), _RATIO_MAX)
        stats = self._stats_of(family)
        stats.count += 1
        weight = max(_MEAN_WEIGHT_MIN, 1.0 / stats.count)
        stats.log_ratio += weight * (math.log(ratio) - stats.log_ratio)

    def observe_usage(
        self, family: str, cpu_cores: float | None, memory_mb: float | None
    ) -> None:
        """Record the peak usage of a task."""
        stats = self._stats_of(family)
        stats.cpu_cores = max(stats.cpu_cores, cpu_cores or 0.0)
        stats.memory_mb = max(stats.memory_mb, float(memory_mb or 0))

    def expected_run_s(self, family: str, declared_s: float) -> float:
        """Return the declared run time, corrected."""
        stats = self._stats_by_family.get(family)
        if stats is None:
            return declared_s
        return declared_s * math.exp(stats.log_ratio)

    def reserved_size(
        self, family: str, declared: documents.Size
    ) -> documents.Size:
        """Return the size to reserve for a task."""
        stats = self._stats_by_family.get(family)
        if stats is None or stats.count < _OBSERVATIONS_MIN:
            return declared
        cpu_cores = declared.cpu_cores
        if stats.cpu_cores > 0.0:
            cpu_cores = min(
                max(
                    stats.cpu_cores * _CPU_HEADROOM_FACTOR,
                    cpu_cores * _SHRINK_FACTOR_MIN,
                ),
                cpu_cores * _GROWTH_FACTOR_MAX,
            )
        memory_mb = min(
            max(stats.memory_mb, declared.memory_mb),
            declared.memory_mb * _GROWTH_FACTOR_MAX,
        )
        return documents.Size(
            cpu_cores, math.ceil(memory_mb), declared.accelerators
        )

    def records(
        self, families: collections.abc.Iterable[str]
    ) -> tuple[_progress.FamilyRecord, ...]:
        """Return the records to store for the given families."""
        return tuple(
            _progress.FamilyRecord(
                name,
                stats.count,
                stats.log_ratio,
                stats.cpu_cores,
                stats.memory_mb,
            )
            for name in sorted(set(families))
            if (stats := self._stats_by_family.get(name)) is not None
        )

    def restore(
        self, records: collections.abc.Iterable[_progress.FamilyRecord]
    ) -> None:
        """Merge the records of an earlier owner."""
        for record in records:
            stats = self._stats_of(record.family)
            stats.cpu_cores = max(stats.cpu_cores, record.cpu_cores)
            stats.memory_mb = max(stats.memory_mb, record.memory_mb)
            if record.count > stats.count:
                stats.count = record.count
                stats.log_ratio = record.log_ratio

    def _stats_of(self, name: str) -> _FamilyStats:
        stats = self._stats_by_family.setdefault(name, _FamilyStats())
        self._stats_by_family.move_to_end(name)
        if len(self._stats_by_family) > FAMILIES_MAX:
            self._stats_by_family.popitem(last=False)
        return stats
