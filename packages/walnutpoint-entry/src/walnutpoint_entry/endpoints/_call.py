"""A call to an endpoint and its hand-over to a connection."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import typing

import expression
from walnutpoint_core import errors
from walnutpoint_core import model

from walnutpoint_entry.endpoints import _message

CONNECTIONS_MAX: typing.Final = 64

CallResult: typing.TypeAlias = (
    'expression.Result[EndpointReply, errors.Failure]'
)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointCall:
    """One request to one endpoint; the guard is checked before the write.

    The timeout covers the connection setup and the whole answer, which is
    awaited for late_answer_s longer.
    """

    address: str
    request: model.Request
    epoch: int
    guard: collections.abc.Callable[[], bool]
    timeout_s: float
    connections_max: int = CONNECTIONS_MAX
    late_answer_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReply:
    """One whole answer; run_s is the time from the write to the last byte."""

    status: int
    headers: tuple[model.Header, ...]
    body: bytes
    run_s: float


class PendingCall:
    """A message for a connection, and the future that its caller awaits."""

    __slots__ = (
        '_result_future',
        'guard',
        'is_written',
        'late_answer_s',
        'message',
        'single_use',
        'timeout_at_s',
    )

    def __init__(
        self,
        message: _message.Message,
        guard: collections.abc.Callable[[], bool],
        timeout_at_s: float,
        *,
        late_answer_s: float = 0.0,
        single_use: bool = False,
    ) -> None:
        self.message = message
        self.guard = guard
        self.timeout_at_s = timeout_at_s
        self.late_answer_s = late_answer_s
        self.single_use = single_use
        self.is_written = False
        self._result_future: asyncio.Future[CallResult] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def is_settled(self) -> bool:
        """Return whether the call has its result or was cancelled."""
        return self._result_future.done()

    @property
    def is_cancelled(self) -> bool:
        """Return whether the caller was cancelled before the result."""
        return self._result_future.cancelled()

    def settle(self, result: CallResult) -> None:
        """Set the result, unless the caller was cancelled."""
        if not self._result_future.done():
            self._result_future.set_result(result)

    async def result(self) -> CallResult:
        """Wait for the result."""
        return await self._result_future
