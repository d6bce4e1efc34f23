"""HTTP/1.1 over asyncio streams for the stand-ins and their clients."""

import asyncio
import json
import urllib.parse

HOST = '127.0.0.1'
# A handler returns this for a request whose answer is lost.
NO_ANSWER = None
# A handler returns this for a request whose connection is reset.
RESET = 'reset'


class Request:
    """A whole request."""

    def __init__(self, method, target, headers, body):
        path, _, query = target.partition('?')
        self.method = method
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


class Server:
    """Answers the requests of each connection one after the other."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self.port = 0

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await _read_request(reader)
                answer = await self._handler(request)
                if answer is NO_ANSWER:
                    # The connection stays open and returns nothing further.
                    await reader.read()
                    break
                if answer == RESET:
                    writer.transport.abort()
                    break
                status, content = answer
                body = b'' if content is None else json.dumps(content).encode()
                writer.write(
                    f'HTTP/1.1 {status} x\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'.encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Closed by the other side, or the case has ended.
            pass
        finally:
            writer.close()


async def _read_request(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


async def call(address, method, path, content=None, headers=(), limit_s=4.0):
    """Send a request on a new connection; status 0 means no answer."""
    try:
        async with asyncio.timeout(limit_s):
            return await _exchange(address, method, path, content, headers)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None


async def _exchange(address, method, path, content, headers):
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = b'' if content is None else json.dumps(content).encode()
        lines = [
            f'{method} {path} HTTP/1.1',
            *(f'{name}: {value}' for name, value in headers),
            'Content-Type: application/json',
            f'Content-Length: {len(body)}',
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        status = int(head.split(' ', 2)[1])
        size = 0
        for line in head.split('\r\n')[1:]:
            name, _, value = line.partition(':')
            if name.lower() == 'content-length':
                size = int(value)
        answer = await reader.readexactly(size)
        return status, json.loads(answer) if answer else None
    finally:
        writer.close()
