"""An HTTP client of one platform service, with a timeout per request."""

from __future__ import annotations

import dataclasses
import ssl
import typing

import anyio
import expression
import httpx

__all__ = (
    'HttpClient',
    'NoResponse',
    'Request',
)

# Large enough that no request waits for a free connection.
_LIMITS: typing.Final = httpx.Limits(
    max_connections=1024, max_keepalive_connections=64
)
_CONNECT_EVENTS: typing.Final = frozenset(
    {'connection.connect_tcp.started', 'connection.connect_tcp.failed'}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request to a platform service."""

    method: str
    url: str
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """A failed exchange, and whether the request may have been sent."""

    maybe_sent: bool
    detail: str


class _ConnectionPool:
    """Connections that are closed once retired and no longer in use."""

    __slots__ = ('_exchanges', '_retired', 'client')

    def __init__(self, tls: ssl.SSLContext) -> None:
        self.client = httpx.AsyncClient(
            verify=tls, trust_env=False, timeout=None, limits=_LIMITS
        )
        self._exchanges = 0
        self._retired = False

    def acquire(self) -> None:
        """Count the start of an exchange."""
        self._exchanges += 1

    async def release(self) -> None:
        """Count the end of an exchange."""
        self._exchanges -= 1
        await self._close_if_unused()

    async def retire(self) -> None:
        """Close as soon as no exchange is in progress."""
        self._retired = True
        await self._close_if_unused()

    async def _close_if_unused(self) -> None:
        if self._retired and not self._exchanges:
            with anyio.CancelScope(shield=True):
                await self.client.aclose()


class _RequestTrace:
    """The latest transport event of one exchange."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        self._event = ''

    async def record(self, event: str, _info: object) -> None:
        """Record an event of the transport."""
        self._event = event

    @property
    def maybe_sent(self) -> bool:
        """Return false only while the connection was being opened."""
        return self._event not in _CONNECT_EVENTS


class HttpClient:
    """Sends requests over a pool that is replaced after a failure."""

    __slots__ = ('_pool', '_tls', 'calls')

    def __init__(self) -> None:
        # The default context reads every root certificate, which would block
        # the event loop at each replacement of the pool.
        self._tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._pool = _ConnectionPool(self._tls)
        self.calls = 0

    async def exchange(
        self, request: Request, timeout_s: float
    ) -> expression.Result[httpx.Response, NoResponse]:
        """Send a request and read its whole response within a timeout."""
        self.calls += 1
        pool = self._pool
        trace = _RequestTrace()
        pool.acquire()
        try:
            with anyio.fail_after(timeout_s):
                return expression.Ok(await _send(pool, request, trace))
        except TimeoutError:
            detail = f'no answer from {request.url} within {timeout_s:g} s'
        except (httpx.HTTPError, httpx.InvalidURL, httpx.StreamError) as error:
            detail = f'{request.url}: {type(error).__name__}: {error}'
        finally:
            await pool.release()
        await self._replace(pool)
        return expression.Error(NoResponse(trace.maybe_sent, detail))

    async def aclose(self) -> None:
        """Close the connections once they are no longer in use."""
        await self._pool.retire()

    async def _replace(self, pool: _ConnectionPool) -> None:
        # On a connection whose network path is dead every request times out;
        # only a new socket helps. Exchanges in progress keep the old pool.
        if self._pool is pool:
            self._pool = _ConnectionPool(self._tls)
            await pool.retire()


async def _send(
    pool: _ConnectionPool, request: Request, trace: _RequestTrace
) -> httpx.Response:
    return await pool.client.request(
        request.method,
        request.url,
        headers=request.headers,
        content=request.body,
        extensions={'trace': trace.record},
    )
