"""The identity of a process, and the network between processes."""

from __future__ import annotations

import typing

from walnutpoint_core import web

__all__ = (
    'HttpNetwork',
    'Identity',
    'Listener',
    'Network',
)

# Limit of a message between processes; a read of all jobs fits.
_PEER_BODY_SIZE_BYTES: typing.Final = 64 * 1024 * 1024
_CONNECT_TIMEOUT_S: typing.Final = 0.3
_IDLE_CONNECTIONS: typing.Final = 4


class Identity:
    """The name, addresses, domain and strength of a process."""

    __slots__ = ('domain', 'name', 'peer_address', 'seeds', 'strength')

    def __init__(
        self,
        name: str,
        peer_address: str,
        domain: str,
        seeds: tuple[str, ...],
        strength: float = 1.0,
    ) -> None:
        self.strength = strength
        self.name = name
        self.peer_address = peer_address
        self.domain = domain
        self.seeds = seeds


class Listener(typing.Protocol):
    """A server at one address."""

    async def start(self) -> None:
        """Start serving."""


class Network(typing.Protocol):
    """Transport between the processes of the system."""

    async def exchange(
        self, address: str, request: web.Request, timeout_s: float
    ) -> web.Response | web.NoResponse:
        """Send a request and read its whole response."""

    def server(self, address: str, handler: web.Handler) -> Listener:
        """Return a listener that passes requests to a handler."""


class HttpNetwork:
    """Transport over HTTP and TCP."""

    __slots__ = ('_client',)

    def __init__(self) -> None:
        self._client = web.Client(_CONNECT_TIMEOUT_S, _IDLE_CONNECTIONS)

    async def exchange(
        self, address: str, request: web.Request, timeout_s: float
    ) -> web.Response | web.NoResponse:
        """Send a request and read its whole response."""
        return await self._client.exchange(address, request, timeout_s)

    def server(self, address: str, handler: web.Handler) -> Listener:
        """Return a listener that passes requests to a handler."""
        return web.Server(address, handler, _PEER_BODY_SIZE_BYTES)
