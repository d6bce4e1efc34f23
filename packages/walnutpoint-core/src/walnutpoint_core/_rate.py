"""A rate limit for the log lines of a process."""

from __future__ import annotations

import time
import typing

import structlog

__all__ = ('RateLimit',)

# A line costs 37 us, so that this is 11% of a core. The busiest second seen
# had 2,279 lines, with 176 workers.
_LINES_PER_S: typing.Final = 3000.0
# Enough for the start of a term in the largest cell.
_BURST_LINES: typing.Final = 6000.0
# Failures and events that concern the whole process are never left out.
_EXEMPT_METHODS: typing.Final = frozenset(
    {'warning', 'error', 'critical', 'exception'}
)


class RateLimit:
    """Drops and counts informational lines beyond a rate (token bucket).

    Unbounded load or a repeating fault would otherwise spend the process's
    core on logging in place of requests.
    """

    __slots__ = ('_left_out_unreported', '_refilled_s', '_tokens', 'left_out')

    def __init__(self) -> None:
        self._tokens = _BURST_LINES
        self._refilled_s = time.monotonic()
        # Lines left out since left_out_before was last set, and in total.
        self._left_out_unreported = 0
        self.left_out = 0

    def __call__(
        self,
        _logger: typing.Any,
        method: str,
        event: structlog.typing.EventDict,
    ) -> structlog.typing.EventDict:
        """Return the event, or raise DropEvent beyond the rate."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._refilled_s = now_s
        if method in _EXEMPT_METHODS:
            return event
        if self._tokens < 1.0:
            self._left_out_unreported += 1
            self.left_out += 1
            raise structlog.DropEvent
        self._tokens -= 1.0
        if self._left_out_unreported:
            event['left_out_before'] = self._left_out_unreported
            self._left_out_unreported = 0
        return event
