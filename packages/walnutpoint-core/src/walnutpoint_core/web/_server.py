"""A minimal HTTP/1.1 server with one task per busy connection."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import select
import socket
import typing

import httptools

from walnutpoint_core import logs
from walnutpoint_core.web import _message

__all__ = (
    'Handler',
    'Server',
)

_LOG: typing.Final = logs.get_logger('web')
_TCP_USER_TIMEOUT: typing.Final = getattr(socket, 'TCP_USER_TIMEOUT', 18)
# A client that acknowledges no data for this long counts as gone.
_USER_TIMEOUT_MS: typing.Final = 10_000
# Pipelined requests that may queue behind the one in progress.
_PIPELINE_MAX: typing.Final = 16
_BACKLOG: typing.Final = 1024
_TOO_LARGE: typing.Final = 413

Handler = collections.abc.Callable[
    [_message.Request], collections.abc.Awaitable[_message.Response]
]


class Server:
    """Accepts connections and passes whole requests to a handler."""

    __slots__ = (
        '_address',
        '_body_size_bytes',
        '_connections',
        '_handler',
        '_listener',
        '_socket',
        'announces_close',
    )

    def __init__(
        self,
        address: str,
        handler: Handler,
        body_size_bytes: int,
        listener_socket: socket.socket | None = None,
    ) -> None:
        """Use a listening socket, if given, in place of a new one."""
        self._address = address
        self._socket = listener_socket
        self._handler = handler
        self._body_size_bytes = body_size_bytes
        self._connections: set[_Connection] = set()
        self._listener: asyncio.Server | None = None
        self.announces_close = False

    async def start(self) -> None:
        """Start accepting connections."""
        loop = asyncio.get_running_loop()
        if self._socket is not None:
            self._listener = await loop.create_server(
                lambda: _Connection(self), sock=self._socket, backlog=_BACKLOG
            )
            return
        host, _, port = self._address.rpartition(':')
        self._listener = await loop.create_server(
            lambda: _Connection(self), host, int(port), backlog=_BACKLOG
        )

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the server listens on."""
        assert self._listener is not None
        host, port = self._listener.sockets[0].getsockname()[:2]
        return host, port

    def announce_close(self) -> None:
        """End each connection with its next response, and say so in it.

        Started some time before draining, it leaves few connections whose
        client may be sending a request while they are closed.
        """
        self.announces_close = True

    def start_draining(self) -> None:
        """Close idle connections now, busy ones after their response."""
        self.announce_close()
        for connection in list(self._connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._listener is not None:
            self._listener.close()

    @property
    def in_progress(self) -> int:
        """Return how many connections have a request, maybe in part."""
        return sum(not connection.is_idle for connection in self._connections)

    def add_connection(self, connection: _Connection) -> None:
        """Track an open connection."""
        self._connections.add(connection)

    def remove_connection(self, connection: _Connection) -> None:
        """Untrack a closed connection."""
        self._connections.discard(connection)

    @property
    def body_size_bytes(self) -> int:
        """Return the size limit of request bodies."""
        return self._body_size_bytes

    async def answer(self, request: _message.Request) -> _message.Response:
        """Return the handler's response, or a 500 if it raised."""
        try:
            return await self._handler(request)
        except Exception as error:
            _LOG.exception(
                'request.failed',
                method=request.method,
                path=request.path,
                error=repr(error),
            )
            return _message.Response(500)


class _Connection(asyncio.Protocol):
    __slots__ = (
        '_body',
        '_body_size_bytes',
        '_headers',
        '_is_receiving',
        '_parser',
        '_poll',
        '_queue',
        '_server',
        '_task',
        '_transport',
        '_url',
    )

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[tuple[_message.Request, bool]] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._is_receiving = False
        self._reset()

    def _reset(self) -> None:
        self._url = b''
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_size_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or on its way in.

        Closing a connection with unread data resets it: the client would
        get no answer, and not know whether its request was handled.
        """
        return (
            self._task is None
            and not self._is_receiving
            and not self._has_unread_data()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            self._poll.register(sock.fileno(), select.POLLIN)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
            )
        self._server.add_connection(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.remove_connection(self)
        self._transport = None
        self._queue.clear()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._reject(400)

    def on_message_begin(self) -> None:
        self._is_receiving = True

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key, text = name.decode('latin-1').lower(), value.decode('latin-1')
        if key in self._headers:
            # RFC 9110, section 5.3: repeated fields form a list.
            text = f'{self._headers[key]}, {text}'
        self._headers[key] = text

    def on_body(self, body: bytes) -> None:
        self._body_size_bytes += len(body)
        if self._body_size_bytes <= self._server.body_size_bytes:
            self._body.append(body)

    def on_message_complete(self) -> None:
        self._is_receiving = False
        request = _message.Request(
            self._parser.get_method().decode('latin-1'),
            self._url.decode('latin-1'),
            self._headers,
            b''.join(self._body),
        )
        too_large = self._body_size_bytes > self._server.body_size_bytes
        keep_alive = self._parser.should_keep_alive()
        self._reset()
        if too_large:
            self._reject(_TOO_LARGE)
            return
        self._queue.append((request, keep_alive))
        if len(self._queue) > _PIPELINE_MAX:
            self._reject(400)
        elif self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def close_if_idle(self) -> None:
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def _has_unread_data(self) -> bool:
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        return bool(self._poll.poll(0))

    async def _serve(self) -> None:
        try:
            while self._queue:
                request, keep_alive = self._queue.popleft()
                response = await self._server.answer(request)
                if self._transport is None:
                    return
                close = self._server.announces_close or not keep_alive
                self._transport.write(
                    _message.response_bytes(response, close=close)
                )
                if close:
                    self._transport.close()
                    return
        finally:
            self._task = None

    def _reject(self, status: int) -> None:
        if self._transport is not None and self._task is None:
            self._transport.write(
                _message.response_bytes(_message.Response(status), close=True)
            )
        if self._transport is not None:
            self._transport.close()
