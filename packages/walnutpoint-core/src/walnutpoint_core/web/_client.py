"""A client that keeps a few connections to each address."""

from __future__ import annotations

import collections

from walnutpoint_core.web import _connection
from walnutpoint_core.web import _message

__all__ = ('Client',)


class Client:
    """Exchanges over pooled connections, each bounded in time."""

    __slots__ = ('_connect_timeout_s', '_idle', '_idle_max', 'opened')

    def __init__(
        self, connect_timeout_s: float = 0.5, idle_max: int = 8
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_max = idle_max
        self._idle: dict[
            str, collections.deque[_connection.ClientConnection]
        ] = {}
        self.opened = 0

    async def exchange(
        self, address: str, request: _message.Request, timeout_s: float
    ) -> _message.Response | _message.Loss:
        """Send a request to an address and read its whole response."""
        connection = self._take(address)
        if connection is None:
            self.opened += 1
            opened = await _connection.connect(
                address, min(timeout_s, self._connect_timeout_s)
            )
            if isinstance(opened, _message.Loss):
                return opened
            connection = opened
        answer = await connection.exchange(request, timeout_s)
        if isinstance(answer, _message.Loss):
            # A path that lost its state swallows what is sent on every old
            # connection: the others would each cost one more timeout.
            self.forget(address)
        elif connection.is_open:
            self._keep(connection)
        return answer

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.forget(address)

    def _take(self, address: str) -> _connection.ClientConnection | None:
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_open:
                return connection
        return None

    def _keep(self, connection: _connection.ClientConnection) -> None:
        idle = self._idle.setdefault(connection.address, collections.deque())
        if len(idle) >= self._idle_max:
            idle.popleft().close()
        idle.append(connection)
