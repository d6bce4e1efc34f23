"""The most of something that there was at a time lately."""

from __future__ import annotations

import collections.abc

__all__ = ('Peak',)


class Peak:
    """Remembers a peak, which halves with time."""

    __slots__ = ('_half_life_s', '_now_s', '_seen_s', '_value')

    def __init__(
        self,
        now_s: collections.abc.Callable[[], float],
        half_life_s: float,
    ) -> None:
        self._now_s = now_s
        self._half_life_s = half_life_s
        self._value = 0.0
        self._seen_s = now_s()

    @property
    def value(self) -> float:
        """Return the peak as it counts now."""
        age_s = self._now_s() - self._seen_s
        return self._value * 0.5 ** (age_s / self._half_life_s)

    def note(self, value: float) -> None:
        """Take one more value."""
        if value >= self.value:
            self._value, self._seen_s = value, self._now_s()
