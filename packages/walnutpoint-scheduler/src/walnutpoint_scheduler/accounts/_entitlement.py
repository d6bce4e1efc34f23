"""Which jobs are within the guaranteed rate of their account."""

from __future__ import annotations

import typing

from walnutpoint_scheduler.accounts import _account

__all__ = ('Entitlement',)

_MS_PER_S: typing.Final = 1000.0
# Seconds of its rate that an account may submit at once.
_BURST_S: typing.Final = 1.0


class Entitlement:
    """Limits the rate of each account with a token bucket.

    Given in the order of their acceptance times, the same jobs give the same
    result in every term.
    """

    __slots__ = ('_buckets',)

    def __init__(self) -> None:
        # By account: the remaining jobs, and the Unix time of the refill.
        self._buckets: dict[str, tuple[float, int]] = {}

    def consume(self, account: _account.Account, accepted_ms: int) -> bool:
        """Count a job and return whether it is within the rate."""
        remaining, refilled_ms = self._bucket(account, accepted_ms)
        is_owed = remaining >= 1.0
        if is_owed:
            remaining -= 1.0
        self._buckets[account.name] = remaining, refilled_ms
        return is_owed

    def would_deny(self, account: _account.Account, now_ms: int) -> bool:
        """Return whether a job would be beyond the rate, without a count."""
        remaining, _ = self._bucket(account, now_ms)
        return remaining < 1.0

    def _bucket(
        self, account: _account.Account, now_ms: int
    ) -> tuple[float, int]:
        """Return the jobs within the rate at a time, and its last refill."""
        depth = max(1.0, account.weight * _BURST_S)
        remaining, refilled_ms = self._buckets.get(
            account.name, (depth, now_ms)
        )
        elapsed_s = max(0, now_ms - refilled_ms) / _MS_PER_S
        remaining = min(depth, remaining + elapsed_s * account.weight)
        return remaining, max(refilled_ms, now_ms)
