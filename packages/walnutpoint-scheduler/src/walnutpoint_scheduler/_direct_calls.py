"""This host's direct calls to the store."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _messages

__all__ = (
    'Call',
    'DirectCalls',
    'SLOW_CALL_S',
)

# A direct call is hedged through a peer after this many usual round trips: its
# timeout is most of the slack of a short job. Such late replies are rare while
# the store is healthy.
_HEDGE_FACTOR: typing.Final = 2.0
# Longer than a call while the store is slow.
SLOW_CALL_S: typing.Final = 0.35
_ReplyT = typing.TypeVar('_ReplyT')
Call = collections.abc.Callable[
    [],
    collections.abc.Coroutine[
        typing.Any, typing.Any, expression.Result[_ReplyT, errors.Failure]
    ],
]


class DirectCalls:
    """Starts calls, which continue even if a peer is faster."""

    __slots__ = (
        '_estimator',
        '_on_outcome',
        '_running',
        '_timer',
        'failed_call_began_s',
    )

    def __init__(
        self,
        clock: timer.Timer,
        on_outcome: collections.abc.Callable[
            [expression.Result[typing.Any, errors.Failure]], None
        ],
    ) -> None:
        """Create the calls; on_outcome gets the outcome of each."""
        self._timer = clock
        self._on_outcome = on_outcome
        self._estimator = web.RoundTripEstimator()
        # Includes calls that a peer was faster than.
        self._running: set[asyncio.Task[typing.Any]] = set()
        # When the newest failed call began.
        self.failed_call_began_s = 0.0

    def hedge_delay_s(self, request: _messages.StoreRequest) -> float | None:
        """Return the delay before a call is hedged, or None for never."""
        if request.operation == 'read':
            # Pages take long on a slow link, and would on a peer's as well.
            return None
        latency_bound_s = self._estimator.latency_bound_s
        if latency_bound_s is None:
            return SLOW_CALL_S
        return latency_bound_s * _HEDGE_FACTOR

    def begin(
        self,
        call: Call[_ReplyT],
        request: _messages.StoreRequest,
    ) -> asyncio.Task[expression.Result[_ReplyT, errors.Failure]]:
        """Start a call as a task."""
        began_s = self._timer.now_s()

        async def run_call() -> expression.Result[_ReplyT, errors.Failure]:
            outcome = await call()
            if outcome.is_ok() and request.operation != 'read':
                self._estimator.observe(self._timer.now_s() - began_s)
            elif outcome.is_error():
                self.failed_call_began_s = began_s
            self._on_outcome(outcome)
            return outcome

        task = asyncio.create_task(run_call())
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task
