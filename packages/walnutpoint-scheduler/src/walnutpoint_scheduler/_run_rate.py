"""How fast a run progresses, by the clock of its worker."""

from __future__ import annotations

import typing

__all__ = (
    'RunRate',
    'has_clock_stepped',
)

_MS_PER_S: typing.Final = 1000.0
_FULL_PERCENT: typing.Final = 100.0
# Progress is reported in whole percent and reports take some ms, so that less
# progress or a shorter time gives a rate that is off by a quarter.
_PERCENT_MIN: typing.Final = 4.0
_SPAN_MIN_S: typing.Final = 0.15
# After this time with less progress the rate is known to be low: reports come
# at most 0.5 s apart.
_SPAN_LONG_S: typing.Final = 0.4
# From this age and progress on, the start of a run and the rounding of its
# progress change its predicted time by a tenth at most.
_PREDICTION_AGE_S: typing.Final = 0.3
_PREDICTION_PERCENT: typing.Final = 8.0
# The clocks of a worker and the scheduler disagree by more than this between
# two reports only if one was set, or a report was late.
_CLOCK_STEP_S: typing.Final = 1.0


class RunRate:
    """Measures the progress of a run in percent per second.

    The rate is that of the newest interval with enough progress, so that it
    follows a worker that becomes slow.
    """

    __slots__ = (
        '_anchor',
        '_percent',
        '_seen_s',
        'best_per_s',
        'is_counted',
        'per_s',
        'seen_clock_ms',
        'started_clock_ms',
    )

    def __init__(self) -> None:
        # Worker clock at the start, and at the newest report of the run.
        self.started_clock_ms: int | None = None
        self.seen_clock_ms: int | None = None
        # Worker clock and progress from which the next rate is measured.
        self._anchor: tuple[int, float] | None = None
        self._percent = 0.0
        self._seen_s = 0.0
        # The newest and the highest rate; None until known.
        self.per_s: float | None = None
        self.best_per_s: float | None = None
        # Whether the run's evidence was counted.
        self.is_counted = False

    def begin(self, clock_ms: int, now_s: float) -> None:
        """Record the start of the run by its worker's clock."""
        self.started_clock_ms = self.seen_clock_ms = clock_ms
        self._seen_s = now_s
        self._anchor = clock_ms, 0.0

    def update(self, clock_ms: int, percent: float, now_s: float) -> None:
        """Record the progress in a report."""
        has_stepped = self.has_clock_stepped(clock_ms, now_s)
        self.seen_clock_ms = clock_ms
        self._percent, self._seen_s = percent, now_s
        if has_stepped:
            # Any time from before would be off by the step.
            self.started_clock_ms = None
            self._anchor = clock_ms, percent
            return
        if self._anchor is None:
            self._anchor = clock_ms, percent
            return
        since_ms, since_percent = self._anchor
        if percent < since_percent:
            # Reports may overtake each other; a rate of zero or less would
            # have no remaining time.
            self._anchor = clock_ms, percent
            return
        span_s = (clock_ms - since_ms) / _MS_PER_S
        progress = percent - since_percent
        if span_s < _SPAN_MIN_S:
            return
        if progress >= _PERCENT_MIN:
            self.per_s = progress / span_s
            self.best_per_s = max(self.best_per_s or 0.0, self.per_s)
            self._anchor = clock_ms, percent
        elif self.per_s is not None and span_s >= _SPAN_LONG_S:
            # One more percent may be about to be reported.
            self.per_s = min(self.per_s, (progress + 1.0) / span_s)

    def has_clock_stepped(self, clock_ms: int, now_s: float) -> bool:
        """Return whether the worker's clock was set since the last report.

        Not since the anchor: that may be minutes old, and a clock 2% slow
        would count as set.
        """
        if self.seen_clock_ms is None:
            return False
        span_s = (clock_ms - self.seen_clock_ms) / _MS_PER_S
        return has_clock_stepped(span_s, now_s - self._seen_s)

    def reset(self) -> None:
        """Forget the rate: progress does not depend on the worker alone."""
        self._anchor = self.per_s = self.best_per_s = None

    @property
    def predicted_s(self) -> float | None:
        """Return the time of a run from its start, once it is predictable."""
        if self.started_clock_ms is None or self.seen_clock_ms is None:
            return None
        age_s = (self.seen_clock_ms - self.started_clock_ms) / _MS_PER_S
        if age_s < _PREDICTION_AGE_S or self._percent < _PREDICTION_PERCENT:
            return None
        return age_s * _FULL_PERCENT / self._percent

    @property
    def whole_s(self) -> float | None:
        """Return the time of the whole run at its current rate."""
        return None if self.per_s is None else _FULL_PERCENT / self.per_s

    @property
    def left_share(self) -> float:
        """Return the share of the run that remains."""
        return max(0.0, 1.0 - self._percent / _FULL_PERCENT)

    def remaining_s(self, now_s: float) -> float | None:
        """Return the remaining time of the run at its current rate."""
        whole_s = self.whole_s
        if whole_s is None:
            return None
        return max(0.0, whole_s * self.left_share - (now_s - self._seen_s))


def has_clock_stepped(span_s: float, elapsed_s: float) -> bool:
    """Return whether a worker's clock shows another time than elapsed."""
    return abs(span_s - elapsed_s) > _CLOCK_STEP_S
