"""Summarizes the waiting jobs of a pool and priority by size."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

from walnutpoint_scheduler import _messages
from walnutpoint_scheduler.admission import _size_class
from walnutpoint_scheduler import overload

__all__ = (
    'WaitingJob',
    'summarize',
)

_MS_PER_S: typing.Final = 1000.0
# Bounds the message; the smallest classes are merged into a larger one, which
# is in favor of new jobs.
_CLASSES_MAX: typing.Final = 8


# Whether jobs are within their account's rate, and begun.
_Group = tuple[bool, bool]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingJob:
    """An open job, and its work that has not started."""

    demand: overload.JobDemand
    waiting_pool_s: float


def summarize(
    jobs: collections.abc.Iterable[WaitingJob],
    now_ms: float,
    owed_first: bool = True,
) -> tuple[_messages.WaitingWork, ...]:
    """Return the work of the jobs that can still end usefully.

    Unless owed work goes first, all of it counts as owed.
    """
    work: dict[_Group, collections.Counter[int]] = {}
    counts: dict[_Group, collections.Counter[int]] = {}
    for job in jobs:
        demand = job.demand
        if now_ms + demand.chain_s * _MS_PER_S > demand.useful_until_ms:
            continue
        group = demand.is_owed or not owed_first, demand.is_begun
        number = _size_class.size_class(demand.work_pool_s)
        work_ms = round(job.waiting_pool_s * _MS_PER_S)
        work.setdefault(group, collections.Counter())[number] += work_ms
        counts.setdefault(group, collections.Counter())[number] += 1
    return tuple(
        _messages.WaitingWork(*group, number, count, work_ms)
        for group in work
        for number, count, work_ms in _merged(work[group], counts[group])
    )


def _merged(
    work: collections.Counter[int], counts: collections.Counter[int]
) -> collections.abc.Iterator[tuple[int, int, int]]:
    """Return classes with their jobs and work, the smallest ones merged."""
    numbers = sorted(work)
    first = max(0, len(numbers) - _CLASSES_MAX)
    merged = numbers[: first + 1]
    yield (
        numbers[first],
        sum(counts[number] for number in merged),
        sum(work[number] for number in merged),
    )
    for number in numbers[first + 1 :]:
        yield number, counts[number], work[number]
