"""Estimates of run times and waits, and what they say of a deadline."""

from __future__ import annotations

import collections
import math
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import model

__all__ = ('WaitEstimate',)

_TEAMS_MAX: typing.Final = 1024
_MEAN_WEIGHT: typing.Final = 0.05
_DEVIATIONS_HIGH: typing.Final = 4.0
_LEARNT_AFTER: typing.Final = 20
_TEAM_LEARNT_AFTER: typing.Final = 5
_RATE_MEMORY_S: typing.Final = 5.0
_TRIAL_EVERY: typing.Final = 16
_RETRY_AFTER_MIN_S: typing.Final = 0.1
_RETRY_AFTER_MAX_S: typing.Final = 30.0

_Verdict = expression.Result[None, errors.Failure]
_REACHABLE: typing.Final[_Verdict] = expression.Ok(None)


class _RunTime:
    """Mean and mean deviation (Jacobson 1988) of observed run times."""

    __slots__ = ('count', 'deviation_s', 'mean_s')

    def __init__(self) -> None:
        self.count = 0
        self.mean_s = 0.0
        self.deviation_s = 0.0

    def observe(self, run_s: float) -> None:
        self.count += 1
        weight = max(_MEAN_WEIGHT, 1.0 / self.count)
        error_s = run_s - self.mean_s
        self.mean_s += weight * error_s
        if self.count > 1:
            self.deviation_s += weight * (abs(error_s) - self.deviation_s)

    @property
    def high_s(self) -> float:
        return self.mean_s + _DEVIATIONS_HIGH * self.deviation_s


class _ServiceRate:
    """Completions per second, with exponentially fading memory."""

    __slots__ = ('_completions', '_last_s', '_span_s')

    def __init__(self) -> None:
        self._completions = 0.0
        self._span_s = 0.0
        self._last_s: float | None = None

    def observe(self, now_s: float) -> None:
        if self._last_s is not None:
            span_s = max(0.0, now_s - self._last_s)
            kept = math.exp(-span_s / _RATE_MEMORY_S)
            self._completions = self._completions * kept + 1.0
            self._span_s = self._span_s * kept + span_s
        self._last_s = now_s

    @property
    def per_s(self) -> float:
        if self._span_s <= 0.0:
            return 0.0
        return self._completions / self._span_s


class WaitEstimate:
    """Learn run times and the service rate; judge deadlines by them."""

    __slots__ = ('_all', '_rate', '_refused_by_run', '_teams')

    def __init__(self) -> None:
        """Start without knowledge."""
        self._all = _RunTime()
        self._teams: collections.OrderedDict[
            str, dict[model.WorkClass, _RunTime]
        ] = collections.OrderedDict()
        self._rate = _ServiceRate()
        self._refused_by_run = 0

    def observe(
        self, team: str, work_class: model.WorkClass, run_s: float
    ) -> None:
        """Learn from one request that has run."""
        self._all.observe(run_s)
        classes = self._teams.setdefault(team, {})
        self._teams.move_to_end(team)
        if len(self._teams) > _TEAMS_MAX:
            self._teams.popitem(last=False)
        classes.setdefault(work_class, _RunTime()).observe(run_s)

    def observe_service(self, now_s: float) -> None:
        """Learn that one request has left its slot."""
        self._rate.observe(now_s)

    @property
    def team_count(self) -> int:
        """Return how many teams are remembered."""
        return len(self._teams)

    def expected_run_s(self, team: str, work_class: model.WorkClass) -> float:
        """Return the mean run time, zero while nothing is known."""
        return self._run_time(team, work_class).mean_s

    def high_run_s(self, team: str, work_class: model.WorkClass) -> float:
        """Return a run time that few requests exceed."""
        return self._run_time(team, work_class).high_s

    def wait_s(self, ahead: int, slots: int) -> float:
        """Return how long this many take to finish on these slots."""
        estimates_s = []
        if slots > 0:
            estimates_s.append(ahead * self._all.mean_s / slots)
        if self._rate.per_s > 0.0:
            estimates_s.append(ahead / self._rate.per_s)
        # After a calm the rate is low only for want of requests, and would
        # refuse the first burst; the lower estimate errs towards trying.
        return min(estimates_s, default=0.0)

    def verdict(
        self, request: model.Request, now_s: float, ahead: int, slots: int
    ) -> _Verdict:
        """Refuse a request that is not expected to meet its deadline."""
        if self._all.count < _LEARNT_AFTER:
            return _REACHABLE
        left_s = request.deadline_at_s - now_s
        run_s = self.expected_run_s(request.team, request.work_class)
        wait_s = self.wait_s(ahead, slots)
        if wait_s + run_s <= left_s:
            return _REACHABLE
        if run_s > left_s and self._is_trial():
            return _REACHABLE
        return expression.Error(
            errors.Failure(
                errors.ErrorKind.DEADLINE_UNREACHABLE,
                f'about {wait_s:.2f} s to wait and {run_s:.2f} s to run',
                _retry_after_s(wait_s + run_s - left_s),
            )
        )

    def _run_time(self, team: str, work_class: model.WorkClass) -> _RunTime:
        own = self._teams.get(team, {}).get(work_class)
        if own is None or own.count < _TEAM_LEARNT_AFTER:
            return self._all
        return own

    def _is_trial(self) -> bool:
        """Let one in several pass whose run time alone is too long."""
        # Run times learnt in a bad spell would refuse every request of a
        # team, so none would run and correct them: refused for ever. The
        # few let through are run, observed, and bring the mean down.
        self._refused_by_run += 1
        return self._refused_by_run % _TRIAL_EVERY == 0


def _retry_after_s(excess_s: float) -> float:
    return min(max(excess_s, _RETRY_AFTER_MIN_S), _RETRY_AFTER_MAX_S)
