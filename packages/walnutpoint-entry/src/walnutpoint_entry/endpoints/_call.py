"""A call to an endpoint, from its caller to the connection that takes it."""

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
    """One request to one endpoint; the guard is asked before its first byte.

    The time limit covers the connecting and the whole answer.
    """

    address: str
    request: model.Request
    epoch: int
    guard: collections.abc.Callable[[], bool]
    timeout_s: float
    connections_max: int = CONNECTIONS_MAX


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReply:
    """One whole answer; its run time is from the write to the last byte."""

    status: int
    headers: tuple[model.Header, ...]
    body: bytes
    run_s: float


class Assignment:
    """A message on its way through a connection, and its waiting caller."""

    __slots__ = (
        '_answer',
        'ends_at_s',
        'guard',
        'is_written',
        'message',
        'single_use',
    )

    def __init__(
        self,
        message: _message.Message,
        guard: collections.abc.Callable[[], bool],
        ends_at_s: float,
        *,
        single_use: bool = False,
    ) -> None:
        self.message = message
        self.guard = guard
        self.ends_at_s = ends_at_s
        self.single_use = single_use
        self.is_written = False
        self._answer: asyncio.Future[CallResult] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def is_settled(self) -> bool:
        """Return whether the result is known or the caller has gone."""
        return self._answer.done()

    @property
    def is_abandoned(self) -> bool:
        """Return whether the caller went away before the result."""
        return self._answer.cancelled()

    def settle(self, result: CallResult) -> None:
        """Hand the result to the caller, unless the caller has gone."""
        if not self._answer.done():
            self._answer.set_result(result)

    async def result(self) -> CallResult:
        """Return the result of the call."""
        return await self._answer
