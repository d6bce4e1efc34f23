"""The lease of a worker, on the worker's own clock."""

from __future__ import annotations

import typing

__all__ = (
    'WorkerLease',
    'lapse_s',
)

_MS_PER_S: typing.Final = 1000.0
# A worker's clock may run 2% slow (the platform's bound), and this host's
# clock half a percent.
_CLOCK_RATE_MIN: typing.Final = 0.975
# Time for a worker to kill its runs after the lease expires, and for an order
# in flight.
_KILL_MARGIN_S: typing.Final = 0.25


def lapse_s(duration_s: float) -> float:
    """Return after how long a lease has certainly lapsed."""
    return duration_s / _CLOCK_RATE_MIN + _KILL_MARGIN_S


class WorkerLease:
    """Computes when no run on a worker can still be alive.

    started_s is when this term began; earlier terms granted leases of
    earlier_duration_s, or of the same duration if that is longer.

    A disconnected worker runs on until its lease expires on its own clock.
    Starting its tasks elsewhere before that would run them twice; the lower
    bound of the clock rate makes the wait long enough at any rate.
    """

    __slots__ = (
        '_clock_ms',
        '_clock_read_s',
        '_duration_s',
        '_earlier_grants_end_s',
        '_granted_until_ms',
    )

    def __init__(
        self,
        duration_s: float,
        started_s: float,
        earlier_duration_s: float = 0.0,
    ) -> None:
        self._duration_s = duration_s
        # When leases granted by earlier terms have expired.
        self._earlier_grants_end_s = 0.0
        self.assume_granted(started_s, max(duration_s, earlier_duration_s))
        self._clock_ms: int | None = None
        self._clock_read_s = 0.0
        self._granted_until_ms = 0

    @property
    def is_clock_known(self) -> bool:
        """Return whether a reading of the worker's clock exists."""
        return self._clock_ms is not None

    def assume_granted(self, now_s: float, duration_s: float) -> None:
        """Assume that another scheduler granted a lease just now."""
        self._earlier_grants_end_s = max(
            self._earlier_grants_end_s,
            now_s + lapse_s(duration_s),
        )

    def update_clock(self, clock_ms: int, received_s: float) -> None:
        """Apply a reading of the worker's clock."""
        if self._clock_ms is None or clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._clock_read_s = received_s

    def clock_ms(self, now_s: float) -> float | None:
        """Return the worker's clock, extrapolated at the nominal rate."""
        if self._clock_ms is None:
            return None
        return self._clock_ms + (now_s - self._clock_read_s) * _MS_PER_S

    def extend(self, from_s: float) -> int | None:
        """Grant a lease that begins at a time; return its end.

        The end is in ms of the worker's clock; None while that is unknown.
        """
        clock_ms = self.clock_ms(from_s)
        if clock_ms is None:
            return None
        until_ms = int(clock_ms + self._duration_s * _MS_PER_S)
        self._granted_until_ms = max(self._granted_until_ms, until_ms)
        return until_ms

    def has_expired(self, now_s: float) -> bool:
        """Return whether no run can still be alive on the worker."""
        return self.remaining_s(now_s) <= 0.0

    def remaining_s(self, now_s: float) -> float:
        """Return how long a run may still be alive on the worker."""
        remaining_s = self._earlier_grants_end_s - now_s
        if self._clock_ms is None:
            return remaining_s
        granted_s = (
            (self._granted_until_ms - self._clock_ms)
            / _MS_PER_S
            / _CLOCK_RATE_MIN
        )
        return max(
            remaining_s,
            self._clock_read_s + granted_s + _KILL_MARGIN_S - now_s,
        )
