"""Estimates how likely a task crashes its workers; pure functions.

A lost worker takes some eight runs with it, of which one or none is the cause.
Each loss is weighed by Bayes' rule: the likelihood of what was observed if a
task crashes its workers, over that if it does not. A loss that another run
explains, or that of a whole rack, weighs little against the other runs.
"""

from __future__ import annotations

import collections.abc
import math
import statistics
import typing

import msgspec

from walnutpoint_scheduler import _incarnation

__all__ = (
    'BackgroundRate',
    'Loss',
    'LostRun',
    'add_loss',
    'confirm',
    'drop_weight',
    'is_culprit',
    'is_suspect',
    'is_unproven',
    'mark_over',
    'odds',
    'weigh',
)

# Assumes that one task in a thousand crashes its workers.
_PRIOR_ODDS: typing.Final = 0.001
# At these odds a task is isolated: one of 33 such tasks is a culprit, whose
# next crash costs as many runs as the others lose by waiting.
_SUSPECT_ODDS: typing.Final = 0.03
# A job is given up at these odds with this many proven crashes: in a large
# cell, coincidences of any odds occur.
_CULPRIT_ODDS: typing.Final = 1000.0
_PROOFS_MIN: typing.Final = 2
# From five losses on even odds suffice, and five that are known to be over
# need no proof: a task that crashes its workers must not start a sixth time.
_LOSSES_MAX: typing.Final = 5
_MAX_LOSSES_ODDS: typing.Final = 1.0
# The age at which a task crashes a worker is unknown: assumed log-uniform
# between these times.
_CRASH_AGE_MIN_S: typing.Final = 0.02
_CRASH_AGE_MAX_S: typing.Final = 20.0
# Later crashes remain possible with this probability.
_SURVIVAL_MIN: typing.Final = 0.01
# After a first crash, nine in ten culprits crash the next worker at an age
# within this factor of the first.
_REPEAT_AGE_FACTOR: typing.Final = 3.0
_REPEAT_SHARE: typing.Final = 0.9
# Older losses of a task are dropped.
_LOSSES_KEPT_MAX: typing.Final = 8
# Prior of the background rate: one loss per hundred worker-seconds. Losses
# decay by half in two minutes, so that a bad period does not mark a cell.
_EXPECTED_LOSSES: typing.Final = 1.0
_EXPECTED_WORKER_S: typing.Final = 100.0
_HALF_LIFE_S: typing.Final = 120.0


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """A worker lost under a task, and its weight against the task.

    The weight is the logarithm of a likelihood ratio; zero is neutral.
    """

    worker_id: str
    weight: float
    # Least and greatest possible age of the run.
    age_min_s: float
    age_max_s: float
    # Start time of the lost incarnation; zero where unknown.
    born_ms: int = 0
    # Whether the task was suspected before, and newer than all that ran there.
    on_probation: bool = False
    # Whether the incarnation is known to have ended, not only unreachable.
    is_over: bool = False
    # Where the lost incarnation listened; empty where unknown.
    address: str = ''

    @property
    def is_proof(self) -> bool:
        """Return whether the worker crashed with the task on probation."""
        return self.on_probation and self.is_over and self.weight > 0.0

    @property
    def incarnation(self) -> _incarnation.Incarnation:
        """Return the incarnation that was lost."""
        return _incarnation.Incarnation(self.worker_id, self.born_ms)

    def __post_init__(self) -> None:
        """Reject invalid values from a damaged record."""
        is_valid_range = 0.0 <= self.age_min_s <= self.age_max_s < math.inf
        if not is_valid_range or not math.isfinite(self.weight):
            raise ValueError('weight and ages of a loss must be finite')


class LostRun(typing.NamedTuple):
    """A run on a lost worker: its task's earlier losses and its age."""

    losses: collections.abc.Sequence[Loss]
    age_min_s: float
    age_max_s: float
    # Rate of worker losses not caused by tasks, per second.
    background: float


class BackgroundRate:
    """Estimates how often workers are lost for other causes than tasks."""

    __slots__ = ('_losses', '_now_s', '_worker_s')

    def __init__(self, now_s: float) -> None:
        self._now_s = now_s
        self._losses = 0.0
        self._worker_s = 0.0

    def rate(self) -> float:
        """Return the losses per worker and second."""
        losses = _EXPECTED_LOSSES + self._losses
        return losses / (_EXPECTED_WORKER_S + self._worker_s)

    def observe(self, workers: int, now_s: float) -> None:
        """Count the workers observed since the last call."""
        passed_s = now_s - self._now_s
        kept = 0.5 ** (passed_s / _HALF_LIFE_S)
        self._now_s = now_s
        self._losses *= kept
        self._worker_s = self._worker_s * kept + workers * passed_s

    def add(self, share: float) -> None:
        """Add the share of a loss that no task explains."""
        self._losses += share


def odds(losses: collections.abc.Iterable[Loss]) -> float:
    """Return the odds that a task crashes its workers."""
    return _PRIOR_ODDS * math.exp(sum(loss.weight for loss in losses))


def is_suspect(losses: collections.abc.Sequence[Loss]) -> bool:
    """Return whether a task must run isolated from others."""
    return bool(losses) and odds(losses) >= _SUSPECT_ODDS


