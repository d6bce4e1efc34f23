"""A maximum that decays with time."""

from __future__ import annotations

import collections.abc

__all__ = ('DecayingPeak',)


class DecayingPeak:
    """Holds the maximum of observed values, which decays by half-life."""

    __slots__ = ('_half_life_s', '_now_s', '_observed_s', '_value')

    def __init__(
        self,
        now_s: collections.abc.Callable[[], float],
        half_life_s: float,
    ) -> None:
        self._now_s = now_s
        self._half_life_s = half_life_s
        self._value = 0.0
        self._observed_s = now_s()

    @property
    def value(self) -> float:
        """Return the peak as decayed by now."""
        age_s = self._now_s() - self._observed_s
        return self._value * 0.5 ** (age_s / self._half_life_s)

    def observe(self, value: float) -> None:
        """Raise the peak to a value if that is higher."""
        if value >= self.value:
            self._value, self._observed_s = value, self._now_s()
