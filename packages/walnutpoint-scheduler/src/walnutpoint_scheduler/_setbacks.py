"""How long what came to nothing waits before it is tried again."""

from __future__ import annotations

import typing

__all__ = ('Setbacks',)

# The first repeat is made at once: most setbacks are a worker's own, and the
# task is placed on another. The next pauses double from here.
_FIRST_PAUSE_S: typing.Final = 0.1
_DOUBLINGS_MAX: typing.Final = 16


class Setbacks:
    """Counts tries in a row that came to nothing, and paces the next."""

    __slots__ = ('_longest_s', 'count', 'not_before_s')

    def __init__(self, longest_s: float) -> None:
        """Create one that pauses for a time at most."""
        self._longest_s = longest_s
        self.count = 0
        self.not_before_s = 0.0

    def add(self, now_s: float, longest_s: float | None = None) -> None:
        """Note another one; a pause may have a bound of its own."""
        self.count += 1
        if self.count < 2:
            return
        doublings = min(self.count - 2, _DOUBLINGS_MAX)
        pause_s = _FIRST_PAUSE_S * 2.0**doublings
        self.hold(now_s + min(pause_s, longest_s or self._longest_s))

    def hold(self, until_s: float) -> None:
        """Let nothing be tried before a time."""
        self.not_before_s = max(self.not_before_s, until_s)

    def clear(self) -> None:
        """Note that a try has come to something."""
        self.count = 0

    def pauses(self, now_s: float) -> bool:
        """Return whether the next try is still to wait."""
        return self.not_before_s > now_s
