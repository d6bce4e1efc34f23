"""Hedged requests: a repeat is sent when a response is late."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from walnutpoint_core.web import _client
from walnutpoint_core.web import _message

__all__ = (
    'HedgedClient',
    'RoundTripEstimator',
)

# Gains of the smoothed time and of its deviation, and the factor of the
# deviation in the bound (RFC 6298, section 2).
_TIME_GAIN: typing.Final = 1 / 8
_DEVIATION_GAIN: typing.Final = 1 / 4
_DEVIATION_FACTOR: typing.Final = 4.0
# Twenty times a usual response of 4 ms, and above the pauses that this
# process's own work causes.
_BOUND_MIN_S: typing.Final = 0.08
# Factor between the waits for successive attempts.
_BACKOFF: typing.Final = 2.0
_ATTEMPTS_MAX: typing.Final = 3
# Too Many Requests, Service Unavailable: the request was not executed.
_REJECTION_STATUSES: typing.Final = frozenset({429, 503})


class RoundTripEstimator:
    """Estimates an upper bound of the response time (RFC 6298)."""

    __slots__ = ('_deviation_s', '_smoothed_s')

    def __init__(self) -> None:
        self._smoothed_s: float | None = None
        self._deviation_s = 0.0

    def observe(self, elapsed_s: float) -> None:
        """Record the duration of an exchange."""
        if self._smoothed_s is None:
            self._smoothed_s = elapsed_s
            self._deviation_s = elapsed_s / 2
            return
        difference_s = elapsed_s - self._smoothed_s
        self._deviation_s += _DEVIATION_GAIN * (
            abs(difference_s) - self._deviation_s
        )
        self._smoothed_s += _TIME_GAIN * difference_s

    @property
    def latency_bound_s(self) -> float | None:
        """Return the bound, or None before the first response."""
        if self._smoothed_s is None:
            return None
        bound_s = self._smoothed_s + _DEVIATION_FACTOR * self._deviation_s
        return max(_BOUND_MIN_S, bound_s)


class HedgedClient:
    """Repeats idempotent requests whose response is late.

    A lost response would otherwise cost the whole timeout, which has to
    allow for a slow server. Earlier attempts stay pending, so that a slow
    server is not mistaken for one that does not respond.
    """

    __slots__ = ('_client', '_estimator', '_unanswered', 'repeated')

    def __init__(self, client: _client.Client) -> None:
        self._client = client
        self._estimator = RoundTripEstimator()
        self._unanswered = False
        # Number of requests sent while an earlier attempt was pending.
        self.repeated = 0

    async def exchange(
        self, address: str, request: _message.Request, timeout_s: float
    ) -> _message.Response | _message.NoResponse:
        """Return the first decisive response of all attempts."""
        latency_bound_s = self._estimator.latency_bound_s
        if latency_bound_s is None or self._unanswered:
            answer = await self._attempt(address, request, timeout_s)
        else:
            answer = await self._exchange_hedged(
                address, request, timeout_s, latency_bound_s
            )
        # Repeats would only add load to a server that does not respond.
        self._unanswered = isinstance(answer, _message.NoResponse)
        return answer

    async def _exchange_hedged(
        self,
        address: str,
        request: _message.Request,
        timeout_s: float,
        latency_bound_s: float,
    ) -> _message.Response | _message.NoResponse:
        attempts = _Attempts()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        try:
            for attempt in range(_ATTEMPTS_MAX):
                remaining_s = deadline_s - loop.time()
                if remaining_s <= 0.0:
                    break
                attempts.add(self._attempt(address, request, remaining_s))
                self.repeated += attempt > 0
                wait_s = latency_bound_s * _BACKOFF**attempt
                if attempt == _ATTEMPTS_MAX - 1:
                    wait_s = remaining_s
                answer = await attempts.wait(min(wait_s, remaining_s))
                if answer is not None:
                    return answer
                if not attempts.pending:
                    break
            return attempts.outcome(timeout_s)
        finally:
            attempts.cancel()

    async def _attempt(
        self, address: str, request: _message.Request, timeout_s: float
    ) -> _message.Response | _message.NoResponse:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answer = await self._client.exchange(address, request, timeout_s)
        if isinstance(answer, _message.Response):
            self._estimator.observe(loop.time() - started_s)
        return answer


class _Attempts:
    """The pending attempts of a request and the outcomes of failed ones."""

    __slots__ = ('_no_response', '_rejection', 'pending')

    def __init__(self) -> None:
        self.pending: set[
            asyncio.Task[_message.Response | _message.NoResponse]
        ] = set()
        self._no_response: _message.NoResponse | None = None
        self._rejection: _message.Response | None = None

    def add(
        self,
        coroutine: collections.abc.Coroutine[
            typing.Any, typing.Any, _message.Response | _message.NoResponse
        ],
    ) -> None:
        """Start an attempt."""
        self.pending.add(asyncio.create_task(coroutine))

    async def wait(self, wait_s: float) -> _message.Response | None:
        """Return the first decisive response, or None on timeout."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while self.pending and loop.time() < deadline_s:
            done, _ = await asyncio.wait(
                self.pending,
                timeout=deadline_s - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            self.pending -= done
            for task in done:
                answer = self._record(task.result())
                if answer is not None:
                    return answer
        return None

    def _record(
        self, answer: _message.Response | _message.NoResponse
    ) -> _message.Response | None:
        """Return a decisive response, or record any other outcome.

        A rejection only shows that this attempt was not executed; another
        attempt may have been, or may still be.
        """
        if isinstance(answer, _message.NoResponse):
            if self._no_response is None or not self._no_response.maybe_sent:
                self._no_response = answer
            return None
        if answer.status in _REJECTION_STATUSES:
            self._rejection = answer
            return None
        return answer

    def outcome(
        self, timeout_s: float
    ) -> _message.Response | _message.NoResponse:
        """Return the outcome of all attempts when none was decisive."""
        if self.pending:
            return _message.NoResponse(
                True, f'no response within {timeout_s:g} s'
            )
        if self._no_response is not None and self._no_response.maybe_sent:
            return self._no_response
        if self._rejection is not None:
            return self._rejection
        return self._no_response or _message.NoResponse(False, 'no time left')

    def cancel(self) -> None:
        """Cancel the pending attempts."""
        for task in self.pending:
            task.cancel()
