"""The retry budget, which limits retries to a share of the requests."""

from __future__ import annotations

import typing

__all__ = ('RetryBudget',)

_TOKENS_MAX: typing.Final = 100.0


class RetryBudget:
    """Token bucket refilled by first attempts and at a minimum rate."""

    __slots__ = (
        '_minimum_per_s',
        '_ratio',
        '_tokens',
        '_tokens_max',
        '_updated_s',
    )

    def __init__(
        self, ratio: float, minimum_per_s: float, now_s: float
    ) -> None:
        """Start with the tokens of one second at the minimum rate."""
        self._ratio = ratio
        self._minimum_per_s = minimum_per_s
        self._tokens = minimum_per_s
        # Unbounded savings of a quiet day would permit a retry storm.
        self._tokens_max = max(_TOKENS_MAX, minimum_per_s)
        self._updated_s = now_s

    def observe_request(self, now_s: float) -> None:
        """Add the tokens that one first attempt earns."""
        self._tokens = min(
            self._tokens_max, self._tokens_at(now_s) + self._ratio
        )
        self._updated_s = max(now_s, self._updated_s)

    def can_retry(self, now_s: float) -> bool:
        """Return whether the budget covers one retry."""
        return self._tokens_at(now_s) >= 1.0

    def spend(self, now_s: float) -> None:
        """Remove the token of one retry."""
        self._tokens = max(0.0, self._tokens_at(now_s) - 1.0)
        self._updated_s = max(now_s, self._updated_s)

    def _tokens_at(self, now_s: float) -> float:
        earned = max(0.0, now_s - self._updated_s) * self._minimum_per_s
        return min(self._tokens_max, self._tokens + earned)
