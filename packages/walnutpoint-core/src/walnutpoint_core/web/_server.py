"""A small HTTP/1.1 server: one task for each connection with requests."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
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
# A caller that acknowledges nothing for this long is gone.
_USER_TIMEOUT_MS: typing.Final = 10_000
# Requests of one connection that may wait behind the one in progress.
_PIPELINE_MAX: typing.Final = 16
_BACKLOG: typing.Final = 1024
_TOO_LARGE: typing.Final = 413

Handler = collections.abc.Callable[
    [_message.Request], collections.abc.Awaitable[_message.Response]
]


class Server:
    """Listens on one address and passes whole requests to a handler."""

    __slots__ = (
        '_address',
        '_body_size_bytes',
        '_connections',
        '_handler',
        '_listener',
        '_socket',
        'stopping',
    )

    def __init__(
        self,
        address: str,
        handler: Handler,
        body_size_bytes: int,
        listening: socket.socket | None = None,
    ) -> None:
        """Serve an address, on a socket that listens on it if there is one."""
        self._address = address
        self._socket = listening
        self._handler = handler
        self._body_size_bytes = body_size_bytes
        self._connections: set[_Connection] = set()
        self._listener: asyncio.Server | None = None
        self.stopping = False

    async def start(self) -> None:
        """Listen."""
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

    def stop_keeping_alive(self) -> None:
        """Close idle connections, and each other one after its response."""
        self.stopping = True
        for connection in list(self._connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._listener is not None:
            self._listener.close()

    @property
    def in_progress(self) -> int:
        """Return how many connections have a request without response."""
        return sum(not connection.idle for connection in self._connections)

    def enter(self, connection: _Connection) -> None:
        """Count a connection."""
        self._connections.add(connection)

    def leave(self, connection: _Connection) -> None:
        """Forget a connection."""
        self._connections.discard(connection)

    @property
    def body_size_bytes(self) -> int:
        """Return the largest body that is read."""
        return self._body_size_bytes

    async def answer(self, request: _message.Request) -> _message.Response:
        """Return the handler's response, or a 500 where it failed."""
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
        '_parser',
        '_server',
        '_task',
        '_transport',
        '_url',
        '_waiting',
    )

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[tuple[_message.Request, bool]] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._start()

    def _start(self) -> None:
        self._url = b''
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_size_bytes = 0

    @property
    def idle(self) -> bool:
        """Return whether no request waits for its response."""
        return self._task is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
            )
        self._server.enter(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.leave(self)
        self._transport = None
        self._waiting.clear()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._refuse(400)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key, text = name.decode('latin-1').lower(), value.decode('latin-1')
        if key in self._headers:
            # RFC 9110, 5.3: fields of one name make up a list.
            text = f'{self._headers[key]}, {text}'
        self._headers[key] = text

    def on_body(self, body: bytes) -> None:
        self._body_size_bytes += len(body)
        if self._body_size_bytes <= self._server.body_size_bytes:
            self._body.append(body)

    def on_message_complete(self) -> None:
        request = _message.Request(
            self._parser.get_method().decode('latin-1'),
            self._url.decode('latin-1'),
            self._headers,
            b''.join(self._body),
        )
        too_large = self._body_size_bytes > self._server.body_size_bytes
        keep = self._parser.should_keep_alive()
        self._start()
        if too_large:
            self._refuse(_TOO_LARGE)
            return
        self._waiting.append((request, keep))
        if len(self._waiting) > _PIPELINE_MAX:
            self._refuse(400)
        elif self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    def close_if_idle(self) -> None:
        if self.idle and self._transport is not None:
            self._transport.close()

    async def _serve(self) -> None:
        try:
            while self._waiting:
                request, keep = self._waiting.popleft()
                response = await self._server.answer(request)
                if self._transport is None:
                    return
                close = self._server.stopping or not keep
                self._transport.write(
                    _message.response_bytes(response, close=close)
                )
                if close:
                    self._transport.close()
                    return
        finally:
            self._task = None

    def _refuse(self, status: int) -> None:
        if self._transport is not None and self._task is None:
            self._transport.write(
                _message.response_bytes(_message.Response(status), close=True)
            )
        if self._transport is not None:
            self._transport.close()
