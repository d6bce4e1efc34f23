"""The client for all endpoints that this process places work on."""

from __future__ import annotations

import typing

import expression
from walnutpoint_core import errors
from walnutpoint_core import settings
from walnutpoint_core import timer

from walnutpoint_entry.endpoints import _call
from walnutpoint_entry.endpoints import _message
from walnutpoint_entry.endpoints import _pool
from walnutpoint_entry.endpoints import _usage


class EndpointClient:
    """Call endpoints over pooled connections.

    On asyncio's own loop, transports send within write(), right after the
    guard's check; a loop that sends later delays the send after the check.
    """

    __slots__ = (
        '_answer_size_bytes',
        '_is_closed',
        '_pools',
        '_settings',
        '_timer',
    )

    def __init__(
        self,
        timer_: timer.Timer,
        placement: settings.PlacementSettings,
        answer_size_bytes: int,
    ) -> None:
        self._timer = timer_
        self._settings = placement
        self._answer_size_bytes = answer_size_bytes
        self._pools: dict[str, _pool.ConnectionPool] = {}
        self._is_closed = False

    async def call(
        self, call: _call.EndpointCall
    ) -> expression.Result[_call.EndpointReply, errors.Failure]:
        """Send a request to an endpoint and return its whole answer.

        Cancellation discards the connection and is raised again; the caller
        must then count the slot as doubtful.
        """
        if self._is_closed:
            return _client_closed()
        pool = self._pool(call.address)
        pool.connections_max = call.connections_max
        pending_call = _call.PendingCall(
            _message.from_request(call.address, call.request, call.epoch),
            call.guard,
            self._timer.now_s() + call.timeout_s,
            late_answer_s=call.late_answer_s,
        )
        return await pool.call(pending_call)

    async def usage(
        self, address: str
    ) -> expression.Result[_usage.UsageReport, errors.Failure]:
        """Request an endpoint's usage report, on a separate connection."""
        if self._is_closed:
            return _client_closed()
        requested_at_s = self._timer.now_s()
        timeout_s = (
            self._settings.connect_timeout_s + self._settings.usage_period_s
        )
        pending_call = _call.PendingCall(
            _usage.request_message(address),
            _always,
            requested_at_s + timeout_s,
            single_use=True,
        )
        result = await self._pool(address).call(pending_call)
        return result.bind(lambda reply: _usage.decode(reply, requested_at_s))

    def forget(self, address: str) -> None:
        """Close an endpoint's connections, the busy ones after their call."""
        pool = self._pools.get(address)
        if pool is not None:
            pool.close_idle()

    def open_connections(self, address: str) -> int:
        """Return the number of open connections to an endpoint."""
        pool = self._pools.get(address)
        return 0 if pool is None else pool.open_connections

    async def aclose(self) -> None:
        """Close all connections and refuse further calls."""
        self._is_closed = True
        for pool in tuple(self._pools.values()):
            await pool.aclose()
        self._pools.clear()

    def _pool(self, address: str) -> _pool.ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            self._drop_unused()
            pool = _pool.ConnectionPool(
                address, self._timer, self._settings, self._answer_size_bytes
            )
            self._pools[address] = pool
        return pool

    def _drop_unused(self) -> None:
        for address in tuple(self._pools):
            if self._pools[address].is_unused:
                del self._pools[address]


def _always() -> bool:
    return True


def _client_closed() -> expression.Result[typing.Any, errors.Failure]:
    return expression.Error(
        errors.Failure(errors.ErrorKind.STOPPING, 'the client is closed')
    )
