"""Tests of calls to endpoints."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import unittest

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import timer

from tests.walnutpoint_entry.endpoints import scripted

_KIND = errors.ErrorKind


class CallTest(unittest.IsolatedAsyncioTestCase):
    """Calls that succeed, and calls that are never sent."""

    async def asyncSetUp(self) -> None:
        self.client = scripted.client()
        self.addAsyncCleanup(self.client.aclose)

    async def test_whole_answer_and_sent_fields(self) -> None:
        received = []

        async def script(reader, writer):
            received.append(await scripted.read_request(reader))
            writer.write(
                scripted.answer(b'yes', b'X-A: 1\r\nKeep-Alive: 9\r\n')
            )

        headers = (
            model.Header('Connection', 'X-Hop'),
            model.Header('X-Hop', '1'),
            model.Header('X-End', '2'),
            model.Header('Walnutpoint-Epoch', '99'),
        )
        async with scripted.Endpoint(script) as endpoint:
            call = scripted.call(endpoint.address, b'body', headers=headers)
            result = await self.client.call(call)
        self.assertEqual((200, b'yes'), (result.ok.status, result.ok.body))
        self.assertIn(model.Header('x-a', '1'), result.ok.headers)
        self.assertNotIn('keep-alive', [h.name for h in result.ok.headers])
        head, _, body = received[0].partition(b'\r\n\r\n')
        lines = head.split(b'\r\n')
        self.assertEqual((b'POST /run HTTP/1.1', b'body'), (lines[0], body))
        for line in (
            b'X-End: 2',
            b'Walnutpoint-Request-Id: r1',
            b'Walnutpoint-Team: akwaaba',
            b'Walnutpoint-Epoch: 7',
            b'Idempotency-Key: k1',
            b'Content-Length: 4',
        ):
            self.assertIn(line, lines)
        self.assertNotIn(b'X-Hop', head)
        self.assertEqual(1, head.lower().count(b'walnutpoint-epoch'))

    async def test_sequential_calls_reuse_the_connection(self) -> None:
        async with scripted.Endpoint(scripted.echo) as endpoint:
            for body in (b'one', b'two', b'three'):
                result = await self.client.call(
                    scripted.call(endpoint.address, body)
                )
                self.assertEqual(body, result.ok.body)
            self.assertEqual(1, endpoint.connections)
            self.assertEqual(1, self.client.open_connections(endpoint.address))

    async def test_concurrent_calls_use_separate_connections(self) -> None:
        async with scripted.Endpoint(scripted.echo) as endpoint:
            bodies = [str(number).encode() for number in range(8)]
            results = await asyncio.gather(
                *(
                    self.client.call(scripted.call(endpoint.address, body))
                    for body in bodies
                )
            )
            self.assertEqual(bodies, [result.ok.body for result in results])
            self.assertEqual(8, endpoint.connections)

    async def test_connection_limit_refuses_call(self) -> None:
        async def script(reader, writer):
            await reader.read()

        async with scripted.Endpoint(script) as endpoint:
            call = scripted.call(endpoint.address, connections_max=1)
            first = asyncio.create_task(self.client.call(call))
            await asyncio.sleep(0)
            second = await self.client.call(call)
            self.assertEqual(_KIND.NO_FREE_SLOT, second.error.kind)
            first.cancel()

    async def test_malformed_request_is_refused(self) -> None:
        async with scripted.Endpoint(scripted.echo) as endpoint:
            address = endpoint.address
            for call in (
                scripted.call(address, path='/a b'),
                scripted.call(address, path='/a\r\nX: y'),
                scripted.call(address, path='http://elsewhere/'),
                scripted.call(address, headers=(model.Header('A', 'b\r\nc'),)),
                scripted.call(address, headers=(model.Header('A', 'b\x01c'),)),
                scripted.call(address, headers=(model.Header('A b', 'c'),)),
                scripted.call(address, headers=(model.Header('A', '\u20ac'),)),
            ):
                result = await self.client.call(call)
                self.assertEqual(_KIND.BAD_REQUEST, result.error.kind)
            whole = await self.client.call(scripted.call(address, b'good'))
            self.assertEqual(b'good', whole.ok.body)

    async def test_sample_time_counts_from_the_request(self) -> None:
        async def script(reader, writer):
            await scripted.read_request(reader)
            body = b'{"running":1,"sampled_age_s":5,"running_ids":["a"]}'
            writer.write(scripted.answer(body))

        clock = timer.SystemTimer()
        earliest_s = clock.now_s() - 5
        async with scripted.Endpoint(script) as endpoint:
            report = (await self.client.usage(endpoint.address)).ok
        self.assertEqual(frozenset({'a'}), report.running_ids)
        self.assertLessEqual(earliest_s, report.sampled_not_before_s)
        self.assertLess(report.sampled_not_before_s, clock.now_s() - 5)

    async def test_invalid_usage_report_is_an_error(self) -> None:
        async def script(reader, writer):
            await scripted.read_request(reader)
            writer.write(scripted.answer(b'{"running":-1}'))

        async with scripted.Endpoint(script) as endpoint:
            result = await self.client.usage(endpoint.address)
        self.assertEqual(_KIND.ANSWER_CUT, result.error.kind)


class FailureTest(unittest.IsolatedAsyncioTestCase):
    """Failed calls and their error kinds."""

    async def asyncSetUp(self) -> None:
        self.client = scripted.client()
        self.addAsyncCleanup(self.client.aclose)

    async def _answered_with(self, data: bytes) -> errors.ErrorKind:
        async def script(reader, writer):
            await scripted.read_request(reader)
            writer.write(data)

        async with scripted.Endpoint(script) as endpoint:
            result = await self.client.call(scripted.call(endpoint.address))
        return result.error.kind

    async def test_cut_answer_is_never_whole(self) -> None:
        """An endpoint crashes in the middle of its answer.

        The result is ANSWER_CUT, never a truncated body. An answer without
        a declared length counts as cut too, since its end cannot be told
        from a broken connection.
        """
        whole = scripted.answer(b'0123456789')
        chunked = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        for data in (
            whole[:-1],
            whole[:20],
            chunked + b'3\r\nabc\r\n',
            b'HTTP/1.1 200 OK\r\n\r\nabc',
            b'HTTP/1.0 200 OK\r\n\r\nabc',
            b'nonsense\r\n\r\n',
            scripted.answer(b'x' * (scripted.ANSWER_SIZE_BYTES + 1)),
        ):
            kind = await self._answered_with(data)
            self.assertEqual(_KIND.ANSWER_CUT, kind, data[:60])

    async def test_close_without_answer_is_lost(self) -> None:
        """An endpoint reads the request and closes without an answer.

        The request may have run: the result is ANSWER_LOST (unknown), and
        the client does not retry it.
        """
        kind = await self._answered_with(b'')
        self.assertEqual(_KIND.ANSWER_LOST, kind)

    async def test_not_run_answer_is_refused(self) -> None:
        """An endpoint answers that it did not run the request.

        The result is ENDPOINT_REFUSED (not run); another may be tried.
        """
        kind = await self._answered_with(
            scripted.answer(b'', b'Walnutpoint-Outcome: not-run\r\n')
        )
        self.assertEqual(_KIND.ENDPOINT_REFUSED, kind)

    async def test_refused_connection_is_unreachable(self) -> None:
        """Nothing listens on the endpoint's port.

        Nothing was sent: the result is ENDPOINT_UNREACHABLE (not run).
        """
        with socket.create_server(('127.0.0.1', 0)) as server:
            host, port = server.getsockname()
        result = await self.client.call(scripted.call(f'{host}:{port}'))
        self.assertEqual(_KIND.ENDPOINT_UNREACHABLE, result.error.kind)

    async def test_false_guard_writes_nothing(self) -> None:
        """Ownership expires while the connection is being opened.

        The guard turns false before the first byte: nothing is sent, and
        the result is NOT_CONFIRMED (not run). The connection stays usable
        for the next call.
        """
        received = []

        async def script(reader, writer):
            received.append(await scripted.read_request(reader))
            writer.write(scripted.answer(b'second'))

        async with scripted.Endpoint(script) as endpoint:
            address = endpoint.address
            refused = await self.client.call(
                scripted.call(address, b'first', guard=lambda: False)
            )
            self.assertEqual(_KIND.NOT_CONFIRMED, refused.error.kind)
            result = await self.client.call(scripted.call(address, b'second'))
            self.assertEqual(b'second', result.ok.body)
            self.assertEqual(1, endpoint.connections)
        self.assertTrue(received[0].endswith(b'\r\n\r\nsecond'))

    async def test_late_answer_is_not_read_by_next_call(self) -> None:
        """An endpoint answers after the call's timeout.

        The first call ends as ANSWER_LATE. Its answer arrives once a second
        request reaches that connection or the connection ends; on a reused
        connection it would be read as the second call's answer.
        """

        async def script(reader, writer):
            request = await scripted.read_request(reader)
            if request.endswith(b'slow'):
                with contextlib.suppress(ConnectionError):
                    await scripted.read_request(reader)
            writer.write(scripted.answer(request.partition(b'\r\n\r\n')[2]))
            await scripted.read_request(reader)

        async with scripted.Endpoint(script) as endpoint:
            address = endpoint.address
            late = await self.client.call(
                scripted.call(address, b'slow', timeout_s=0.1)
            )
            self.assertEqual(_KIND.ANSWER_LATE, late.error.kind)
            result = await self.client.call(scripted.call(address, b'next'))
            self.assertEqual(b'next', result.ok.body)
            self.assertEqual(2, endpoint.connections)

    async def test_late_answer_is_told_from_a_silent_endpoint(self) -> None:
        """A slow transfer and a silent endpoint are reported alike."""

        async def script(reader, writer):
            request = await scripted.read_request(reader)
            if request.endswith(b'half'):
                writer.write(scripted.answer(b'half')[:-2])
            await scripted.read_request(reader)

        async with scripted.Endpoint(script) as endpoint:
            for body, expected in (
                (b'half', ' bytes received, the last 0.'),
                (b'none', 'no answer 0.'),
            ):
                late = await self.client.call(
                    scripted.call(endpoint.address, body, timeout_s=0.1)
                )
                self.assertEqual(_KIND.ANSWER_LATE, late.error.kind)
                self.assertIn(expected, late.error.detail)

    async def test_surplus_answer_is_not_read_by_next_call(self) -> None:
        """An endpoint sends two answers to one request.

        The connection is closed, or the next call would read the surplus
        answer as its own.
        """

        async def script(reader, writer):
            request = await scripted.read_request(reader)
            body = request.partition(b'\r\n\r\n')[2]
            writer.write(scripted.answer(body) + scripted.answer(b'surplus'))
            await scripted.read_request(reader)

        async with scripted.Endpoint(script) as endpoint:
            for body in (b'one', b'two'):
                result = await self.client.call(
                    scripted.call(endpoint.address, body)
                )
                self.assertEqual(body, result.ok.body)
            self.assertEqual(2, endpoint.connections)

    async def test_connection_closed_between_calls_is_not_used(self) -> None:
        """An endpoint closes an idle connection without announcing it.

        The loop is busy and has not processed the close when the next call
        starts. Written there, the request would be lost with an unknown
        outcome; it must use a new connection.
        """
        socks = []

        async def script(reader, writer):
            request = await scripted.read_request(reader)
            writer.write(scripted.answer(request.partition(b'\r\n\r\n')[2]))
            socks.append(writer.get_extra_info('socket'))
            await scripted.read_request(reader)

        async with scripted.Endpoint(script) as endpoint:
            address = endpoint.address
            await self.client.call(scripted.call(address, b'one'))
            socks[0].shutdown(socket.SHUT_RDWR)
            result = await self.client.call(scripted.call(address, b'two'))
            self.assertEqual(b'two', result.ok.body)
            self.assertEqual(2, endpoint.connections)

    async def test_stale_idle_connection_is_not_used(self) -> None:
        """A middlebox has dropped the state of an idle connection.

        A request on it gets no answer and has an unknown outcome; even an
        idempotent one has no time left for a retry when this is noticed.
        """
        client = scripted.client(fresh_connection_s=0.02)
        self.addAsyncCleanup(client.aclose)
        async with scripted.Endpoint(scripted.echo) as endpoint:
            address = endpoint.address
            await client.call(scripted.call(address))
            await asyncio.sleep(0.05)
            await client.call(scripted.call(address, idempotent=True))
            self.assertEqual(2, endpoint.connections)
            await asyncio.sleep(0.05)
            await client.call(scripted.call(address))
            self.assertEqual(3, endpoint.connections)

    async def test_cancelled_call_closes_its_connection(self) -> None:
        """The caller disconnects while the endpoint runs the request.

        The cancellation is raised to the holder of the slot; the connection
        is closed and not reused.
        """
        started = asyncio.Event()

        async def script(reader, writer):
            await scripted.read_request(reader)
            started.set()
            await reader.read()

        async with scripted.Endpoint(script) as endpoint:
            task = asyncio.create_task(
                self.client.call(scripted.call(endpoint.address))
            )
            await started.wait()
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task
            self.assertEqual(0, self.client.open_connections(endpoint.address))
            await endpoint.ended.wait()

    async def test_call_cancelled_before_its_write_is_not_sent(self) -> None:
        """The call is cancelled between its hand-over and the write.

        An idle connection has accepted it but its task has not run yet. A
        write would run the request without a caller; nothing is sent.
        """
        received = []

        async def script(reader, writer):
            while request := await scripted.read_request(reader):
                received.append(request[-3:])
                writer.write(scripted.answer(b''))

        async with scripted.Endpoint(script) as endpoint:
            address = endpoint.address
            await self.client.call(scripted.call(address, b'one'))
            task = asyncio.create_task(
                self.client.call(scripted.call(address, b'two'))
            )
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])
            self.assertTrue(task.cancelled())
            await self.client.call(scripted.call(address, b'six'))
        self.assertEqual([b'one', b'six'], received)

    async def test_cancelled_request_is_not_delivered(self) -> None:
        """A call is cancelled while its request is in the send buffer.

        After a plain close the kernel would deliver the rest, and the
        endpoint would start a request that its usage report did not show.
        After a reset the endpoint never receives the whole request.
        """
        cancelled = asyncio.Event()
        whole = []

        async def script(reader, writer):
            await reader.readexactly(1)
            await cancelled.wait()
            whole.append(await scripted.read_request(reader))

        async with scripted.Endpoint(script, 4096) as endpoint:
            task = asyncio.create_task(
                self.client.call(
                    scripted.call(endpoint.address, b'x' * 400_000)
                )
            )
            while not endpoint.connections:
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])
            await self.client.aclose()
            cancelled.set()
            await endpoint.ended.wait()
        self.assertEqual(0, len(whole))

    async def test_forget_closes_busy_connection_after_call(self) -> None:
        """An endpoint is removed while its only connection is busy.

        The call ends normally and its connection is closed, as nothing
        would close it later.
        """
        async with scripted.Endpoint(scripted.echo) as endpoint:
            address = endpoint.address

            def forget() -> bool:
                self.client.forget(address)
                return True

            call = scripted.call(address, b'last', guard=forget)
            self.assertEqual(b'last', (await self.client.call(call)).ok.body)
            await endpoint.ended.wait()
            self.assertEqual(0, self.client.open_connections(address))

    async def test_forget_and_close(self) -> None:
        """An endpoint is removed during a call; then the client is closed.

        Its idle connections are closed; the call in progress ends as lost
        when the client is closed, and a later call is refused as not run.
        """
        started = asyncio.Event()

        async def script(reader, writer):
            while request := await scripted.read_request(reader):
                if request.endswith(b'slow'):
                    started.set()
                    await reader.read()
                writer.write(scripted.answer(b''))

        async with scripted.Endpoint(script) as endpoint:
            address = endpoint.address
            slow = asyncio.create_task(
                self.client.call(scripted.call(address, b'slow'))
            )
            await started.wait()
            await self.client.call(scripted.call(address))
            self.client.forget(address)
            await endpoint.ended.wait()
            self.assertEqual(1, self.client.open_connections(address))
            await self.client.aclose()
            self.assertEqual(_KIND.ANSWER_LOST, (await slow).error.kind)
            refused = await self.client.call(scripted.call(address))
            self.assertEqual(_KIND.STOPPING, refused.error.kind)
