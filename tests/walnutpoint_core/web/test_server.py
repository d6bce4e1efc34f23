"""Tests of draining the HTTP server."""

from __future__ import annotations

import asyncio
import time
import unittest

from walnutpoint_core import web

_HEAD = b'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n'
_BODY = b'body'
_TIMEOUT_S = 5.0


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """One client connection that has had an answer."""

    async def asyncSetUp(self) -> None:
        self.handled = 0
        self.server = web.Server('127.0.0.1:0', self._answer, 1000)
        await self.server.start()
        self.addCleanup(self.server.stop_listening)
        host, port = self.server.address
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.addCleanup(self.writer.close)
        self.writer.write(_HEAD + _BODY)
        self.assertIn(b'200 OK', await self._read())

    async def _answer(self, request: web.Request) -> web.Response:
        self.handled += 1
        return web.Response(200, request.body)

    async def _read(self) -> bytes:
        async with asyncio.timeout(_TIMEOUT_S):
            return await self.reader.read(4096)

    def _drain(self) -> None:
        self.server.stop_listening()
        self.server.start_draining()

    async def _assert_answered_and_closed(self) -> None:
        answer = await self._read()
        self.assertIn(b'200 OK', answer)
        self.assertIn(b'Connection: close', answer)
        self.assertEqual(b'', await self._read())
        self.assertEqual(2, self.handled)
        self.assertEqual(0, self.server.in_progress)

    async def test_idle_connection_is_closed_at_once(self) -> None:
        self.assertEqual(0, self.server.in_progress)
        self._drain()
        self.assertEqual(b'', await self._read())

    async def test_announced_close_ends_connections_by_an_answer(self) -> None:
        """A client sends a request while the server closes its connection.

        Clients can't tell whether that request was handled, so the server
        ends connections by announcement as long as it can.
        """
        self.server.announce_close()
        self.writer.write(_HEAD + _BODY)
        await self._assert_answered_and_closed()

    async def test_half_received_request_is_answered(self) -> None:
        """A stop resets a connection on which half of a request came."""
        self.writer.write(_HEAD)
        await asyncio.sleep(0.05)
        self._drain()
        self.assertEqual(1, self.server.in_progress)
        self.writer.write(_BODY)
        await self._assert_answered_and_closed()

    async def test_unread_request_is_answered(self) -> None:
        """A stop resets a connection with a request in its socket buffer.

        The process was too busy to read the request before the stop.
        """
        self.writer.write(_HEAD + _BODY)
        time.sleep(0.05)
        self._drain()
        self.assertEqual(1, self.server.in_progress)
        await self._assert_answered_and_closed()
