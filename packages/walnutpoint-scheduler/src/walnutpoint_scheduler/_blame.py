"""How likely it is that a task crashes its workers; no input or output.

A worker that is lost takes some eight runs with it, of which one may be the
cause, or none. Each loss is weighed by Bayes' rule: how much likelier is what
was seen if a task crashes its workers than if it does not? A loss that another
run explains, or the loss of a whole rack, says little against its neighbours.
"""

from __future__ import annotations

import collections.abc
import math
import typing

import msgspec

__all__ = (
    'Background',
    'Loss',
    'LostRun',
    'is_guilty',
    'is_suspect',
    'odds',
    'remember',
    'weigh',
)

# One task in a thousand is expected to crash its workers.
_PRIOR_ODDS: typing.Final = 0.001
# From these odds on a task is run apart: of 33 such tasks one is guilty, and
# its next crash would cost as many runs as the others lose by waiting.
_SUSPECT_ODDS: typing.Final = 0.03
# A job is given up at a thousand to one.
_GUILTY_ODDS: typing.Final = 1000.0
# One loss is never enough, and after five the likelier of both is taken:
# each further start costs its neighbours their worker.
_LOSSES_MIN: typing.Final = 2
_LOSSES_MAX: typing.Final = 5
# Nobody knows how long after its start a task crashes a worker: each decade
# between these times is taken to be equally likely.
_SOONEST_S: typing.Final = 0.02
_LATEST_S: typing.Final = 20.0
_DECADES: typing.Final = math.log1p(_LATEST_S / _SOONEST_S)
# Later crashes are possible, if unlikely.
_SURVIVAL_MIN: typing.Final = 0.01
# Losses that lie further back are dropped.
_REMEMBERED_MAX: typing.Final = 8
# What is expected before anything is seen: a worker is lost after a thousand
# seconds. Losses are forgotten by half in two minutes, so that a cell which
# has had trouble is not taken for one that always has.
_EXPECTED_LOSSES: typing.Final = 1.0
_EXPECTED_WORKER_S: typing.Final = 1000.0
_HALF_LIFE_S: typing.Final = 120.0


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """A worker that a task lost, and what that says against the task.

    The weight is the logarithm of a likelihood ratio; zero says nothing.
    """

    worker_id: str
    weight: float
    # How old the run was at most.
    age_s: float

    def __post_init__(self) -> None:
        """Refuse what another writer may have put into a record."""
        if not math.isfinite(self.weight) or not 0 <= self.age_s < math.inf:
            raise ValueError('a loss has a finite weight and age')


class LostRun(typing.NamedTuple):
    """A run on a lost worker: the odds of its task, and its age then."""

    odds: float
    age_min_s: float
    age_max_s: float
    # The rate at which its worker was lost for causes outside of its tasks.
    background: float


class Background:
    """Estimates how often workers are lost that no task crashes."""

    __slots__ = ('_losses', '_now_s', '_worker_s')

    def __init__(self, now_s: float) -> None:
        self._now_s = now_s
        self._losses = 0.0
        self._worker_s = 0.0

    def rate(self) -> float:
        """Return the losses a worker and second."""
        losses = _EXPECTED_LOSSES + self._losses
        return losses / (_EXPECTED_WORKER_S + self._worker_s)

    def observe(self, workers: int, now_s: float) -> None:
        """Take in that some workers were watched since the last call."""
        passed_s = now_s - self._now_s
        kept = 0.5 ** (passed_s / _HALF_LIFE_S)
        self._now_s = now_s
        self._losses *= kept
        self._worker_s = self._worker_s * kept + workers * passed_s

    def add(self, share: float) -> None:
        """Count a loss by the share that no task explains."""
        self._losses += share


def odds(losses: collections.abc.Iterable[Loss]) -> float:
    """Return the odds that a task crashes its workers."""
    return _PRIOR_ODDS * math.exp(sum(loss.weight for loss in losses))


def is_suspect(losses: collections.abc.Sequence[Loss]) -> bool:
    """Return whether a task is to be run apart from others."""
    return bool(losses) and odds(losses) >= _SUSPECT_ODDS


def is_guilty(losses: collections.abc.Sequence[Loss]) -> bool:
    """Return whether a task is to be given up."""
    if len(losses) < _LOSSES_MIN:
        return False
    limit = 1.0 if len(losses) >= _LOSSES_MAX else _GUILTY_ODDS
    return odds(losses) >= limit


def remember(losses: collections.abc.Sequence[Loss], loss: Loss) -> list[Loss]:
    """Return a task's losses with another one, each worker once."""
    kept = [known for known in losses if known.worker_id != loss.worker_id]
    return [*kept, loss][-_REMEMBERED_MAX:]


def weigh(
    runs: collections.abc.Sequence[LostRun],
) -> tuple[list[float], float]:
    """Return each run's weight, and the share that none of them explains."""
    rates = [_crash_rate(run) for run in runs]
    shares = [
        run.odds / (1.0 + run.odds) * rate
        for run, rate in zip(runs, rates, strict=True)
    ]
    explained = sum(shares)
    weights = []
    for run, rate, share in zip(runs, rates, shares, strict=True):
        # Of a task that crashes its workers, either this was its moment, or
        # it would have had it later and another cause was there first.
        others = run.background + max(explained - share, 0.0)
        weights.append(math.log(_survival(run.age_min_s) + rate / others))
    background = max((run.background for run in runs), default=1.0)
    return weights, background / (background + explained)


def _crashed_share(age_s: float) -> float:
    """Return the share of the guilty that have crashed by an age."""
    return min(math.log1p(age_s / _SOONEST_S) / _DECADES, 1.0)


def _survival(age_s: float) -> float:
    return max(1.0 - _crashed_share(age_s), _SURVIVAL_MIN)


def _crash_rate(run: LostRun) -> float:
    """Return the mean rate of crashes within a run's possible ages."""
    span_s = max(run.age_max_s - run.age_min_s, _SOONEST_S)
    latest_s = run.age_min_s + span_s
    # Beyond the latest time the shares are equal; the rate falls on.
    rate = 1.0 / ((latest_s + _SOONEST_S) * _DECADES)
    share = _crashed_share(latest_s) - _crashed_share(run.age_min_s)
    return max(share / span_s, rate * _SURVIVAL_MIN)
