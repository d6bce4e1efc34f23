"""Groups of workers with similar slowdown."""

from __future__ import annotations

import bisect
import collections.abc
import dataclasses
import itertools
import math
import typing

__all__ = (
    'SpeedGroups',
    'find_groups',
)

# Least ratio between the mean slowdowns of two groups. The tightest objective
# is 1.5 times a job's chain, so that a smaller difference makes few jobs late;
# estimates from four runs scatter by a sixth, which alone divides no group.
_RATIO_MIN: typing.Final = 1.3


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedGroups:
    """Groups of similar slowdown, numbered from the quickest."""

    # The mean slowdown of each group, ascending.
    slowdowns: tuple[float, ...]
    # The slowdowns that separate each group from the next.
    bounds: tuple[float, ...]

    def number_of(self, slowdown: float) -> int:
        """Return the group of a worker with a slowdown."""
        return bisect.bisect_right(self.bounds, slowdown)


def find_groups(slowdowns: collections.abc.Iterable[float]) -> SpeedGroups:
    """Divide slowdowns until no two groups differ by a material ratio."""
    logs = sorted(math.log(slowdown) for slowdown in slowdowns if slowdown > 0)
    if not logs:
        return SpeedGroups((1.0,), ())
    groups = _divide(logs)
    return SpeedGroups(
        tuple(math.exp(_mean(group)) for group in groups),
        tuple(
            math.exp((lower[-1] + upper[0]) / 2)
            for lower, upper in itertools.pairwise(groups)
        ),
    )


def _divide(logs: list[float]) -> list[list[float]]:
    """Split sorted values recursively where the parts differ most."""
    index = _best_split(logs)
    lower, upper = logs[:index], logs[index:]
    if not lower or _mean(upper) - _mean(lower) < math.log(_RATIO_MIN):
        return [logs]
    return _divide(lower) + _divide(upper)


def _best_split(logs: list[float]) -> int:
    """Return the split with the least variance within its parts."""
    count, total = len(logs), sum(logs)
    best_index, best_score = 0, 0.0
    lower_sum = 0.0
    for index in range(1, count):
        lower_sum += logs[index - 1]
        difference = (total - lower_sum) / (count - index) - lower_sum / index
        score = difference * difference * index * (count - index)
        if score > best_score:
            best_index, best_score = index, score
    return best_index


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)
