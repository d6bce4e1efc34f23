"""Failure detection of the scheduler, damped against flapping."""

from __future__ import annotations

import collections
import enum
import typing

from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _peers

__all__ = (
    'FailureDetector',
    'Reason',
)

# Consecutive probes without an answer before the scheduler counts as silent.
# A paused process answers none; a lost packet is resent within two.
_MISSES_MIN: typing.Final = 2
# A new scheduler first reads all jobs and queries the workers.
_GRACE_PERIOD_S: typing.Final = 0.8
# Long enough for a store that is slow for all hosts.
_STORE_AGE_MAX_S: typing.Final = 1.5
_OWN_STORE_AGE_MAX_S: typing.Final = 0.7
# Each change of scheduler in this time doubles the failures needed.
_CHANGE_WINDOW_S: typing.Final = 10.0
_UNDAMPED_CHANGES: typing.Final = 2
_DOUBLINGS_MAX: typing.Final = 4
# A scheduler that answered another process this recently is alive. Shorter
# than the two probes that timed out.
_WITNESS_AGE_MAX_S: typing.Final = 0.35


class Reason(enum.Enum):
    """Why the scheduler should be replaced."""

    NONE = 'none'
    ABSENT = 'no scheduler is known'
    RELEASED = 'it has stopped as planned'
    OWN_CLAIM = 'the claim is an own one without a term'
    RESTARTED = 'its process was restarted'
    REFUSED = 'its address refuses connections'
    SILENT = 'it does not answer'
    IDLE = 'it does not schedule'
    WITHOUT_STORE = 'it does not reach the store'


class FailureDetector:
    """Counts failed probes and bad answers of the scheduler."""

    __slots__ = (
        '_answers_without_store',
        '_changed_s',
        '_changes_s',
        '_idle_answers',
        '_misses',
        '_refusals',
        '_timer',
    )

    def __init__(self, clock: timer.Timer) -> None:
        self._timer = clock
        self._misses = 0
        self._refusals = 0
        self._idle_answers = 0
        self._answers_without_store = 0
        self._changed_s = clock.now_s()
        self._changes_s: collections.deque[float] = collections.deque()

    @property
    def witness_age_max_s(self) -> float:
        """Return the maximum age of an answer to another process."""
        return _WITNESS_AGE_MAX_S

    @property
    def has_failed_probe(self) -> bool:
        """Return whether the newest probe failed.

        The next one then follows at once and decides.
        """
        return self._misses > 0 or self._refusals > 0

    @property
    def has_timed_out(self) -> bool:
        """Return whether the newest probe timed out."""
        return self._misses > 0

    def note_change(self) -> None:
        """Reset all counts for a new scheduler."""
        self._misses = self._refusals = 0
        self._idle_answers = self._answers_without_store = 0
        self._changed_s = self._timer.now_s()
        self._changes_s.append(self._changed_s)

    def clear_timeouts(self) -> None:
        """Discard timeouts: another process reaches the scheduler."""
        self._misses = 0

    def note_no_response(self, no_response: web.NoResponse) -> Reason:
        """Count a failed probe; return a reason to replace, if any."""
        if _peers.is_refused(no_response):
            # Nothing listens there: the process is gone. The first refusal
            # may come from a full accept queue, the second does not.
            self._refusals += 1
            if self._refusals >= 2 * self._backoff_factor():
                return Reason.REFUSED
            return Reason.NONE
        self._misses += 1
        if self._misses >= _MISSES_MIN * self._backoff_factor():
            return Reason.SILENT
        return Reason.NONE

    def note_idle(self) -> Reason:
        """Count an answer denying the term; return a reason, if any."""
        self._misses = self._refusals = 0
        self._idle_answers += 1
        if (
            self._is_in_grace()
            or self._idle_answers < _MISSES_MIN * self._backoff_factor()
        ):
            return Reason.NONE
        return Reason.IDLE

    def note_answer(
        self, scheduler_store_age_s: float, own_age_s: float
    ) -> Reason:
        """Count an answer of the scheduler; return a reason, if any."""
        self._misses = self._refusals = self._idle_answers = 0
        is_without_store = (
            scheduler_store_age_s > _STORE_AGE_MAX_S
            and own_age_s < _OWN_STORE_AGE_MAX_S
        )
        self._answers_without_store = (
            self._answers_without_store + 1 if is_without_store else 0
        )
        if (
            self._is_in_grace()
            or self._answers_without_store
            < _MISSES_MIN * self._backoff_factor()
        ):
            return Reason.NONE
        return Reason.WITHOUT_STORE

    def _is_in_grace(self) -> bool:
        return self._timer.now_s() - self._changed_s < _GRACE_PERIOD_S

    def _backoff_factor(self) -> int:
        now_s = self._timer.now_s()
        while (
            self._changes_s and now_s - self._changes_s[0] > _CHANGE_WINDOW_S
        ):
            self._changes_s.popleft()
        damped = max(0, len(self._changes_s) - _UNDAMPED_CHANGES)
        return 1 << min(damped, _DOUBLINGS_MAX)
