"""An HTTP client with a small connection pool for each address."""

from __future__ import annotations

import collections

from walnutpoint_core.web import _connection
from walnutpoint_core.web import _message

__all__ = ('Client',)


class Client:
    """Sends requests over pooled connections, each with a timeout."""

    __slots__ = (
        '_connect_timeout_s',
        '_idle',
        '_idle_max',
        'opened_connections',
    )

    def __init__(
        self, connect_timeout_s: float = 0.5, idle_max: int = 8
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_max = idle_max
        self._idle: dict[
            str, collections.deque[_connection.ClientConnection]
        ] = {}
        self.opened_connections = 0

    async def exchange(
        self, address: str, request: _message.Request, timeout_s: float
    ) -> _message.Response | _message.NoResponse:
        """Send a request to an address and read its whole response."""
        connection = self._pop_idle(address)
        if connection is None:
            self.opened_connections += 1
            connected = await _connection.connect(
                address, min(timeout_s, self._connect_timeout_s)
            )
            if isinstance(connected, _message.NoResponse):
                return connected
            connection = connected
        answer = await connection.exchange(request, timeout_s)
        if isinstance(answer, _message.NoResponse):
            # When the network path lost its connection state, each other
            # idle connection would cost one more timeout.
            self.close_idle(address)
        elif connection.is_open:
            self._return_idle(connection)
        return answer

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.close_idle(address)

    def _pop_idle(self, address: str) -> _connection.ClientConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_open:
                return connection
        return None

    def _return_idle(self, connection: _connection.ClientConnection) -> None:
        idle = self._idle.setdefault(connection.address, collections.deque())
        if len(idle) >= self._idle_max:
            idle.popleft().close()
        idle.append(connection)