def is_culprit(losses: collections.abc.Sequence[Loss]) -> bool:
    """Return whether a task must be given up.

    Workers that may only be unreachable do not count.
    """
    over = [loss for loss in losses if loss.is_over]
    proofs = sum(loss.is_proof for loss in over)
    has_proof = proofs >= _PROOFS_MIN or len(over) >= _LOSSES_MAX
    return has_proof and _is_likely(over)


def is_unproven(losses: collections.abc.Sequence[Loss]) -> bool:
    """Return whether only the proof is missing to give a task up."""
    return _is_likely(losses) and not is_culprit(losses)


def _is_likely(losses: collections.abc.Sequence[Loss]) -> bool:
    has_max_losses = len(losses) >= _LOSSES_MAX
    return odds(losses) >= (
        _MAX_LOSSES_ODDS if has_max_losses else _CULPRIT_ODDS
    )


def add_loss(losses: collections.abc.Sequence[Loss], loss: Loss) -> list[Loss]:
    """Return a task's losses with one more, each incarnation once."""
    kept = [k for k in losses if k.incarnation != loss.incarnation]
    return [*kept, loss][-_LOSSES_KEPT_MAX:]


def confirm(
    losses: collections.abc.Iterable[Loss],
    successor: _incarnation.Incarnation,
    address: str,
) -> list[Loss]:
    """Return a task's losses, with those over that a successor proves."""
    return [
        msgspec.structs.replace(loss, is_over=True)
        if _has_followed(successor, address, loss)
        else loss
        for loss in losses
    ]


def mark_over(
    losses: collections.abc.Iterable[Loss],
    lost: _incarnation.Incarnation,
) -> list[Loss]:
    """Return a task's losses, with those of one incarnation over."""
    return [
        msgspec.structs.replace(loss, is_over=True)
        if loss.incarnation == lost
        else loss
        for loss in losses
    ]


def _has_followed(
    successor: _incarnation.Incarnation, address: str, loss: Loss
) -> bool:
    """Return whether an incarnation that answers took a lost one's place."""
    if successor.worker_id == loss.worker_id:
        return _incarnation.differ(successor.born_ms, loss.born_ms)
    return bool(address) and address == loss.address


def drop_weight(
    losses: collections.abc.Iterable[Loss],
    lost: _incarnation.Incarnation,
) -> list[Loss]:
    """Return a task's losses, one of which no longer counts against it."""
    return [
        msgspec.structs.replace(loss, weight=min(loss.weight, 0.0))
        if loss.incarnation == lost
        else loss
        for loss in losses
    ]


def weigh(
    runs: collections.abc.Sequence[LostRun],
) -> tuple[list[float], float]:
    """Return each run's weight, and the share of the loss left unexplained."""
    rates = [_crash_rate(run) for run in runs]
    shares = [
        _culprit_probability(run) * rate
        for run, rate in zip(runs, rates, strict=True)
    ]
    explained = sum(shares)
    weights = []
    for run, rate, share in zip(runs, rates, shares, strict=True):
        # If the task is a culprit, it either crashed now or would have
        # crashed later, and another cause came first.
        others = run.background + max(explained - share, 0.0)
        survival = max(1.0 - _crashed_by(run, run.age_min_s), _SURVIVAL_MIN)
        weights.append(math.log(survival + rate / others))
    background = max((run.background for run in runs), default=1.0)
    return weights, background / (background + explained)


def _culprit_probability(run: LostRun) -> float:
    culprit_odds = odds(run.losses)
    return culprit_odds / (1.0 + culprit_odds)


def _crash_rate(run: LostRun) -> float:
    """Return the mean crash rate over a run's possible ages."""
    span_s = max(run.age_max_s - run.age_min_s, _CRASH_AGE_MIN_S)
    latest_s = run.age_min_s + span_s
    share = _crashed_by(run, latest_s) - _crashed_by(run, run.age_min_s)
    # Beyond the maximum age the share is constant, but the rate falls.
    least = _SURVIVAL_MIN / (latest_s + _CRASH_AGE_MIN_S)
    return max(share / span_s, least)


def _crashed_by(run: LostRun, age_s: float) -> float:
    """Return the share of culprits that have crashed by an age."""
    share = _log_uniform_share(0.0, _CRASH_AGE_MAX_S, age_s)
    if not run.losses:
        return share
    # The mean of all losses, as any may have had another cause.
    repeat = statistics.fmean(
        _log_uniform_share(
            loss.age_min_s / _REPEAT_AGE_FACTOR,
            max(loss.age_max_s, _CRASH_AGE_MIN_S) * _REPEAT_AGE_FACTOR,
            age_s,
        )
        for loss in run.losses
    )
    return repeat * _REPEAT_SHARE + share * (1.0 - _REPEAT_SHARE)


def _log_uniform_share(
    soonest_s: float, latest_s: float, age_s: float
) -> float:
    """Return the cumulative log-uniform share of a range by an age."""
    span = math.log(
        (latest_s + _CRASH_AGE_MIN_S) / (soonest_s + _CRASH_AGE_MIN_S)
    )
    passed = math.log(
        (age_s + _CRASH_AGE_MIN_S) / (soonest_s + _CRASH_AGE_MIN_S)
    )
    return min(max(passed / span, 0.0), 1.0)
