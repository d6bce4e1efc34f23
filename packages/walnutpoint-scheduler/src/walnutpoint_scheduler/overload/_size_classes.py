"""Whether large jobs are served often enough, by queue.

Small jobs go first in an overload, so that large ones might never be served.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import enum
import typing

from walnutpoint_scheduler.overload import _demand

__all__ = ('SizeClasses',)

# Jobs of a queue whose sizes and ends are remembered: at a few jobs a second
# about a minute, and enough for the largest tenth to have some.
_RECENT_MAX: typing.Final = 120
# With fewer jobs their sizes don't tell which are large.
_RECENT_MIN: typing.Final = 20
_LARGEST_SHARE: typing.Final = 0.1
_LARGE_SHARE: typing.Final = 0.3
# Large jobs are served at least this much as often as smaller ones.
_SERVED_AT_LEAST: typing.Final = 0.5
# Part of the time in which a late job is useful after which it counts as not
# served. With a half, large jobs were helped too late to end usefully; at the
# deadline itself, they were served far more often than is due.
_UNSERVED_SHARE: typing.Final = 0.25


class _Size(enum.Enum):
    """The size class of a job within its queue."""

    LARGEST = 'largest'
    LARGE = 'large'
    REST = 'rest'


@dataclasses.dataclass(slots=True)
class _Tracked:
    """An open job whose end is awaited."""

    queue: str
    size: _Size
    unserved_from_ms: float
    useful_until_ms: float


class _QueueSizes:
    """Recent sizes and ends of one queue's jobs."""

    __slots__ = ('ends', 'sizes')

    def __init__(self) -> None:
        self.sizes: collections.deque[float] = collections.deque(
            maxlen=_RECENT_MAX
        )
        # The size class of each ended job, and whether it ended usefully.
        self.ends: collections.deque[tuple[_Size, bool]] = collections.deque(
            maxlen=_RECENT_MAX
        )

    def classify(self, work: float) -> _Size:
        """Return the size class of a job, and remember its size."""
        self.sizes.append(work)
        count = len(self.sizes)
        if count < _RECENT_MIN:
            return _Size.REST
        ordered = sorted(self.sizes)
        # Equal sizes count, as few distinct ones would all be large.
        at_least = (count - bisect.bisect_left(ordered, work)) / count
        if at_least <= _LARGEST_SHARE:
            return _Size.LARGEST
        return _Size.LARGE if at_least <= _LARGE_SHARE else _Size.REST


class SizeClasses:
    """Tracks which share of each size class ends usefully.

    An open job counts as not served some time before the end of its
    usefulness, which would show a neglected class too late.
    """

    __slots__ = ('_open', '_queues', '_starved')

    def __init__(self) -> None:
        self._open: dict[str, _Tracked] = {}
        self._queues: dict[str, _QueueSizes] = {}
        # For classes that are served less than half as often as all smaller
        # jobs, how often that is, relative to the half.
        self._starved: dict[tuple[str, _Size], float] = {}

    def add(
        self, queue: str, demand: _demand.JobDemand, whole_pool_s: float
    ) -> None:
        """Track a job by its whole work, which may have begun."""
        sizes = self._queues.setdefault(queue, _QueueSizes())
        late_ms = demand.useful_until_ms - demand.deadline_ms
        self._open[demand.job_id] = _Tracked(
            queue,
            sizes.classify(whole_pool_s),
            demand.deadline_ms + _UNSERVED_SHARE * late_ms,
            demand.useful_until_ms,
        )

    def is_open(self, job_id: str) -> bool:
        """Return whether a job's end is awaited."""
        return job_id in self._open

    def open_ids(self) -> tuple[str, ...]:
        """Return the jobs whose end is awaited."""
        return tuple(self._open)

    def record_end(self, job_id: str, is_done: bool, now_ms: float) -> None:
        """Record a job's end, useful or not."""
        job = self._open.pop(job_id)
        is_useful = is_done and now_ms <= job.useful_until_ms
        self._queues[job.queue].ends.append((job.size, is_useful))

    def forget(self, job_id: str) -> None:
        """Forget a job whose end tells nothing, such as a cancelled one."""
        del self._open[job_id]

    def served_share(self, job_id: str) -> float:
        """Return how much of what it is due a job's class is served, up to 1.

        It is due half of the share of all smaller jobs.
        """
        job = self._open.get(job_id)
        if job is None:
            return 1.0
        return self._starved.get((job.queue, job.size), 1.0)

    def update(self, now_ms: float) -> None:
        """Compare the classes of each queue."""
        totals: collections.Counter[tuple[str, _Size]] = collections.Counter()
        useful: collections.Counter[tuple[str, _Size]] = collections.Counter()
        for name, queue in self._queues.items():
            for size, is_useful in queue.ends:
                totals[name, size] += 1
                useful[name, size] += is_useful
        for job in self._open.values():
            totals[job.queue, job.size] += now_ms > job.unserved_from_ms
        self._starved.clear()
        for name in self._queues:
            rest = name, _Size.REST
            smaller_total, smaller_useful = totals[rest], useful[rest]
            for size in (_Size.LARGE, _Size.LARGEST):
                key = name, size
                if totals[key] and smaller_total:
                    smaller_share = smaller_useful / smaller_total
                    due_share = _SERVED_AT_LEAST * smaller_share
                    share = useful[key] / totals[key]
                    if share < due_share:
                        self._starved[key] = share / due_share
                smaller_total += totals[key]
                smaller_useful += useful[key]
