"""The connections to one endpoint, a task for each."""

from __future__ import annotations

import asyncio

import expression
from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import settings
from walnutpoint_core import timer

from walnutpoint_entry.endpoints import _call
from walnutpoint_entry.endpoints import _connection

_LOG = logs.get_logger(__name__)


class ConnectionPool:
    """The connections to one endpoint; no call waits behind another."""

    __slots__ = (
        '_address',
        '_carriers',
        '_closing',
        '_generation',
        '_idle',
        '_settings',
        '_size_max_bytes',
        '_timer',
        'connections_max',
    )

    def __init__(
        self,
        address: str,
        timer_: timer.Timer,
        placement: settings.PlacementSettings,
        size_max_bytes: int,
    ) -> None:
        self.connections_max = _call.CONNECTIONS_MAX
        self._address = address
        self._timer = timer_
        self._settings = placement
        self._size_max_bytes = size_max_bytes
        self._generation = 0
        self._idle: list[_connection.Connection] = []
        self._carriers: dict[asyncio.Task[None], _call.Assignment | None] = {}
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def open_connections(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._carriers) - len(self._closing)

    @property
    def is_unused(self) -> bool:
        """Return whether no connection is left."""
        return not self._carriers

    async def call(self, assignment: _call.Assignment) -> _call.CallResult:
        """Carry an assignment on an idle connection or on a new one.

        A cancelled call's connection is discarded; whether the request ran
        is then unknown, so the caller has to hold its slot in doubt.
        """
        self._assign(assignment)
        try:
            return await assignment.result()
        except asyncio.CancelledError:
            self._abandon(assignment)
            raise

    def close_idle(self) -> None:
        """Close idle connections; let the busy ones end after their call."""
        self._generation += 1
        for connection in self._idle:
            connection.give(None)
        self._idle.clear()

    async def aclose(self) -> None:
        """Close every connection, also the busy ones."""
        self.close_idle()
        carriers = tuple(self._carriers)
        for carrier in carriers:
            carrier.cancel()
        await asyncio.gather(*carriers, return_exceptions=True)

    def _assign(self, assignment: _call.Assignment) -> None:
        if not assignment.single_use and self._give(assignment):
            return
        if self.open_connections >= self.connections_max:
            self._close_oldest_idle()
        if self.open_connections >= self.connections_max:
            kind = errors.ErrorKind.NO_FREE_SLOT
            detail = f'{self._address}: every connection is in use'
            assignment.settle(expression.Error(errors.Failure(kind, detail)))
            return
        carrier = asyncio.create_task(self._carry(assignment))
        self._carriers[carrier] = assignment
        carrier.add_done_callback(self._ended)

    def _give(self, assignment: _call.Assignment) -> bool:
        # The newest idle connection is the likeliest to be known to whatever
        # stands between. On one that is forgotten there, the request gets no
        # answer: whether it ran is not known, and one that may run twice has
        # lost its time when that is noticed. A new one costs a round trip.
        while self._idle:
            connection = self._idle.pop()
            idle_s = self._timer.now_s() - connection.idle_since_s
            if (
                idle_s <= self._settings.fresh_connection_s
                and connection.is_reusable
                and connection.give(assignment)
            ):
                return True
            connection.give(None)
        return False

    def _close_oldest_idle(self) -> None:
        if self._idle:
            self._idle.pop(0).give(None)

    def _abandon(self, assignment: _call.Assignment) -> None:
        for carrier, carried in self._carriers.items():
            if carried is assignment:
                self._closing.add(carrier)
                carrier.cancel()
                return

    async def _carry(self, first: _call.Assignment) -> None:
        carrier = asyncio.current_task()
        assert carrier is not None
        if self._closing:
            # Their sockets close first, or the limit would be passed.
            await asyncio.wait(set(self._closing))
        connection = _connection.Connection(
            self._timer, self._size_max_bytes, self._settings.transit_s
        )
        try:
            await self._serve(carrier, connection, first)
        except asyncio.CancelledError:
            connection.discard()
            raise
        finally:
            self._closing.add(carrier)
            if connection in self._idle:
                self._idle.remove(connection)
            await connection.close()

    async def _serve(
        self,
        carrier: asyncio.Task[None],
        connection: _connection.Connection,
        first: _call.Assignment,
    ) -> None:
        generation = self._generation
        assignment: _call.Assignment | None = first
        opened = await self._open(connection, first)
        if opened.is_error():
            first.settle(expression.Error(opened.error))
            return
        while assignment is not None:
            self._carriers[carrier] = assignment
            result = await connection.exchange(assignment)
            self._carriers[carrier] = None
            if result is None:
                self._closing.add(carrier)
                self._carry_elsewhere(assignment, is_new=assignment is first)
                return
            assignment.settle(result)
            if (
                assignment.single_use
                or generation != self._generation
                or not connection.is_reusable
            ):
                self._closing.add(carrier)
                return
            connection.idle_since_s = self._timer.now_s()
            self._idle.append(connection)
            assignment = await connection.next_assignment(
                self._settings.fresh_connection_s
            )

    async def _open(
        self,
        connection: _connection.Connection,
        assignment: _call.Assignment,
    ) -> expression.Result[None, errors.Failure]:
        remaining_s = assignment.ends_at_s - self._timer.now_s()
        timeout_s = min(remaining_s, self._settings.connect_timeout_s)
        return await _connection.connect(self._address, timeout_s, connection)

    def _carry_elsewhere(
        self, assignment: _call.Assignment, *, is_new: bool
    ) -> None:
        if not is_new:
            self._assign(assignment)
            return
        kind = errors.ErrorKind.ENDPOINT_UNREACHABLE
        detail = f'{self._address}: closed as soon as it was opened'
        assignment.settle(expression.Error(errors.Failure(kind, detail)))

    def _ended(self, carrier: asyncio.Task[None]) -> None:
        assignment = self._carriers.pop(carrier)
        self._closing.discard(carrier)
        if not carrier.cancelled() and carrier.exception() is not None:
            _LOG.error(
                'connection_failed',
                endpoint=self._address,
                error=repr(carrier.exception()),
            )
        if assignment is not None:
            assignment.settle(_unfinished(assignment))


def _unfinished(assignment: _call.Assignment) -> _call.CallResult:
    if assignment.is_written:
        kind = errors.ErrorKind.ANSWER_LOST
    else:
        kind = errors.ErrorKind.STOPPING
    return expression.Error(errors.Failure(kind, 'the connection was ended'))
