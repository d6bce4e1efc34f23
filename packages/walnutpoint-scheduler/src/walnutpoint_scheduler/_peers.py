"""Calls to the other processes of the system.

HTTP over persistent connections: a reset or a refused connection reveals a
killed process within a millisecond, which a channel that reconnects by
itself hides, and a call takes a tenth of the processor time.
"""

from __future__ import annotations

import typing

import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import web
from walnutpoint_scheduler import _messages

__all__ = (
    'ADVICE_PATH',
    'CANCEL_PATH',
    'Exchange',
    'JOB_PATH',
    'PENDING_PATH',
    'PROBE_PATH',
    'Peers',
    'STATE_PATH',
    'STORE_PATH',
    'SUCCESSION_PATH',
    'is_refused',
)

PROBE_PATH: typing.Final = '/walnutpoint/probe'
JOB_PATH: typing.Final = '/walnutpoint/job'
CANCEL_PATH: typing.Final = '/walnutpoint/cancel'
PENDING_PATH: typing.Final = '/walnutpoint/pending'
STATE_PATH: typing.Final = '/walnutpoint/state'
ADVICE_PATH: typing.Final = '/walnutpoint/advice'
SUCCESSION_PATH: typing.Final = '/walnutpoint/succession'
STORE_PATH: typing.Final = '/walnutpoint/store'

_HEADERS: typing.Final = {'Content-Type': 'application/msgpack'}
_OK: typing.Final = 200
_ReplyT = typing.TypeVar('_ReplyT')


class Exchange(typing.Protocol):
    """A transport for requests and their responses."""

    async def exchange(
        self, address: str, request: web.Request, timeout_s: float
    ) -> web.Response | web.NoResponse:
        """Send a request and read its whole response."""


class Peers:
    """Calls other processes, with a timeout for each call."""

    __slots__ = ('_client',)

    def __init__(self, client: Exchange) -> None:
        self._client = client

    async def request(
        self,
        address: str,
        path: str,
        message: object,
        kind: type[_ReplyT],
        timeout_s: float,
    ) -> _ReplyT | web.NoResponse:
        """Send a request and decode the reply."""
        body = msgspec.msgpack.encode(message)
        reply = await self.post(address, path, body, timeout_s)
        if isinstance(reply, web.NoResponse):
            return reply
        try:
            return decoding.from_msgpack(reply.body, kind)
        except decoding.UnreadableError as error:
            return web.NoResponse(True, f'unreadable answer: {error}')

    async def post(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> web.Response | web.NoResponse:
        """Send encoded bytes; a status other than 200 is no response."""
        reply = await self._client.exchange(
            address, web.Request('POST', path, _HEADERS, body), timeout_s
        )
        if isinstance(reply, web.Response) and reply.status != _OK:
            return web.NoResponse(True, f'status {reply.status}')
        return reply

    async def probe(
        self, address: str, message: _messages.Probe, timeout_s: float
    ) -> _messages.ProbeReply | web.NoResponse:
        """Probe a process."""
        return await self.request(
            address, PROBE_PATH, message, _messages.ProbeReply, timeout_s
        )


def is_refused(response: web.NoResponse) -> bool:
    """Return whether nothing listens at the called address."""
    return not response.maybe_sent and 'Refused' in response.detail
