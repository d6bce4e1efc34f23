"""The connection pool of one endpoint, with a task per connection."""

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
    """Connections to one endpoint; calls never queue for one."""

    __slots__ = (
        '_address',
        '_closing_tasks',
        '_generation',
        '_idle',
        '_settings',
        '_size_max_bytes',
        '_tasks',
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
        self._tasks: dict[asyncio.Task[None], _call.PendingCall | None] = {}
        self._closing_tasks: set[asyncio.Task[None]] = set()

    @property
    def open_connections(self) -> int:
        """Return the number of open and opening connections."""
        return len(self._tasks) - len(self._closing_tasks)

    @property
    def is_unused(self) -> bool:
        """Return whether the pool has no connections."""
        return not self._tasks

    async def call(self, pending_call: _call.PendingCall) -> _call.CallResult:
        """Run a call on an idle connection or on a new one.

        A cancelled call's connection is discarded; whether the request ran
        is then unknown, and the caller must count its slot as doubtful.
        """
        self._dispatch(pending_call)
        try:
            return await pending_call.result()
        except asyncio.CancelledError:
            self._cancel_task(pending_call)
            raise

    def close_idle(self) -> None:
        """Close idle connections, and the busy ones after their call."""
        self._generation += 1
        for connection in self._idle:
            connection.hand_over(None)
        self._idle.clear()

    async def aclose(self) -> None:
        """Close all connections, including the busy ones."""
        self.close_idle()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _dispatch(self, pending_call: _call.PendingCall) -> None:
        if not pending_call.single_use and self._reuse_idle(pending_call):
            return
        if self.open_connections >= self.connections_max:
            self._close_oldest_idle()
        if self.open_connections >= self.connections_max:
            kind = errors.ErrorKind.NO_FREE_SLOT
            detail = f'{self._address}: every connection is in use'
            pending_call.settle(expression.Error(errors.Failure(kind, detail)))
            return
        task = asyncio.create_task(self._run_connection(pending_call))
        self._tasks[task] = pending_call
        task.add_done_callback(self._on_task_done)

    def _reuse_idle(self, pending_call: _call.PendingCall) -> bool:
        # Most recently used first: a middlebox is least likely to have
        # dropped its state. On a dropped connection the request gets no
        # answer: its outcome is unknown, and an idempotent one has no time
        # left when that is noticed. A new connection costs a round trip.
        while self._idle:
            connection = self._idle.pop()
            idle_s = self._timer.now_s() - connection.idle_since_s
            if (
                idle_s <= self._settings.fresh_connection_s
                and connection.is_reusable
                and connection.hand_over(pending_call)
            ):
                return True
            connection.hand_over(None)
        return False

    def _close_oldest_idle(self) -> None:
        if self._idle:
            self._idle.pop(0).hand_over(None)

    def _cancel_task(self, pending_call: _call.PendingCall) -> None:
        for task, current_call in self._tasks.items():
            if current_call is pending_call:
                self._closing_tasks.add(task)
                task.cancel()
                return

    async def _run_connection(self, first: _call.PendingCall) -> None:
        task = asyncio.current_task()
        assert task is not None
        if self._closing_tasks:
            # Opening before their sockets close would exceed the limit.
            await asyncio.wait(set(self._closing_tasks))
        connection = _connection.Connection(
            self._timer, self._size_max_bytes, self._settings.transit_s
        )
        try:
            await self._run_calls(task, connection, first)
        except asyncio.CancelledError:
            connection.discard()
            raise
        finally:
            self._closing_tasks.add(task)
            if connection in self._idle:
                self._idle.remove(connection)
            await connection.close()

    async def _run_calls(
        self,
        task: asyncio.Task[None],
        connection: _connection.Connection,
        first: _call.PendingCall,
    ) -> None:
        generation = self._generation
        pending_call: _call.PendingCall | None = first
        opened = await self._open(connection, first)
        if opened.is_error():
            first.settle(expression.Error(opened.error))
            return
        while pending_call is not None:
            self._tasks[task] = pending_call
            result = await connection.exchange(pending_call)
            self._tasks[task] = None
            if result is None:
                self._closing_tasks.add(task)
                self._redispatch(pending_call, is_new=pending_call is first)
                return
            pending_call.settle(result)
            if (
                pending_call.single_use
                or generation != self._generation
                or not connection.is_reusable
            ):
                self._closing_tasks.add(task)
                return
            connection.idle_since_s = self._timer.now_s()
            self._idle.append(connection)
            pending_call = await connection.next_call(
                self._settings.fresh_connection_s
            )

    async def _open(
        self,
        connection: _connection.Connection,
        pending_call: _call.PendingCall,
    ) -> expression.Result[None, errors.Failure]:
        remaining_s = pending_call.timeout_at_s - self._timer.now_s()
        timeout_s = min(remaining_s, self._settings.connect_timeout_s)
        return await _connection.connect(self._address, timeout_s, connection)

    def _redispatch(
        self, pending_call: _call.PendingCall, *, is_new: bool
    ) -> None:
        if not is_new:
            self._dispatch(pending_call)
            return
        kind = errors.ErrorKind.ENDPOINT_UNREACHABLE
        detail = f'{self._address}: closed as soon as it was opened'
        pending_call.settle(expression.Error(errors.Failure(kind, detail)))

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        pending_call = self._tasks.pop(task)
        self._closing_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error(
                'connection_failed',
                endpoint=self._address,
                error=repr(task.exception()),
            )
        if pending_call is not None:
            pending_call.settle(_unfinished_result(pending_call))


def _unfinished_result(pending_call: _call.PendingCall) -> _call.CallResult:
    if pending_call.is_written:
        kind = errors.ErrorKind.ANSWER_LOST
    else:
        kind = errors.ErrorKind.STOPPING
    return expression.Error(errors.Failure(kind, 'the connection was ended'))
