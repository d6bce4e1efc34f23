"""Orders to workers over HTTP."""

from __future__ import annotations

import collections.abc
import http
import typing
import uuid

import expression
import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import timer as timers
from walnutpoint_entry import endpoints
from walnutpoint_entry.tasks import _wire

__all__ = (
    'Guard',
    'HttpWorkers',
    'ReplyResult',
    'Workers',
)

Guard: typing.TypeAlias = collections.abc.Callable[[], bool]
ReplyResult: typing.TypeAlias = (
    'expression.Result[_wire.WorkerReply, errors.Failure]'
)

_PATH: typing.Final = '/walnutpoint/tasks/'
_TEAM: typing.Final = 'walnutpoint'
_TIMEOUT_S: typing.Final = 2.0

_KIND = errors.ErrorKind
_DECODER: typing.Final = msgspec.json.Decoder(_wire.WorkerReply)


class Workers(typing.Protocol):
    """The workers; a guard is checked right before the first byte is sent."""

    async def start(
        self, worker: str, order: _wire.StartOrder, guard: Guard
    ) -> ReplyResult:
        """Start a task; the same attempt twice is one start."""

    async def renew(
        self, worker: str, order: _wire.RenewOrder, guard: Guard
    ) -> ReplyResult:
        """Renew the leases of tasks and return all tasks."""

    async def stop(
        self, worker: str, order: _wire.StopOrder, guard: Guard
    ) -> ReplyResult:
        """Stop a task."""


class HttpWorkers:
    """The workers, called through the HTTP interface of endpoints."""

    __slots__ = ('_client', '_timer')

    def __init__(
        self, timer: timers.Timer, client: endpoints.EndpointClient
    ) -> None:
        self._timer = timer
        self._client = client

    async def start(
        self, worker: str, order: _wire.StartOrder, guard: Guard
    ) -> ReplyResult:
        """Start a task; the same attempt twice is one start."""
        return await self._call(worker, 'start', order, guard)

    async def renew(
        self, worker: str, order: _wire.RenewOrder, guard: Guard
    ) -> ReplyResult:
        """Renew the leases of tasks and return all tasks."""
        return await self._call(worker, 'renew', order, guard)

    async def stop(
        self, worker: str, order: _wire.StopOrder, guard: Guard
    ) -> ReplyResult:
        """Stop a task."""
        return await self._call(worker, 'stop', order, guard)

    async def _call(
        self,
        worker: str,
        name: str,
        order: _wire.StartOrder | _wire.RenewOrder | _wire.StopOrder,
        guard: Guard,
    ) -> ReplyResult:
        called = await self._client.call(
            endpoints.EndpointCall(
                address=worker,
                request=self._request(name, msgspec.json.encode(order)),
                epoch=order.epoch,
                guard=guard,
                timeout_s=_TIMEOUT_S,
            )
        )
        return called.bind(_decode)

    def _request(self, name: str, body: bytes) -> model.Request:
        now_s = self._timer.now_s()
        # Not idempotent: on a connection that was idle for long and may have
        # been dropped, a start's outcome would be unknown.
        return model.Request(
            request_id=f'task-{uuid.uuid4().hex}',
            team=_TEAM,
            work_class=model.WorkClass.STANDARD,
            method='POST',
            path=f'{_PATH}{name}',
            headers=(model.Header('Content-Type', 'application/json'),),
            body=body,
            received_at_s=now_s,
            deadline_at_s=now_s + _TIMEOUT_S,
            idempotent=False,
        )


def _decode(reply: endpoints.EndpointReply) -> ReplyResult:
    if reply.status == http.HTTPStatus.NOT_FOUND:
        return _failed(_KIND.NOT_FOUND, 'the worker runs no tasks')
    if reply.status != http.HTTPStatus.OK:
        return _failed(_KIND.ANSWER_CUT, f'tasks: status {reply.status}')
    try:
        return expression.Ok(decoding.with_decoder(_DECODER, reply.body))
    except decoding.UnreadableError as error:
        return _failed(_KIND.ANSWER_CUT, f'tasks: {error}')


def _failed(kind: errors.ErrorKind, detail: str) -> ReplyResult:
    return expression.Error(errors.Failure(kind, detail))
