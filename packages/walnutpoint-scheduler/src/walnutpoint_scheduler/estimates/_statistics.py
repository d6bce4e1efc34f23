"""Robust statistics of small samples."""

from __future__ import annotations

import collections.abc
import itertools
import math
import statistics
import typing

__all__ = (
    'Split',
    'clipped_mean',
    'shrink',
    'split',
    'weighted_median',
)

# A deviation of this many standard errors is no longer taken for chance.
_SIGNIFICANT: typing.Final = 3.0
# The median of this many values is no outlier, where these are few in thirty.
_VALUES_MIN: typing.Final = 8


class Split(typing.NamedTuple):
    """The two groups into which sorted values fall apart best."""

    # The number of values in the lower group.
    lower_count: int
    lower: float
    upper: float


def weighted_median(
    pairs: collections.abc.Iterable[tuple[float, float]],
) -> float:
    """Return the median of (value, weight) pairs, or 0 for none."""
    ordered = sorted(pairs)
    half = sum(weight for _, weight in ordered) / 2.0
    total = 0.0
    for value, weight in ordered:
        total += weight
        if total >= half:
            return value
    return 0.0


def clipped_mean(
    values: collections.abc.Collection[float], prior: float, clip: float
) -> float:
    """Return the mean of values, with outliers pulled to the clip.

    The clip surrounds the median of the values. Few values are joined by two
    at the prior, as their median may be an outlier itself.
    """
    few = () if len(values) >= _VALUES_MIN else (prior, prior)
    center = statistics.median((*values, *few))
    low, high = center - clip, center + clip
    return sum(min(max(v, low), high) for v in values) / len(values)


def shrink(
    mean: float,
    count: float,
    prior: float,
    *,
    prior_count: float,
    spread: float,
) -> float:
    """Return a mean pulled towards its prior, which counts as some values.

    The prior counts less the more significantly the mean differs from it: a
    deviation beyond chance is a property of its subject.
    """
    if count <= 0.0:
        return prior
    deviation = mean - prior
    deviations = abs(deviation) * math.sqrt(count) / spread / _SIGNIFICANT
    prior_count /= max(1.0, deviations * deviations)
    return prior + deviation * count / (count + prior_count)


def split(
    ordered: collections.abc.Sequence[float], least: int
) -> Split | None:
    """Split sorted values where the variance between the groups is largest.

    Each group has the least number of values or more, so that a few outliers
    are no group.
    """
    count = len(ordered)
    total = math.fsum(ordered)
    best, best_variance = None, 0.0
    for lower_count, lower_sum in enumerate(
        itertools.accumulate(ordered[: max(0, count - least)]), start=1
    ):
        if lower_count < least:
            continue
        lower = lower_sum / lower_count
        upper = (total - lower_sum) / (count - lower_count)
        variance = lower_count * (count - lower_count) * (upper - lower) ** 2
        if variance > best_variance:
            best, best_variance = Split(lower_count, lower, upper), variance
    return best
