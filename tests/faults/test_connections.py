"""Tests of client connections that stay open across requests and stops."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import typing
import unittest

from tests.faults import cluster as clusters
from tests.faults import load as loads
from tests.faults import scenarios

_CALLER_PORT: typing.Final = 8080
_CLIENTS: typing.Final = 30
_ANSWER_TIMEOUT_S: typing.Final = 5.0
# Longer than the idle limit of the clients of the fault matrix, 5 s.
_IDLE_S: typing.Final = 6.0
_REQUEST: typing.Final = (
    b'POST /v1/requests/work HTTP/1.1\r\nhost: entry\r\n'
    b'content-length: 4\r\nx-run-s: 0.01\r\n\r\nbody'
)


class _Unanswered(Exception):
    """The connection ended before the whole answer."""


class _Connection:
    """A client connection that sends one request after the other."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.must_close = False

    @classmethod
    async def open(cls, host: str) -> _Connection:
        """Connect to the caller port of an entry."""
        return cls(*await asyncio.open_connection(host, _CALLER_PORT))

    @property
    def is_closed(self) -> bool:
        """Return whether the entry has closed the connection."""
        return self._reader.at_eof()

    async def exchange(self) -> int:
        """Send a request; return the status of its whole answer."""
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                self._writer.write(_REQUEST)
                head = await self._reader.readuntil(b'\r\n\r\n')
                status_line, *lines = head.decode().strip().split('\r\n')
                headers = dict(line.lower().split(': ', 1) for line in lines)
                await self._reader.readexactly(int(headers['content-length']))
        except (EOFError, OSError) as error:
            raise _Unanswered(repr(error)) from error
        self.must_close = headers.get('connection') == 'close'
        return int(status_line.split()[1])

    async def close(self) -> None:
        """Close the connection."""
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()


class _Client:
    """Sends requests on one connection until it is told to close it."""

    def __init__(self, connection: _Connection) -> None:
        self._connection = connection
        self.answers = 0
        self.fault = ''

    async def run(self) -> None:
        """Send the next request right after each answer."""
        connection = self._connection
        while not connection.must_close and not connection.is_closed:
            try:
                await connection.exchange()
            except _Unanswered as error:
                self.fault = f'after {self.answers} answers: {error}'
                break
            self.answers += 1
        await connection.close()


class ConnectionTest(unittest.TestCase):
    """A request on an open connection is answered."""

    def test_connection_outlives_the_idle_limit_of_clients(self) -> None:
        """The server closes an idle connection before its client does.

        A request that is sent at that moment gets no answer.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            connection = await _Connection.open(cluster.entries[0].host)
            self.assertEqual(200, await connection.exchange())
            await asyncio.sleep(_IDLE_S)
            self.assertFalse(connection.is_closed)
            self.assertEqual(200, await connection.exchange())
            await connection.close()

        scenarios.run(scenario)

    def test_stop_answers_requests_on_open_connections(self) -> None:
        """A stopping server closes a connection that it had not announced.

        The client's next request, sent right after an answer, gets none.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            entry = cluster.entries[0]
            clients = [
                _Client(await _Connection.open(entry.host))
                for _ in range(_CLIENTS)
            ]
            async with asyncio.TaskGroup() as tasks:
                for client in clients:
                    tasks.create_task(client.run())
                await asyncio.sleep(0.5)
                entry.send_signal(signal.SIGTERM)
                self.assertEqual(0, await entry.wait_stopped())
            for client in clients:
                self.assertEqual('', client.fault)
                self.assertGreater(client.answers, 0)

        scenarios.run(scenario)
