"""A client connection with one request in flight at a time."""

from __future__ import annotations

import asyncio
import socket
import typing

import httptools

from walnutpoint_core.web import _address
from walnutpoint_core.web import _message

__all__ = (
    'ClientConnection',
    'connect',
)

# Linux option: closes a connection whose data stays unacknowledged. After
# the network path lost its state, requests would vanish for many minutes.
_TCP_USER_TIMEOUT: typing.Final = getattr(socket, 'TCP_USER_TIMEOUT', 18)
# Above every request timeout, below the shutdown time of a process.
USER_TIMEOUT_MS: typing.Final = 3000
# Bounds a response that is still arriving: a megabyte, the largest stored
# value, takes 2.2 s with its encoding on 5 Mbit/s.
_TRANSFER_MAX_S: typing.Final = 5.0
# Characters of an invalid address that an error shows.
_SHOWN_MAX: typing.Final = 100


class ClientConnection(asyncio.Protocol):
    """A connection that carries exchanges one after the other."""

    __slots__ = (
        '_body',
        '_headers',
        '_parser',
        '_received_s',
        '_timeout_handle',
        '_transport',
        '_waiter',
        'address',
        'is_open',
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_open = False
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[_message.Response] | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._timeout_handle: asyncio.TimerHandle | None = None
        # Time of the latest data of a response.
        self._received_s = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the socket."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Feed received data to the response parser."""
        if self._parser is None:
            self.close()
            return
        self._received_s = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f'unreadable response: {error}')
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in flight."""
        self.is_open = False
        self._fail(f'connection lost: {exc or "closed by the other side"}')

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a response header."""
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Pass the whole response to the waiting caller."""
        parser, waiter = self._parser, self._waiter
        self._parser = self._waiter = None
        if parser is None or waiter is None or waiter.done():
            return
        if not parser.should_keep_alive():
            self.close()
        waiter.set_result(
            _message.Response(
                parser.get_status_code(), b''.join(self._body), self._headers
            )
        )

    async def exchange(
        self, request: _message.Request, timeout_s: float
    ) -> _message.Response | _message.NoResponse:
        """Send a request and read its whole response.

        The timeout restarts with each chunk of the response.
        """
        if not self.is_open or self._transport is None:
            return _message.NoResponse(False, 'connection is closed')
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._headers = {}
        self._body = []
        self._transport.write(_message.request_bytes(self.address, request))
        self._timeout_handle = loop.call_later(
            timeout_s, self._on_timeout, waiter, timeout_s, loop.time()
        )
        try:
            return await waiter
        except ConnectionError as error:
            return _message.NoResponse(True, str(error))
        finally:
            self._timeout_handle.cancel()
            if not waiter.done() or waiter.cancelled():
                self.close()

    def close(self) -> None:
        """Close the connection; an exchange in flight gets no response."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _on_timeout(
        self,
        waiter: asyncio.Future[_message.Response],
        timeout_s: float,
        started_s: float,
    ) -> None:
        if self._waiter is not waiter:
            return
        loop = asyncio.get_running_loop()
        remaining_s = self._received_s + timeout_s - loop.time()
        # 400 kB of configuration take 0.7 s on a link of 5 Mbit/s, longer
        # than the timeout: a total bound would fail every attempt.
        if self._received_s > started_s and remaining_s > 0.0:
            if loop.time() - started_s < _TRANSFER_MAX_S:
                self._timeout_handle = loop.call_later(
                    remaining_s, self._on_timeout, waiter, timeout_s, started_s
                )
                return
        self._fail(f'no response within {timeout_s:g} s')
        self.close()

    def _fail(self, detail: str) -> None:
        waiter = self._waiter
        self._parser = self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ConnectionError(detail))


async def connect(
    address: str, timeout_s: float
) -> ClientConnection | _message.NoResponse:
    """Open a connection within a timeout."""
    parsed = _address.parse(address)
    if parsed is None:
        return _message.NoResponse(
            False, f'no connection: not an address: {address[:_SHOWN_MAX]!r}'
        )
    host, port = parsed
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(address), host, port
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # The last two are of a host that the resolver can't take.
        return _message.NoResponse(
            False, f'no connection: {type(error).__name__} {error}'
        )
    return connection
