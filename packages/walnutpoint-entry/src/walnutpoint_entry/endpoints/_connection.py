"""A TCP connection to an endpoint."""

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
_LINGER_RESET: typing.Final = struct.pack('ii', 1, 0)
_CLOSED_EVENTS: typing.Final = select.POLLIN | select.POLLRDHUP
_NOT_RUN: typing.Final = 'not-run'
_KIND: typing.Final = errors.ErrorKind


# Not anyio: its SocketStream.send yields to the loop before the write, and
# the guard could turn false between its check and the first byte.
class Connection(asyncio.Protocol):
    """TCP connection that carries one exchange at a time."""

    __slots__ = (
        '_closed',
        '_is_reusable',
        '_loop',
        '_next_call',
        '_poll',
        '_reader',
        '_received_at_s',
        '_received_size_bytes',
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
        self._next_call: asyncio.Future[_call.PendingCall | None] | None = None
        self._written_at_s = 0.0
        # Of the answer in progress.
        self._received_size_bytes = 0
        self._received_at_s = 0.0

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be written.

        Polls the socket as well: the loop may not yet have processed a
        close. A request written after it has an unknown outcome, although
        it cannot have run.
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
        self, pending_call: _call.PendingCall
    ) -> _call.CallResult | None:
        """Write a request and read its answer; None if nothing was written.

        None means that this connection was already closed; the request can
        use another one.
        """
        remaining_s = pending_call.timeout_at_s - self._timer.now_s()
        if remaining_s <= 0.0:
            return _failed(_KIND.DEADLINE_PASSED, 'no time is left')
        encoded = _message.encode(pending_call.message, remaining_s)
        if encoded.is_error():
            return expression.Error(encoded.error)
        if not self.is_reusable:
            return None
        result = self._loop.create_future()
        self._reader = _message.AnswerReader(
            encoded.ok.engine, self._size_max_bytes
        )
        # No await between the guard's check and write(), which sends the
        # first byte synchronously on the selector loop.
        if pending_call.is_cancelled or not pending_call.guard():
            self._reader = None
            return _failed(_KIND.NOT_CONFIRMED, 'ownership is not confirmed')
        self._transport.write(encoded.ok.data)
        pending_call.is_written = True
        self._written_at_s = self._timer.now_s()
        self._received_size_bytes = 0
        self._result = result
        timeout = self._loop.call_later(
            remaining_s + pending_call.late_answer_s, self._on_timeout
        )
        try:
            return await result
        finally:
            timeout.cancel()
            self._result = self._reader = None

    async def next_call(self, idle_max_s: float) -> _call.PendingCall | None:
        """Wait for the next call; None means close the connection."""
        self._next_call = self._loop.create_future()
        idle_timeout = self._loop.call_later(idle_max_s, self.hand_over, None)
        try:
            return await self._next_call
        finally:
            idle_timeout.cancel()
            self._next_call = None

    def hand_over(self, pending_call: _call.PendingCall | None) -> bool:
        """Pass the next call to next_call(); return whether it waits."""
        if self._next_call is None or self._next_call.done():
            return False
        self._next_call.set_result(pending_call)
        return True

    async def close(self) -> None:
        """Close the connection and wait until its socket is closed."""
        self.abort()
        if self._transport is not None:
            await self._closed

    def abort(self) -> None:
        """Close the connection immediately without flushing."""
        self._is_reusable = False
        if self._transport is not None and not self._closed.done():
            self._transport.abort()

    def discard(self) -> None:
        """Reset the connection to drop the data in the send buffer.

        After a plain close the kernel still sends it: an abandoned request
        could start after a usage report that does not include it.
        """
        if self._transport is not None and not self._transport.is_closing():
            self._socket().setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
        self.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the open transport and set the socket options."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = self._socket()
        self._poll.register(sock.fileno(), _CLOSED_EVENTS)
        # A middlebox that loses a connection's state drops its packets, and
        # TCP retransmits for minutes. TCP_USER_TIMEOUT ends this early: a
        # request is delivered within transit_s or never.
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
        """Pass received data to the answer's reader."""
        if self._reader is None or self._result is None:
            # Unsolicited data must not be read as the next call's answer.
            self.abort()
            return
        if self._result.done():
            self._is_reusable = False
            return
        self._received_size_bytes += len(data)
        self._received_at_s = self._timer.now_s()
        answer = self._reader.receive(data)
        if answer is None:
            return
        if answer.is_error():
            self._finish(expression.Error(answer.error))
            return
        self._is_reusable = not answer.ok.must_close
        self._result.set_result(self._reply(answer.ok))

    def eof_received(self) -> bool:
        """Let the transport close itself at the end of the stream."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange in progress and next_call()."""
        self._is_reusable = False
        if not self._closed.done():
            self._closed.set_result(None)
        self.hand_over(None)
        if self._reader is not None and self._reader.has_started:
            self._finish(_failed(_KIND.ANSWER_CUT, 'the answer was cut short'))
        else:
            self._finish(
                _failed(_KIND.ANSWER_LOST, f'connection broke: {exc}')
            )

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

    def _on_timeout(self) -> None:
        # On a reused connection, an answer after the timeout would be read
        # as that of the next call.
        now_s = self._timer.now_s()
        detail = f'no answer {now_s - self._written_at_s:.3f} s after the send'
        if self._received_size_bytes:
            detail = (
                f'no whole answer {now_s - self._written_at_s:.3f} s after '
                f'the send; {self._received_size_bytes} bytes received, the '
                f'last {now_s - self._received_at_s:.3f} s ago'
            )
        self._finish(_failed(_KIND.ANSWER_LATE, detail))

    def _finish(self, result: _call.CallResult) -> None:
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
    """Connect to an endpoint's address, "ip:port"."""
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
