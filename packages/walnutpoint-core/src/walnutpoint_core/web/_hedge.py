"""A second request where the answer to a first is later than usual."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from walnutpoint_core.web import _client
from walnutpoint_core.web import _message

__all__ = (
    'Hedge',
    'RoundTrips',
)

# Gains of the smoothed time and of its deviation, and how many deviations
# count as unusual (RFC 6298, section 2).
_TIME_GAIN: typing.Final = 1 / 8
_DEVIATION_GAIN: typing.Final = 1 / 4
_DEVIATIONS: typing.Final = 4.0
# The least wait: twenty times a usual answer of 4 ms, and longer than this
# process is held up by its own work.
_LEAST_S: typing.Final = 0.08
# Each further request waits twice as long for an answer as the one before.
_BACKOFF: typing.Final = 2.0
_TRIES_MAX: typing.Final = 3
# Too Many Requests and Service Unavailable: nothing was done.
_REFUSALS: typing.Final = frozenset({429, 503})


class RoundTrips:
    """Estimates within which time an answer usually comes (RFC 6298)."""

    __slots__ = ('_deviation_s', '_smoothed_s')

    def __init__(self) -> None:
        self._smoothed_s: float | None = None
        self._deviation_s = 0.0

    def observe(self, took_s: float) -> None:
        """Take in how long an answer took."""
        if self._smoothed_s is None:
            self._smoothed_s = took_s
            self._deviation_s = took_s / 2
            return
        difference_s = took_s - self._smoothed_s
        self._deviation_s += _DEVIATION_GAIN * (
            abs(difference_s) - self._deviation_s
        )
        self._smoothed_s += _TIME_GAIN * difference_s

    @property
    def usual_s(self) -> float | None:
        """Return the time, or None before the first answer."""
        if self._smoothed_s is None:
            return None
        bound_s = self._smoothed_s + _DEVIATIONS * self._deviation_s
        return max(_LEAST_S, bound_s)


class Hedge:
    """Sends a request again where its answer may have been lost.

    Only for requests that may be carried out twice. Where answers are lost
    after the work was done, each loss would otherwise cost the whole
    timeout, which has to allow for a slow server. The first request is waited
    for all the same: a server that turns slow is not mistaken for one that
    does not answer.
    """

    __slots__ = ('_client', '_missed', '_round_trips', 'repeated')

    def __init__(self, client: _client.Client) -> None:
        self._client = client
        self._round_trips = RoundTrips()
        self._missed = False
        # How many requests were sent beside an earlier one.
        self.repeated = 0

    async def exchange(
        self, address: str, request: _message.Request, timeout_s: float
    ) -> _message.Response | _message.Loss:
        """Return the first response to a request or its repeats."""
        usual_s = self._round_trips.usual_s
        if usual_s is None or self._missed:
            answer = await self._try(address, request, timeout_s)
        else:
            answer = await self._repeat(address, request, timeout_s, usual_s)
        # Where nobody answers, more requests would only cost more.
        self._missed = isinstance(answer, _message.Loss)
        return answer

    async def _repeat(
        self,
        address: str,
        request: _message.Request,
        timeout_s: float,
        usual_s: float,
    ) -> _message.Response | _message.Loss:
        tries = _Tries()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        try:
            for number in range(_TRIES_MAX):
                left_s = end_s - loop.time()
                if left_s <= 0.0:
                    break
                tries.add(self._try(address, request, left_s))
                self.repeated += number > 0
                wait_s = usual_s * _BACKOFF**number
                if number == _TRIES_MAX - 1:
                    wait_s = left_s
                answer = await tries.wait(min(wait_s, left_s))
                if answer is not None:
                    return answer
                if not tries.pending:
                    break
            return tries.outcome(timeout_s)
        finally:
            tries.cancel()

    async def _try(
        self, address: str, request: _message.Request, timeout_s: float
    ) -> _message.Response | _message.Loss:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        answer = await self._client.exchange(address, request, timeout_s)
        if isinstance(answer, _message.Response):
            self._round_trips.observe(loop.time() - began_s)
        return answer


class _Tries:
    """Requests on their way, and what is known of those that failed."""

    __slots__ = ('_loss', '_refusal', 'pending')

    def __init__(self) -> None:
        self.pending: set[asyncio.Task[_message.Response | _message.Loss]] = (
            set()
        )
        self._loss: _message.Loss | None = None
        self._refusal: _message.Response | None = None

    def add(
        self,
        work: collections.abc.Coroutine[
            typing.Any, typing.Any, _message.Response | _message.Loss
        ],
    ) -> None:
        """Begin one more."""
        self.pending.add(asyncio.create_task(work))

    async def wait(self, wait_s: float) -> _message.Response | None:
        """Return the first response that decides, if one comes in time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while self.pending and loop.time() < end_s:
            done, _ = await asyncio.wait(
                self.pending,
                timeout=end_s - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            self.pending -= done
            for task in done:
                answer = self._judge(task.result())
                if answer is not None:
                    return answer
        return None

    def _judge(
        self, answer: _message.Response | _message.Loss
    ) -> _message.Response | None:
        """Return a response that decides, and remember any other outcome.

        A refusal says that this one request was not carried out. Another
        one may have been, or may still be: taken for the outcome of all, a
        caller would be told that nothing was done.
        """
        if isinstance(answer, _message.Loss):
            if self._loss is None or not self._loss.maybe_sent:
                self._loss = answer
            return None
        if answer.status in _REFUSALS:
            self._refusal = answer
            return None
        return answer

    def outcome(self, timeout_s: float) -> _message.Response | _message.Loss:
        """Return what all tries together say, where none has decided."""
        if self.pending:
            return _message.Loss(True, f'no response within {timeout_s:g} s')
        if self._loss is not None and self._loss.maybe_sent:
            return self._loss
        if self._refusal is not None:
            return self._refusal
        return self._loss or _message.Loss(False, 'no time left')

    def cancel(self) -> None:
        """Give up on what is still on its way."""
        for task in self.pending:
            task.cancel()
