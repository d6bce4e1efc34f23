"""Estimates of run and wait times, and deadline checks based on them."""

from __future__ import annotations

import collections
import math
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import model

__all__ = ('WaitEstimate',)

_TEAMS_MAX: typing.Final = 1024
_EWMA_WEIGHT: typing.Final = 0.05
_HIGH_DEVIATIONS: typing.Final = 4.0
_SAMPLES_MIN: typing.Final = 20
_TEAM_SAMPLES_MIN: typing.Final = 5
_RATE_TIME_CONSTANT_S: typing.Final = 5.0
_TRIAL_INTERVAL: typing.Final = 16
_RETRY_AFTER_MIN_S: typing.Final = 0.1
_RETRY_AFTER_MAX_S: typing.Final = 30.0

_CheckResult = expression.Result[None, errors.Failure]
_REACHABLE: typing.Final[_CheckResult] = expression.Ok(None)


class _RunTimeStats:
    """Mean and mean deviation (Jacobson 1988) of observed run times."""

    __slots__ = ('count', 'deviation_s', 'mean_s')

    def __init__(self) -> None:
        self.count = 0
        self.mean_s = 0.0
        self.deviation_s = 0.0

    def observe(self, run_s: float) -> None:
        self.count += 1
        weight = max(_EWMA_WEIGHT, 1.0 / self.count)
        error_s = run_s - self.mean_s
        self.mean_s += weight * error_s
        if self.count > 1:
            self.deviation_s += weight * (abs(error_s) - self.deviation_s)

    @property
    def high_s(self) -> float:
        return self.mean_s + _HIGH_DEVIATIONS * self.deviation_s


class _ServiceRate:
    """Completions per second, exponentially weighted by age."""

    __slots__ = ('_completions', '_last_s', '_span_s')

    def __init__(self) -> None:
        self._completions = 0.0
        self._span_s = 0.0
        self._last_s: float | None = None

    def observe(self, now_s: float) -> None:
        if self._last_s is not None:
            span_s = max(0.0, now_s - self._last_s)
            decay = math.exp(-span_s / _RATE_TIME_CONSTANT_S)
            self._completions = self._completions * decay + 1.0
            self._span_s = self._span_s * decay + span_s
        self._last_s = now_s

    @property
    def per_s(self) -> float:
        if self._span_s <= 0.0:
            return 0.0
        return self._completions / self._span_s


class WaitEstimate:
    """Estimate run times and waits, and check deadlines against them."""

    __slots__ = ('_overall', '_rate', '_run_time_refusals', '_teams')

    def __init__(self) -> None:
        """Start without observations."""
        self._overall = _RunTimeStats()
        self._teams: collections.OrderedDict[
            str, dict[model.WorkClass, _RunTimeStats]
        ] = collections.OrderedDict()
        self._rate = _ServiceRate()
        self._run_time_refusals = 0

    def observe(
        self, team: str, work_class: model.WorkClass, run_s: float
    ) -> None:
        """Record the run time of a completed request."""
        self._overall.observe(run_s)
        classes = self._teams.setdefault(team, {})
        self._teams.move_to_end(team)
        if len(self._teams) > _TEAMS_MAX:
            self._teams.popitem(last=False)
        classes.setdefault(work_class, _RunTimeStats()).observe(run_s)

    def observe_completion(self, now_s: float) -> None:
        """Record that a request has left its slot."""
        self._rate.observe(now_s)

    @property
    def team_count(self) -> int:
        """Return how many teams have run time statistics."""
        return len(self._teams)

    def expected_run_s(self, team: str, work_class: model.WorkClass) -> float:
        """Return the mean run time, zero without observations."""
        return self._run_time_stats(team, work_class).mean_s

    def high_run_s(self, team: str, work_class: model.WorkClass) -> float:
        """Return the upper estimate of the run time."""
        return self._run_time_stats(team, work_class).high_s

    def wait_s(self, ahead: int, slots: int) -> float:
        """Estimate the time until the requests ahead have completed."""
        estimates_s = []
        if slots > 0:
            estimates_s.append(ahead * self._overall.mean_s / slots)
        if self._rate.per_s > 0.0:
            estimates_s.append(ahead / self._rate.per_s)
        # After a quiet period the service rate reflects the low load, not
        # the capacity, and would refuse the first burst: use the minimum.
        return min(estimates_s, default=0.0)

    def check_deadline(
        self, request: model.Request, now_s: float, ahead: int, slots: int
    ) -> _CheckResult:
        """Refuse a request that is not expected to meet its deadline."""
        if self._overall.count < _SAMPLES_MIN:
            return _REACHABLE
        remaining_s = request.deadline_at_s - now_s
        run_s = self.expected_run_s(request.team, request.work_class)
        wait_s = self.wait_s(ahead, slots)
        if wait_s + run_s <= remaining_s:
            return _REACHABLE
        if run_s > remaining_s and self._is_trial():
            return _REACHABLE
        return expression.Error(
            errors.Failure(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                f'about {wait_s:.2f} s to wait and {run_s:.2f} s to run',
                _retry_after_s(wait_s + run_s - remaining_s),
            )
        )

    def _run_time_stats(
        self, team: str, work_class: model.WorkClass
    ) -> _RunTimeStats:
        team_stats = self._teams.get(team, {}).get(work_class)
        if team_stats is None or team_stats.count < _TEAM_SAMPLES_MIN:
            return self._overall
        return team_stats

    def _is_trial(self) -> bool:
        """Admit every nth request whose run time alone is too long."""
        # Run times observed during a slowdown could refuse every request of
        # a team; none would run and correct the mean. The admitted trials
        # provide new run times.
        self._run_time_refusals += 1
        return self._run_time_refusals % _TRIAL_INTERVAL == 0


def _retry_after_s(excess_s: float) -> float:
    return min(max(excess_s, _RETRY_AFTER_MIN_S), _RETRY_AFTER_MAX_S)
