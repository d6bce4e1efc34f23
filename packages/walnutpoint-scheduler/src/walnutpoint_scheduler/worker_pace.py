"""Detects workers on which tasks run much slower than expected."""

from __future__ import annotations

import collections.abc
import statistics
import typing

from walnutpoint_scheduler import estimates

__all__ = (
    'RelativePace',
    'WorkerPace',
)

# Progress over a shorter time is too coarse: it is reported in percent, and
# reports and starts take some ms to arrive.
_SPAN_MIN_S: typing.Final = 0.15
# A worker is slow below this share of the estimated pace, or of the pace of
# other tasks of the same step. User estimates are off by a factor of up to
# 1.9, so a healthy worker shows 0.5 or more, a badly disturbed one 0.2.
_SLOW_SHARE: typing.Final = 0.4
# A step's own pace is used from this many of its tasks on.
_PEERS_MIN: typing.Final = 3
# A slower task can't be distinguished from a stalled one.
_PACE_MIN: typing.Final = 0.01
# Estimates of this many jobs are unlikely to be all wrong the same way.
_JOBS_MIN: typing.Final = 2
# How long a worker counts as slow after the last observation. If shorter,
# several urgent tasks at a time would try the empty, still slow worker.
_SLOW_KEPT_S: typing.Final = 8.0
# When batch tasks, which can wait, may try it and update its pace.
_BATCH_RETRY_AFTER_S: typing.Final = 2.0
# A worker becomes slow above the first probability, and stays so above the
# second. Each report is another chance of a false alarm: with 0.5 for both, a
# quarter of the workers of a cell with large tasks counted as slow.
_ENTER_PROBABILITY: typing.Final = 0.7
_STAY_PROBABILITY: typing.Final = 0.5
# The latest paces of this many runs are kept for each worker: a run that has
# been slow from its start is compared with those that ran beside it.
_RECENT_RUNS_MAX: typing.Final = 32
# Bounds of the stored paces, per step and in total.
_STEP_PACES_MAX: typing.Final = 32
_STEPS_MAX: typing.Final = 4096


class RelativePace(typing.NamedTuple):
    """Pace of a task relative to its usual pace."""

    job: str
    pace: float
    # Whether the usual pace is that of its step, not an estimate.
    has_peers: bool


class WorkerPace:
    """Detects slow workers by the progress of their tasks.

    A worker at a fifth of its speed answers and fails nothing, but delays its
    tasks: two in three late short jobs had a task on such a worker, though
    only one worker in fifteen was slow.
    """

    __slots__ = (
        '_recent_paces',
        '_slow_until_s',
        '_step_paces',
        'expected_slowdown',
        'large_share',
    )

    def __init__(self) -> None:
        self._slow_until_s: dict[str, float] = {}
        # Newest last, by run where it is known.
        self._step_paces: dict[str, dict[typing.Hashable, float]] = {}
        # The latest relative pace of each recent run of a worker, and when.
        self._recent_paces: dict[
            str, dict[typing.Hashable, tuple[float, float]]
        ] = {}
        # How much slower than a usual worker one is expected to be; paces are
        # relative to that.
        self.expected_slowdown: collections.abc.Callable[[str], float] = (
            _as_usual
        )
        # The share of large tasks by pool; None where it is not observed.
        self.large_share: collections.abc.Callable[[str], float] | None = None

    def is_long_enough(self, span_s: float) -> bool:
        """Return whether progress over a time span is significant."""
        return span_s >= _SPAN_MIN_S

    def observe(
        self,
        job: str,
        step_key: str,
        pace: float,
        run: typing.Hashable | None = None,
    ) -> RelativePace:
        """Record a task's pace, and return it relative to the usual one.

        The pace is 1 for a task that takes as long as estimated. A known run
        counts once in its step: the last slow task of a step would otherwise
        soon be the usual one.
        """
        usual = self.usual_pace(step_key)
        paces = self._step_paces.pop(step_key, {})
        key = object() if run is None else run
        paces.pop(key, None)
        paces[key] = pace
        if len(paces) > _STEP_PACES_MAX:
            del paces[next(iter(paces))]
        self._step_paces[step_key] = paces
        while len(self._step_paces) > _STEPS_MAX:
            del self._step_paces[next(iter(self._step_paces))]
        if usual is None:
            return RelativePace(job, pace, False)
        return RelativePace(job, pace / usual, True)

    def usual_pace(self, step_key: str) -> float | None:
        """Return the median pace of a step, or None for too few tasks."""
        paces = self._step_paces.get(step_key, {})
        if len(paces) < _PEERS_MIN:
            return None
        return max(statistics.median(paces.values()), _PACE_MIN)

    def update(
        self,
        worker: str,
        relative_paces: typing.Sequence[RelativePace],
        now_s: float,
    ) -> None:
        """Update whether a worker is slow from its tasks' relative paces.

        A job may take several times its estimate: alone on a worker, and
        without peers to compare with, it is no evidence.
        """
        jobs = {relative.job for relative in relative_paces}
        if len(jobs) < _JOBS_MIN and not any(
            s.has_peers for s in relative_paces
        ):
            return
        if (
            statistics.median(relative.pace for relative in relative_paces)
            < _SLOW_SHARE
        ):
            self._slow_until_s[worker] = now_s + _SLOW_KEPT_S
        else:
            self._slow_until_s.pop(worker, None)

    def note(
        self,
        worker: str,
        run: typing.Hashable,
        relative_pace: float,
        now_s: float,
    ) -> None:
        """Keep a run's relative pace as evidence for the worker's others."""
        paces = self._recent_paces.setdefault(worker, {})
        paces.pop(run, None)
        paces[run] = now_s, relative_pace
        if len(paces) > _RECENT_RUNS_MAX:
            del paces[next(iter(paces))]

    def paces_of_others(
        self, worker: str, run: typing.Hashable, since_s: float
    ) -> list[float]:
        """Return the latest relative pace since a time of each other run."""
        return [
            max(pace, _PACE_MIN)
            for other, (at_s, pace) in self._recent_paces.get(
                worker, {}
            ).items()
            if other != run and at_s >= since_s
        ]

    def update_likely(
        self,
        worker: str,
        paces: typing.Sequence[float],
        large_share: float,
        now_s: float,
    ) -> None:
        """Update whether a worker is slow, given the share of large tasks.

        paces are those of all its tasks that show one. A worker that is slow
        stays so on less evidence: otherwise one near the threshold would
        change its state with every report.
        """
        if not paces:
            return
        was_slow = self.is_slow(worker, now_s)
        probability = estimates.probability_disturbed(
            paces, large_share, was_disturbed=was_slow
        )
        bound = _STAY_PROBABILITY if was_slow else _ENTER_PROBABILITY
        if probability >= bound:
            self._slow_until_s[worker] = now_s + _SLOW_KEPT_S
        else:
            self._slow_until_s.pop(worker, None)

    def is_slow(
        self, worker: str, now_s: float, *, is_urgent: bool = True
    ) -> bool:
        """Return whether a worker's tasks ran slowly recently."""
        left_s = self._slow_until_s.get(worker, 0.0) - now_s
        return left_s > (
            0.0 if is_urgent else _SLOW_KEPT_S - _BATCH_RETRY_AFTER_S
        )

    def forget(self, worker: str) -> None:
        """Remove a worker."""
        self._recent_paces.pop(worker, None)
        self._slow_until_s.pop(worker, None)


def _as_usual(_worker: str) -> float:
    """Return the slowdown of a usual worker."""
    return 1.0
