"""Classes of job sizes, each wider than the one below by a fixed ratio."""

from __future__ import annotations

import math
import typing

__all__ = (
    'size_class',
    'upper_bound_s',
)

_MS_PER_S: typing.Final = 1000.0
# Finer than the error of declared run times, so that the classes lose little.
_CLASSES_PER_DOUBLING: typing.Final = 2
_SIZE_MIN_S: typing.Final = 1e-6


def size_class(work_pool_s: float) -> int:
    """Return the class of a job's remaining work."""
    work_ms = max(work_pool_s, _SIZE_MIN_S) * _MS_PER_S
    return math.floor(_CLASSES_PER_DOUBLING * math.log2(work_ms))


def upper_bound_s(number: int) -> float:
    """Return the work that every job of a class is below."""
    try:
        return 2.0 ** ((number + 1) / _CLASSES_PER_DOUBLING) / _MS_PER_S
    except OverflowError:
        return math.inf
