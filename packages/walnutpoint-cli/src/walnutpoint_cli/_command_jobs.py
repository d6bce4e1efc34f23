"""The command that shows jobs and waits for the end of one."""

from __future__ import annotations

import math
import time
import typing
import urllib.parse

import anyio
import httpx

from walnutpoint_cli import _operator
from walnutpoint_cli import _options
from walnutpoint_cli import _report
from walnutpoint_cli import exit_code

__all__ = (
    'show_all',
    'show_one',
)

_POLL_S: typing.Final = 1.0
_UNKNOWN_MAX_S: typing.Final = 10.0

_Code: typing.TypeAlias = exit_code.ExitCode


async def show_all(
    options: _options.DocumentOptions,
    report: _report.Report,
    transport: httpx.AsyncBaseTransport | None = None,
) -> exit_code.ExitCode:
    """Print the jobs of all processes."""
    code = _Code.DONE
    rows: dict[str, typing.Any] = {}
    async with _operator.open_client(options, transport) as client:
        for operator in options.operators:
            reply = await client.get(operator, '/v1/jobs')
            if reply.code is not _Code.DONE:
                code = reply.code
                report.progress(reply.detail)
            for row in reply.fields.get('jobs', ()):
                rows[row.get('job')] = row
    report.rows({'jobs': [rows[job] for job in sorted(rows)]}, 'jobs')
    return code


async def show_one(
    job: str,
    options: _options.DocumentOptions,
    report: _report.Report,
    transport: httpx.AsyncBaseTransport | None = None,
) -> exit_code.ExitCode:
    """Print one job, with --wait once it has ended."""
    async with _operator.open_client(options, transport) as client:
        reply = await _fetch_job(client, job)
        if options.wait:
            reply = await _await_end(client, job, reply, options, report)
    if reply.code is not _Code.DONE:
        return report.failure(reply)
    row = reply.fields.get('job', {})
    tasks = reply.fields.get('tasks', [])
    report.rows({**row, 'attempts': tasks}, 'attempts')
    if options.wait and not row.get('is_ended'):
        return _Code.NOT_ENDED
    return _Code.JOB_FAILED if row.get('is_failed') else _Code.DONE


async def _await_end(
    client: _operator.OperatorClient,
    job: str,
    reply: _operator.Reply,
    options: _options.DocumentOptions,
    report: _report.Report,
) -> _operator.Reply:
    now_s = time.monotonic()
    deadline_s = math.inf if options.wait_s is None else now_s + options.wait_s
    last_known_s, last = now_s, ''
    while now_s < deadline_s:
        row = reply.fields.get('job', {})
        line = f'{job}: {_state(row) or reply.detail}'
        if line != last:
            report.progress(line)
        last = line
        if row.get('is_ended'):
            break
        # A job is unknown right after it was accepted and long after it has
        # ended; only the former is temporary.
        if reply.code is not _Code.REFUSED:
            last_known_s = now_s
        elif now_s - last_known_s > _UNKNOWN_MAX_S:
            break
        await anyio.sleep(_POLL_S)
        reply = await _fetch_job(client, job)
        now_s = time.monotonic()
    return reply


async def _fetch_job(
    client: _operator.OperatorClient, job: str
) -> _operator.Reply:
    path = f'/v1/jobs/{urllib.parse.quote(job)}'
    for operator in client.operators:
        reply = await client.get(operator, path)
        if reply.code is _Code.DONE:
            return reply
    return reply


def _state(row: dict[str, typing.Any]) -> str:
    if not row:
        return ''
    return (
        f'{row.get("state")}, {row.get("finished")} of '
        f'{row.get("tasks")} tasks finished, {row.get("running")} running'
    )
