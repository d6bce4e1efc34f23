"""What each client account has used of a pool in the last seconds."""

from __future__ import annotations

import collections.abc
import math
import typing

__all__ = ('RecentUse',)

# Time constant of the average: about the time of one batch task, so that an
# account that returns after a pause is not charged for what it used before.
_AVERAGING_S: typing.Final = 5.0
# An average below this share of a pool is dropped, as accounts come and go.
_SHARE_MIN: typing.Final = 1e-4


class RecentUse:
    """Averages the share of a pool that each account's runs book.

    The first sample counts in full, so that a new term starts from what it
    restored, and work that has ended before is forgotten.
    """

    __slots__ = ('_sampled_s', '_share_by_account')

    def __init__(self) -> None:
        self._sampled_s: float | None = None
        self._share_by_account: dict[str, float] = {}

    def add(
        self,
        share_by_account: collections.abc.Mapping[str, float],
        now_s: float,
    ) -> None:
        """Add a sample of the shares that are booked now."""
        weight = 1.0
        if self._sampled_s is not None:
            weight = 1.0 - math.exp((self._sampled_s - now_s) / _AVERAGING_S)
        self._sampled_s = now_s
        averages: dict[str, float] = {}
        for account in {*self._share_by_account, *share_by_account}:
            before = self._share_by_account.get(account, 0.0)
            share = share_by_account.get(account, 0.0)
            average = before + weight * (share - before)
            if average >= _SHARE_MIN:
                averages[account] = average
        self._share_by_account = averages

    def pool_s(self) -> dict[str, float]:
        """Return the recent use by account, in seconds of the whole pool."""
        return {
            account: share * _AVERAGING_S
            for account, share in self._share_by_account.items()
        }
