"""A client of the operator addresses of entry processes."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import http
import typing

import httpx

from walnutpoint_cli import _options
from walnutpoint_cli import exit_code
from walnutpoint_core import decoding

__all__ = (
    'OperatorClient',
    'Reply',
    'open_client',
)

_CONNECT_TIMEOUT_S: typing.Final = 2.0
# An entry process may retry a contended write for some seconds.
_READ_TIMEOUT_S: typing.Final = 30.0
_OUTCOME: typing.Final = 'walnutpoint-outcome'
_UNKNOWN: typing.Final = 'unknown'
_CONFLICT: typing.Final = 'document_conflict'
# Statuses that are returned before a document is read.
_PRECHECK_STATUSES: typing.Final = (
    http.HTTPStatus.UNAUTHORIZED,
    http.HTTPStatus.NOT_FOUND,
    http.HTTPStatus.METHOD_NOT_ALLOWED,
)

_Code: typing.TypeAlias = exit_code.ExitCode


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The reply of an operator address and its exit code."""

    code: exit_code.ExitCode
    operator: str
    fields: dict[str, typing.Any]
    detail: str = ''


@contextlib.asynccontextmanager
async def open_client(
    options: _options.DocumentOptions,
    transport: httpx.AsyncBaseTransport | None = None,
) -> collections.abc.AsyncIterator[OperatorClient]:
    """Open a client of several operator addresses."""
    async with httpx.AsyncClient(
        transport=transport,
        trust_env=False,
        timeout=httpx.Timeout(_READ_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S),
        headers={'Authorization': f'Bearer {options.token}'},
    ) as client:
        yield OperatorClient(client, options.operators)


class OperatorClient:
    """Calls one operator address, or the first that is reachable."""

    __slots__ = ('_client', 'operators')

    def __init__(
        self, client: httpx.AsyncClient, operators: tuple[str, ...]
    ) -> None:
        self._client = client
        self.operators = operators

    async def submit(self, operator: str, text: str) -> Reply:
        """Send a document; after a lost response its outcome is unknown."""
        return await self._call(
            operator, 'POST', '/v1/documents', text, lost_code=_Code.UNKNOWN
        )

    async def get(self, operator: str, path: str) -> Reply:
        """Read from one address."""
        return await self._call(operator, 'GET', path)

    async def call_any(self, method: str, path: str, text: str = '') -> Reply:
        """Call the addresses in order until one is reachable."""
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
        lost_code: exit_code.ExitCode = _Code.UNREACHABLE,
    ) -> Reply:
        try:
            response = await self._client.request(
                method, f'{operator}{path}', content=text.encode()
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            detail = f'cannot reach {operator}: {error!r}'
            return Reply(_Code.UNREACHABLE, operator, {}, detail=detail)
        except httpx.HTTPError as error:
            detail = f'no answer from {operator}: {error!r}'
            return Reply(lost_code, operator, {}, detail=detail)
        return _read(response, operator, lost_code)


def _read(
    response: httpx.Response, operator: str, lost_code: exit_code.ExitCode
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
    code = _code(response, kind, lost_code)
    return Reply(code, operator, fields, detail)


def _code(
    response: httpx.Response, kind: str, lost_code: exit_code.ExitCode
) -> exit_code.ExitCode:
    outcome = response.headers.get(_OUTCOME)
    if response.status_code in _PRECHECK_STATUSES:
        return _Code.REFUSED
    # A response without the header may come from a proxy that had already
    # forwarded the document.
    if outcome is None:
        return _Code.REFUSED if lost_code is not _Code.UNKNOWN else lost_code
    if outcome == _UNKNOWN:
        return _Code.UNKNOWN
    if kind == _CONFLICT:
        return _Code.CONFLICT
    if response.status_code == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return _Code.UNAVAILABLE
    return _Code.REFUSED


def _fields(response: httpx.Response) -> dict[str, typing.Any]:
    try:
        fields = decoding.from_json(response.content, object)
    except decoding.UnreadableError:
        return {}
    return fields if isinstance(fields, dict) else {}
