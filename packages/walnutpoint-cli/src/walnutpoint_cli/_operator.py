"""Calls to the operator addresses of entry processes."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import http
import typing

import httpx
import msgspec

from walnutpoint_cli import _options
from walnutpoint_cli import exit_code

__all__ = (
    'OperatorClient',
    'Reply',
    'open_client',
)

_CONNECT_TIMEOUT_S: typing.Final = 2.0
# An entry process may try a contended write for some seconds.
_READ_TIMEOUT_S: typing.Final = 30.0
_OUTCOME: typing.Final = 'walnutpoint-outcome'
_UNKNOWN: typing.Final = 'unknown'
_CONFLICT: typing.Final = 'document_conflict'
# The answers that are given before a document is looked at.
_UNREAD: typing.Final = (
    http.HTTPStatus.UNAUTHORIZED,
    http.HTTPStatus.NOT_FOUND,
    http.HTTPStatus.METHOD_NOT_ALLOWED,
)

_Code: typing.TypeAlias = exit_code.ExitCode


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What one operator address answered, and the exit code for it."""

    code: exit_code.ExitCode
    operator: str
    fields: dict[str, typing.Any]
    detail: str = ''


@contextlib.asynccontextmanager
async def open_client(
    options: _options.DocumentOptions,
    transport: httpx.AsyncBaseTransport | None = None,
) -> collections.abc.AsyncIterator[OperatorClient]:
    """Open a client of some operator addresses."""
    async with httpx.AsyncClient(
        transport=transport,
        trust_env=False,
        timeout=httpx.Timeout(_READ_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S),
        headers={'Authorization': f'Bearer {options.token}'},
    ) as client:
        yield OperatorClient(client, options.operators)


class OperatorClient:
    """Ask one operator address or the first that answers."""

    __slots__ = ('_client', 'operators')

    def __init__(
        self, client: httpx.AsyncClient, operators: tuple[str, ...]
    ) -> None:
        self._client = client
        self.operators = operators

    async def submit(self, operator: str, text: str) -> Reply:
        """Send a document; a lost answer leaves its outcome unknown."""
        return await self._call(
            operator, 'POST', '/v1/documents', text, lost=_Code.UNKNOWN
        )

    async def get(self, operator: str, path: str) -> Reply:
        """Read from one address."""
        return await self._call(operator, 'GET', path)

    async def ask_any(self, method: str, path: str, text: str = '') -> Reply:
        """Ask the addresses in order until one can be reached."""
        for operator in self.operators:
            reply = await self._call(operator, method, path, text)
            if reply.code is not _Code.UNREACHABLE:
                return reply
        return reply

    async def _call(
        self,
        operator: str,
        method: str,
        path: str,
        text: str = '',
        lost: exit_code.ExitCode = _Code.UNREACHABLE,
    ) -> Reply:
        try:
            response = await self._client.request(
                method, f'{operator}{path}', content=text.encode()
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as fault:
            detail = f'cannot reach {operator}: {fault!r}'
            return Reply(_Code.UNREACHABLE, operator, {}, detail=detail)
        except httpx.HTTPError as fault:
            detail = f'no answer from {operator}: {fault!r}'
            return Reply(lost, operator, {}, detail=detail)
        return _read(response, operator, lost)


def _read(
    response: httpx.Response, operator: str, lost: exit_code.ExitCode
) -> Reply:
    fields = _fields(response)
    if response.is_success and fields:
        return Reply(_Code.DONE, operator, fields)
    error = fields.get('error')
    error = error if isinstance(error, dict) else {}
    kind = error.get('kind', '')
    detail = f'{operator}: {response.status_code}: {kind}'
    if error.get('detail'):
        detail = f'{detail}: {error["detail"]}'
    code = _code(response, kind, lost)
    return Reply(code, operator, fields, detail)


def _code(
    response: httpx.Response, kind: str, lost: exit_code.ExitCode
) -> exit_code.ExitCode:
    outcome = response.headers.get(_OUTCOME)
    if response.status_code in _UNREAD:
        return _Code.REFUSED
    # Without the header it may come from something in between that had
    # already passed the document on.
    if outcome is None:
        return _Code.REFUSED if lost is not _Code.UNKNOWN else lost
    if outcome == _UNKNOWN:
        return _Code.UNKNOWN
    if kind == _CONFLICT:
        return _Code.CONFLICT
    if response.status_code == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return _Code.UNAVAILABLE
    return _Code.REFUSED


def _fields(response: httpx.Response) -> dict[str, typing.Any]:
    try:
        fields = msgspec.json.decode(response.content)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return {}
    return fields if isinstance(fields, dict) else {}
