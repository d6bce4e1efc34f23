"""The commands that show the views of one entry process."""

from __future__ import annotations

import enum
import typing
import urllib.parse

import httpx
import msgspec

from walnutpoint_cli import _options
from walnutpoint_cli import _table
from walnutpoint_cli import exit_code
from walnutpoint_core import decoding

__all__ = (
    'View',
    'execute',
)

_TIMEOUT_S: typing.Final = 10.0


class View(enum.Enum):
    """The views of an operator address."""

    STATUS = 'status'
    ENDPOINTS = 'endpoints'
    OWNERS = 'owners'
    EXPLAIN = 'explain'


_ROWS: typing.Final = {
    View.ENDPOINTS: 'endpoints',
    View.OWNERS: 'owners',
    View.EXPLAIN: 'events',
}


async def execute(
    view: View,
    subject: str,
    options: _options.OperatorOptions,
    out: typing.TextIO,
    transport: httpx.AsyncBaseTransport | None = None,
) -> exit_code.ExitCode:
    """Fetch and print a view, and return the exit code."""
    try:
        response = await _get(_url(view, subject, options), options, transport)
        document = decoding.from_json(response.content, object)
    except httpx.HTTPError as error:
        detail = f'cannot reach {options.operator}: {error!r}'
        return _print_failure(
            exit_code.ExitCode.UNREACHABLE, detail, options, out
        )
    except decoding.UnreadableError:
        detail = f'{response.status_code}: the answer is not JSON'
        return _print_failure(exit_code.ExitCode.REFUSED, detail, options, out)
    if not response.is_success or not isinstance(document, dict):
        detail = f'{response.status_code}: {_detail(document)}'
        return _print_failure(exit_code.ExitCode.REFUSED, detail, options, out)
    if options.output is _options.Output.JSON:
        print(msgspec.json.encode(document).decode(), file=out)
    else:
        print(_text(view, document), file=out)
    return exit_code.ExitCode.DONE


def _url(view: View, subject: str, options: _options.OperatorOptions) -> str:
    parts = [options.operator, 'v1', view.value]
    if subject:
        parts.append(urllib.parse.quote(subject, safe=''))
    return '/'.join(parts)


async def _get(
    url: str,
    options: _options.OperatorOptions,
    transport: httpx.AsyncBaseTransport | None,
) -> httpx.Response:
    async with httpx.AsyncClient(
        transport=transport, trust_env=False, timeout=_TIMEOUT_S
    ) as client:
        return await client.get(
            url, headers={'Authorization': f'Bearer {options.token}'}
        )


def _text(view: View, document: dict[str, typing.Any]) -> str:
    rows = document.get(_ROWS.get(view, ''))
    if not isinstance(rows, list):
        return _table.lines(document)
    table = _table.columns(
        [row if isinstance(row, dict) else {'value': row} for row in rows]
    )
    other_fields = {n: v for n, v in document.items() if v is not rows}
    return (
        f'{_table.lines(other_fields)}\n\n{table}' if other_fields else table
    )


def _detail(document: typing.Any) -> str:
    error = document.get('error') if isinstance(document, dict) else None
    if not isinstance(error, dict):
        return 'the answer is not as expected'
    return f'{error.get("kind", "")} {error.get("detail", "")}'.strip()


def _print_failure(
    code: exit_code.ExitCode,
    detail: str,
    options: _options.OperatorOptions,
    out: typing.TextIO,
) -> exit_code.ExitCode:
    if options.output is _options.Output.JSON:
        print(msgspec.json.encode({'failure': detail}).decode(), file=out)
    else:
        print(_table.printable(detail), file=out)
    return code
