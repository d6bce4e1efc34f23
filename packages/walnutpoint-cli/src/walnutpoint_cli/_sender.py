"""Sending of requests to entry processes with bounded concurrency."""

from __future__ import annotations

import collections.abc
import itertools
import time
import typing

import anyio
import httpx
import msgspec

from walnutpoint_cli import _answer
from walnutpoint_cli import _options
from walnutpoint_core import decoding

__all__ = (
    'Sender',
    'open_client',
)

_CONNECT_TIMEOUT_S: typing.Final = 2.0
# Above the longest deadline that entry processes accept by default.
_READ_TIMEOUT_S: typing.Final = 90.0
_READ_MARGIN_S: typing.Final = 5.0
# An older idle connection may be dead unnoticed, and the outcome of a request
# on it would be unknown.
_IDLE_CONNECTION_S: typing.Final = 1.0


class _MintedKey(msgspec.Struct, frozen=True):
    key: str


def open_client(
    options: _options.RequestOptions,
    transport: httpx.AsyncBaseTransport | None = None,
) -> httpx.AsyncClient:
    """Return a client without a limit on connections."""
    read_s = _READ_TIMEOUT_S
    if options.deadline_s is not None:
        read_s = options.deadline_s + _READ_MARGIN_S
    return httpx.AsyncClient(
        transport=transport,
        trust_env=False,
        timeout=httpx.Timeout(read_s, connect=_CONNECT_TIMEOUT_S),
        limits=httpx.Limits(
            max_connections=None, keepalive_expiry=_IDLE_CONNECTION_S
        ),
    )


class Sender:
    """Sends the requests of a command and collects the answers."""

    __slots__ = ('_answers', '_client', '_options')

    def __init__(
        self, client: httpx.AsyncClient, options: _options.RequestOptions
    ) -> None:
        """Prepare the requests that the options describe."""
        self._client = client
        self._options = options
        self._answers: list[_answer.Answer] = []

    @property
    def answers(self) -> tuple[_answer.Answer, ...]:
        """Return the answers so far."""
        return tuple(self._answers)

    async def send_all(self) -> None:
        """Send every request and wait for its answer."""
        options = self._options
        entries = itertools.islice(
            itertools.cycle(options.entries), options.count
        )
        async with anyio.create_task_group() as group:
            for _ in range(min(options.concurrency, options.count)):
                group.start_soon(self._send_entries, entries)

    async def _send_entries(
        self, entries: collections.abc.Iterator[str]
    ) -> None:
        for entry in entries:
            self._answers.append(await self._send(entry))

    async def _send(self, entry: str) -> _answer.Answer:
        options, start_s = self._options, time.monotonic()
        key = options.key
        if options.mint_key:
            minted = await self._mint(entry)
            if isinstance(minted, _answer.Answer):
                return minted
            key = minted
        try:
            response = await self._client.request(
                options.method,
                f'{entry}/v1/requests/{options.path.lstrip("/")}',
                content=options.body,
                headers=self._headers(key),
            )
        except httpx.HTTPError as exception:
            return _answer.from_error(
                exception, entry, time.monotonic() - start_s
            )
        return _answer.from_response(
            response, entry, time.monotonic() - start_s
        )

    async def _mint(self, entry: str) -> str | _answer.Answer:
        start_s = time.monotonic()
        try:
            response = await self._client.post(f'{entry}/v1/keys')
            response.raise_for_status()
            return decoding.from_json(response.content, _MintedKey).key
        except httpx.TransportError as exception:
            verdict = _answer.Verdict.UNREACHABLE
            detail = f'no key: {type(exception).__name__}: {exception}'
        except (httpx.HTTPError, decoding.UnreadableError) as exception:
            verdict = _answer.Verdict.REFUSED
            detail = f'no key: {exception}'
        # The request itself was not sent, so that it has certainly not run.
        return _answer.Answer(
            verdict, entry, time.monotonic() - start_s, detail=detail
        )

    def _headers(self, key: str | None) -> dict[str, str]:
        options = self._options
        deadline_s = options.deadline_s
        fields = {
            'Walnutpoint-Team': options.team,
            'Walnutpoint-Class': options.work_class,
            'Walnutpoint-Deadline-S': deadline_s and f'{deadline_s:g}',
            'Walnutpoint-Idempotent': 'true' if options.idempotent else None,
            'Idempotency-Key': key,
        }
        return {name: text for name, text in fields.items() if text}
