"""One TCP connection to an endpoint and the exchange that it carries."""

from __future__ import annotations

import asyncio
import math
import select
import socket
import struct
import typing

import expression
from walnutpoint_core import errors
from walnutpoint_core import timer

from walnutpoint_entry.endpoints import _call
from walnutpoint_entry.endpoints import _message

_KEEPALIVE_IDLE_S: typing.Final = 1
_KEEPALIVE_PERIOD_S: typing.Final = 1
_KEEPALIVE_PROBES: typing.Final = 3
_DISCARD_ON_CLOSE: typing.Final = struct.pack('ii', 1, 0)
_CLOSED_EVENTS: typing.Final = select.POLLIN | select.POLLRDHUP
_NOT_RUN: typing.Final = 'not-run'
_KIND: typing.Final = errors.ErrorKind


# anyio's SocketStream.send yields to the loop before it writes, so that the
# guard could turn false between its check and the first byte.
class Connection(asyncio.Protocol):
    """One connection, which carries one exchange at a time."""

    __slots__ = (
        '_closed',
        '_is_reusable',
        '_loop',
        '_next',
        '_poll',
        '_reader',
        '_result',
        '_size_max_bytes',
        '_timer',
        '_transit_s',
        '_transport',
        '_written_at_s',
        'idle_since_s',
    )

    def __init__(
        self, timer_: timer.Timer, size_max_bytes: int, transit_s: float
    ) -> None:
        self._transit_s = transit_s
        self.idle_since_s = -math.inf
        self._timer = timer_
        self._size_max_bytes = size_max_bytes
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._closed: asyncio.Future[None] = self._loop.create_future()
        self._poll = select.poll()
        self._is_reusable = True
        self._reader: _message.AnswerReader | None = None
        self._result: asyncio.Future[_call.CallResult] | None = None
        self._next: asyncio.Future[_call.Assignment | None] | None = None
        self._written_at_s = 0.0

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be written.

        The socket itself is asked too: a close that the kernel has seen but
        the loop has not yet would otherwise turn a request that surely did
        not run into one of which nothing is known.
        """
        transport = self._transport
        return (
            self._is_reusable
            and transport is not None
            and not transport.is_closing()
            and transport.get_write_buffer_size() == 0
            and not self._poll.poll(0)
        )

    async def exchange(
        self, assignment: _call.Assignment
    ) -> _call.CallResult | None:
        """Write a request and read its answer; None if nothing was written.

        None says that this connection had been closed, so that another one
        may carry the request.
        """
        remaining_s = assignment.ends_at_s - self._timer.now_s()
        if remaining_s <= 0.0:
            return _failed(_KIND.DEADLINE_PASSED, 'no time is left')
        encoded = _message.encode(assignment.message, remaining_s)
        if encoded.is_error():
            return expression.Error(encoded.error)
        if not self.is_reusable:
            return None
        result = self._loop.create_future()
        self._reader = _message.AnswerReader(
            encoded.ok.engine, self._size_max_bytes
        )
        # From here to the write there is no await: the guard's answer holds
        # for the first byte, which the selector loop sends within write().
        if assignment.is_abandoned or not assignment.guard():
            self._reader = None
            return _failed(_KIND.NOT_CONFIRMED, 'ownership is not confirmed')
        self._transport.write(encoded.ok.data)
        assignment.is_written = True
        self._written_at_s = self._timer.now_s()
        self._result = result
        late = self._loop.call_later(remaining_s, self._answer_late)
        try:
            return await result
        finally:
            late.cancel()
            self._result = self._reader = None

    async def next_assignment(
        self, idle_max_s: float
    ) -> _call.Assignment | None:
        """Return the next assignment, or None when the connection ends."""
        self._next = self._loop.create_future()
        idle = self._loop.call_later(idle_max_s, self.give, None)
        try:
            return await self._next
        finally:
            idle.cancel()
            self._next = None

    def give(self, assignment: _call.Assignment | None) -> bool:
        """Hand over the next assignment; return whether it was taken."""
        if self._next is None or self._next.done():
            return False
        self._next.set_result(assignment)
        return True

    async def close(self) -> None:
        """Close the connection; return when its socket is closed."""
        self.abort()
        if self._transport is not None:
            await self._closed

    def abort(self) -> None:
        """Close the connection at once and send nothing more."""
        self._is_reusable = False
        if self._transport is not None and not self._closed.done():
            self._transport.abort()

    def discard(self) -> None:
        """Close the connection and drop what the kernel has yet to send.

        The kernel sends on after a close. A request that its caller has
        given up could start after a usage report that did not show it; with
        a reset the unsent bytes are dropped.
        """
        if self._transport is not None and not self._transport.is_closing():
            self._socket().setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_ON_CLOSE
            )
        self.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open transport and set its socket's options."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = self._socket()
        self._poll.register(sock.fileno(), _CLOSED_EVENTS)
        # A middlebox can lose track of a connection; its packets then vanish
        # and the sender waits for minutes. The kernel gives up early instead,
        # so that a request is delivered within transit_s or never.
        for level, option, value in (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_PERIOD_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
            (
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(self._transit_s * 1000),
            ),
        ):
            sock.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Read a part of the answer."""
        if self._reader is None or self._result is None:
            # Nobody asked: it must not be read as the next call's answer.
            self.abort()
            return
        if self._result.done():
            self._is_reusable = False
            return
        answer = self._reader.receive(data)
        if answer is None:
            return
        if answer.is_error():
            self._end(expression.Error(answer.error))
            return
        self._is_reusable = not answer.ok.is_last
        self._result.set_result(self._reply(answer.ok))

    def eof_received(self) -> bool:
        """Have the transport closed when the endpoint sends no more."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End what waits for the connection."""
        self._is_reusable = False
        if not self._closed.done():
            self._closed.set_result(None)
        self.give(None)
        if self._reader is not None and self._reader.has_begun:
            self._end(_failed(_KIND.ANSWER_CUT, 'the answer was cut short'))
        else:
            self._end(_failed(_KIND.ANSWER_LOST, f'connection broke: {exc}'))

    def _socket(self) -> socket.socket:
        return self._transport.get_extra_info('socket')

    def _reply(self, answer: _message.WholeAnswer) -> _call.CallResult:
        if any(
            header.name == _message.OUTCOME_HEADER
            and header.value.strip().lower() == _NOT_RUN
            for header in answer.headers
        ):
            return _failed(_KIND.ENDPOINT_REFUSED, f'status {answer.status}')
        run_s = self._timer.now_s() - self._written_at_s
        return expression.Ok(
            _call.EndpointReply(
                answer.status, answer.headers, answer.body, run_s
            )
        )

    def _answer_late(self) -> None:
        # An answer that comes after its call was given up would be read as
        # the next call's; on a connection of its own it meets no other.
        self._end(_failed(_KIND.ANSWER_LATE, 'no whole answer in time'))

    def _end(self, result: _call.CallResult) -> None:
        self._is_reusable = False
        if self._result is not None and not self._result.done():
            self._result.set_result(result)
        self.discard()


def _failed(
    kind: errors.ErrorKind, detail: str
) -> expression.Result[typing.Any, errors.Failure]:
    return expression.Error(errors.Failure(kind, detail))


async def connect(
    address: str, timeout_s: float, connection: Connection
) -> expression.Result[None, errors.Failure]:
    """Open a connection to an endpoint's address, "ip:port"."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().create_connection(
                lambda: connection, host, int(port)
            )
    except (OSError, TimeoutError) as error:
        detail = f'{address}: {error or "connect timed out"}'
        return _failed(_KIND.ENDPOINT_UNREACHABLE, detail)
    return expression.Ok(None)
