"""The probability that a worker is slow now, by the pace of its tasks.

A low pace has two causes: a worker that is disturbed for seconds, and a task
that is much larger than the others of its step. Running the latter again on
another worker gains nothing.
"""

from __future__ import annotations

import collections.abc
import math
import typing

__all__ = ('probability',)

# The probability before a worker's tasks are looked at: one worker in fifteen
# is disturbed at a time, and one that was found disturbed may still be.
_PRIOR: typing.Final = 0.05
# A worker found disturbed may have recovered by the next report or not;
# neither is preferred.
_PRIOR_DISTURBED: typing.Final = 0.5
# A disturbed worker has a fifth of its pace. The spread is a little more than
# that of the tasks, as the disturbances differ as well.
_DISTURBED_LOG: typing.Final = math.log(5.0)
_DISTURBED_SPREAD: typing.Final = 0.6
# Spread of the tasks of a step, and of the large ones, which are seven times
# as large as the others.
_TASK_SPREAD: typing.Final = 0.5
_LARGE_FACTOR: typing.Final = 7.0
_LARGE_LOG: typing.Final = math.log(_LARGE_FACTOR)
# Bounds the weight of one task. A single one may make a worker slow, as odds
# of 0.05 / 0.95 * 60 exceed those of 0.7, but another at its usual pace undoes
# it.
_RATIO_MAX: typing.Final = 60.0


def probability(
    paces: collections.abc.Iterable[float],
    large_share: float,
    *,
    was_disturbed: bool = False,
) -> float:
    """Return the probability that a worker with these paces is disturbed.

    Paces are relative to those of the same steps on healthy workers. Large
    tasks run for longer, so that more of the running ones are large.
    """
    running = large_share * _LARGE_FACTOR
    running /= running + 1.0 - large_share
    prior = _PRIOR_DISTURBED if was_disturbed else _PRIOR
    odds = prior / (1.0 - prior)
    for pace in paces:
        slowness = -math.log(max(pace, 0.01))
        healthy = (1.0 - running) * _density(
            slowness, 0.0, _TASK_SPREAD
        ) + running * _density(slowness, _LARGE_LOG, _TASK_SPREAD)
        disturbed = _density(slowness, _DISTURBED_LOG, _DISTURBED_SPREAD)
        ratio = disturbed / max(healthy, 1e-9)
        odds *= min(_RATIO_MAX, max(1.0 / _RATIO_MAX, ratio))
    return odds / (1.0 + odds)


def _density(value: float, center: float, spread: float) -> float:
    deviation = (value - center) / spread
    return math.exp(-deviation * deviation / 2.0) / spread
