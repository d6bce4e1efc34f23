"""How far declared run times are off, by queue and step."""

from __future__ import annotations

import bisect
import collections
import math
import statistics
import typing

__all__ = (
    'TaskSizes',
    'factor',
)

# Runs kept per step and per queue, and steps in total. A queue's runs are
# those of some dozen steps, whose errors differ.
_STEP_RUNS_MAX: typing.Final = 48
_QUEUE_RUNS_MAX: typing.Final = 512
_STEPS_MAX: typing.Final = 4096
# A queue's error is used from this many runs on, and fully from the other.
_QUEUE_RUNS_MIN: typing.Final = 8
_QUEUE_RUNS_FULL: typing.Final = 40
# The queue counts as this many runs of a step: the error of a step differs
# from its queue's by 0.37 (factors up to 1.9), and the median of n tasks of
# spread 0.5 from the step's by 0.63 / sqrt(n).
_QUEUE_WEIGHT: typing.Final = 3.0
# Errors below the first bound are not distinguished from none, as the mean
# and the median of log-normal tasks differ by as much; above the second they
# count in full.
_ERROR_IGNORED: typing.Final = 0.15
_ERROR_FULL: typing.Final = 0.3


class _StepSize:
    """The sizes of a step's observed tasks."""

    __slots__ = ('center', 'values')

    def __init__(self) -> None:
        # Sorted logarithms of run time over declared time.
        self.values: list[float] = []
        self.center = 0.0


class TaskSizes:
    """Learns the logarithm of actual over declared run times.

    Values are corrected for the speed of their workers.
    """

    __slots__ = ('_by_queue', '_by_step', '_levels')

    def __init__(self) -> None:
        self._by_step: collections.OrderedDict[str, _StepSize] = (
            collections.OrderedDict()
        )
        self._by_queue: dict[str, collections.deque[float]] = {}
        # Median by queue with its weight, as of the last refresh.
        self._levels: dict[str, tuple[float, float]] = {}

    def add(self, queue: str, step_key: str, value: float) -> None:
        """Record the corrected size of one task."""
        runs = self._by_queue.get(queue)
        if runs is None:
            runs = collections.deque(maxlen=_QUEUE_RUNS_MAX)
            self._by_queue[queue] = runs
        runs.append(value)
        size = self._by_step.get(step_key)
        if size is None:
            size = self._by_step[step_key] = _StepSize()
            while len(self._by_step) > _STEPS_MAX:
                self._by_step.popitem(last=False)
        if len(size.values) >= _STEP_RUNS_MAX:
            return
        bisect.insort(size.values, value)
        size.center = statistics.median(size.values)

    def center(self, queue: str, step_key: str) -> float | None:
        """Return the expected value of a step's tasks, if known."""
        level, weight = self._levels.get(queue, (0.0, 0.0))
        size = self._by_step.get(step_key)
        if size is None:
            return level if weight else None
        count = len(size.values)
        return (level * weight + size.center * count) / (weight + count)

    def refresh(self) -> None:
        """Update the errors of the queues."""
        for queue, runs in self._by_queue.items():
            if len(runs) >= _QUEUE_RUNS_MIN:
                weight = min(1.0, len(runs) / _QUEUE_RUNS_FULL)
                self._levels[queue] = (
                    statistics.median(runs),
                    weight * _QUEUE_WEIGHT,
                )

    def levels(self) -> dict[str, tuple[float, float]]:
        """Return the error of each queue with its weight."""
        return dict(self._levels)

    def restore(self, queue: str, level: float, weight: float) -> None:
        """Set the error of a queue that no run of this term shows."""
        if queue not in self._levels:
            self._levels[queue] = (level, min(weight, _QUEUE_WEIGHT))


def factor(error: float) -> float:
    """Return the factor by which a declared time is corrected."""
    share = (abs(error) - _ERROR_IGNORED) / (_ERROR_FULL - _ERROR_IGNORED)
    return math.exp(error * min(1.0, max(0.0, share)))
