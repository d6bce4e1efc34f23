"""The commands for the document history and the revisions in force."""

from __future__ import annotations

import typing

import anyio
import httpx

from walnutpoint_cli import _operator
from walnutpoint_cli import _options
from walnutpoint_cli import _report
from walnutpoint_cli import exit_code

__all__ = (
    'history',
    'status',
)

_Code: typing.TypeAlias = exit_code.ExitCode


async def history(
    options: _options.DocumentOptions,
    report: _report.Report,
    transport: httpx.AsyncBaseTransport | None = None,
) -> exit_code.ExitCode:
    """Print the accepted documents that are still in the history."""
    async with _operator.open_client(options, transport) as client:
        reply = await client.call_any('GET', '/v1/history')
    if reply.code is not _Code.DONE:
        return report.failure(reply)
    report.rows(reply.fields, 'submissions')
    return reply.code


async def status(
    options: _options.DocumentOptions,
    report: _report.Report,
    transport: httpx.AsyncBaseTransport | None = None,
) -> exit_code.ExitCode:
    """Print the revision in force in each process."""
    replies: dict[str, _operator.Reply] = {}

    async def fetch(operator: str) -> None:
        replies[operator] = await client.get(operator, '/v1/config/status')

    async with _operator.open_client(options, transport) as client:
        async with anyio.create_task_group() as group:
            for operator in options.operators:
                group.start_soon(fetch, operator)
    rows = []
    for operator in options.operators:
        reply = replies[operator]
        row = {'operator': operator, **reply.fields}
        if reply.code is not _Code.DONE:
            row = {'operator': operator, 'failure': reply.detail}
        rows.append(row)
    report.rows({'processes': rows}, 'processes')
    return _code(tuple(replies.values()))


def _code(replies: tuple[_operator.Reply, ...]) -> exit_code.ExitCode:
    for code in (_Code.UNREACHABLE, _Code.REFUSED, _Code.UNAVAILABLE):
        if any(reply.code is code for reply in replies):
            return code
    revisions = {reply.fields.get('revision') for reply in replies}
    return _Code.DONE if len(revisions) == 1 else _Code.NOT_IN_FORCE
