"""An upper bound for the lines of a process."""

from __future__ import annotations

import time
import typing

import structlog

__all__ = ('RateLimit',)

# A line costs 37 us, so that this is 11% of a core. The busiest second of any
# process so far had 2,279 lines, at 176 workers.
_LINES_PER_S: typing.Final = 3000.0
# What may come at once: a term that begins with the largest cell.
_BURST_LINES: typing.Final = 6000.0
# Never left out: what has failed, and what speaks of the whole process.
_ALWAYS: typing.Final = frozenset(
    {'warning', 'error', 'critical', 'exception'}
)


class RateLimit:
    """Leaves out informational lines beyond a rate, and counts them.

    A load that grows without bound, or a fault that repeats itself, would
    otherwise spend the process's core on lines in place of requests.
    """

    __slots__ = ('_credit', '_left_out', '_refilled_s', 'left_out')

    def __init__(self) -> None:
        self._credit = _BURST_LINES
        self._refilled_s = time.monotonic()
        # Lines left out since one last said so, and in all.
        self._left_out = 0
        self.left_out = 0

    def __call__(
        self,
        _logger: typing.Any,
        method: str,
        event: structlog.typing.EventDict,
    ) -> structlog.typing.EventDict:
        """Pass an event on, or drop it."""
        now_s = time.monotonic()
        gained = (now_s - self._refilled_s) * _LINES_PER_S
        self._credit = min(_BURST_LINES, self._credit + gained)
        self._refilled_s = now_s
        if method in _ALWAYS:
            return event
        if self._credit < 1.0:
            self._left_out += 1
            self.left_out += 1
            raise structlog.DropEvent
        self._credit -= 1.0
        if self._left_out:
            event['left_out_before'] = self._left_out
            self._left_out = 0
        return event
