"""The commands that send documents and show the configuration."""

from __future__ import annotations

import time
import typing
import urllib.parse

import anyio
import httpx
import msgspec

from walnutpoint_cli import _document_text
from walnutpoint_cli import _operator
from walnutpoint_cli import _options
from walnutpoint_cli import _report
from walnutpoint_cli import _submission
from walnutpoint_cli import exit_code

__all__ = (
    'apply',
    'cancel',
    'compare',
    'fetch',
)

_POLL_S: typing.Final = 0.25
_WAIT_S: typing.Final = 30.0

_Transport: typing.TypeAlias = httpx.AsyncBaseTransport | None


class _Applied(msgspec.Struct, frozen=True):
    """An accepted document, and with --wait the revisions in force."""

    submission_id: str
    revision: int
    repeated: bool
    in_force: dict[str, int] | None = None


async def apply(
    text: str,
    options: _options.DocumentOptions,
    report: _report.Report,
    transport: _Transport = None,
) -> exit_code.ExitCode:
    """Send a document, and print its submission id beforehand."""
    identity = options.submission_id or _document_text.submission_id(text)
    if identity is None:
        identity = _document_text.new_submission_id()
    text = _document_text.with_submission_id(text, identity)
    return await _send(text, identity, options, report, transport)


async def cancel(
    jobs: tuple[str, ...],
    options: _options.DocumentOptions,
    report: _report.Report,
    transport: _Transport = None,
) -> exit_code.ExitCode:
    """Cancel jobs by one document."""
    identity = options.submission_id or _document_text.new_submission_id()
    text = _document_text.cancellation(identity, jobs)
    return await _send(text, identity, options, report, transport)


async def compare(
    text: str,
    options: _options.DocumentOptions,
    report: _report.Report,
    transport: _Transport = None,
) -> exit_code.ExitCode:
    """Print what a document would change."""
    identity = options.submission_id or _document_text.submission_id(text)
    text = _document_text.with_submission_id(
        text, identity or _document_text.new_submission_id()
    )
    async with _operator.open_client(options, transport) as client:
        reply = await client.call_any('POST', '/v1/documents/diff', text)
    if reply.code is not exit_code.ExitCode.DONE:
        return report.failure(reply)
    report.rows(reply.fields, 'changes')
    return reply.code


async def fetch(
    options: _options.DocumentOptions,
    report: _report.Report,
    transport: _Transport = None,
) -> exit_code.ExitCode:
    """Print the configuration as a document to edit and apply."""
    query = ''
    if options.team:
        query = f'?{urllib.parse.urlencode({"team": options.team})}'
    async with _operator.open_client(options, transport) as client:
        reply = await client.call_any('GET', f'/v1/config{query}')
    if reply.code is not exit_code.ExitCode.DONE:
        return report.failure(reply)
    report.document(reply.fields)
    return reply.code


async def _send(
    text: str,
    identity: str,
    options: _options.DocumentOptions,
    report: _report.Report,
    transport: _Transport,
) -> exit_code.ExitCode:
    report.progress(f'submission_id: {identity}')
    async with _operator.open_client(options, transport) as client:
        reply = await _submission.submit(client, text)
        if reply.code is not exit_code.ExitCode.DONE:
            return report.failure(reply, identity)
        revision = int(reply.fields.get('revision', 0))
        in_force = None
        if options.wait:
            wait_s = options.wait_s or _WAIT_S
            in_force = await _wait_until_in_force(
                client, revision, wait_s, report
            )
    repeated = bool(reply.fields.get('repeated'))
    report.struct(_Applied(identity, revision, repeated, in_force))
    reached = in_force is None or all(
        one >= revision for one in in_force.values()
    )
    if reached:
        return exit_code.ExitCode.DONE
    return exit_code.ExitCode.NOT_IN_FORCE


async def _wait_until_in_force(
    client: _operator.OperatorClient,
    revision: int,
    wait_s: float,
    report: _report.Report,
) -> dict[str, int]:
    """Poll until the revision is in force everywhere or time is up."""
    in_force = dict.fromkeys(client.operators, -1)
    deadline_s = time.monotonic() + wait_s
    shown = -1

    async def poll(operator: str) -> None:
        reply = await client.get(operator, '/v1/config/status')
        # A process that stops responding counts with its last revision.
        if reply.code is exit_code.ExitCode.DONE:
            in_force[operator] = int(reply.fields.get('revision', -1))

    while True:
        with anyio.move_on_after(max(_POLL_S, deadline_s - time.monotonic())):
            async with anyio.create_task_group() as group:
                for operator, revision_known in in_force.items():
                    if revision_known < revision:
                        group.start_soon(poll, operator)
        reached = sum(
            revision_known >= revision for revision_known in in_force.values()
        )
        if reached != shown:
            report.progress(
                f'revision {revision}: in force on {reached} of '
                f'{len(in_force)}'
            )
        shown = reached
        if reached == len(in_force) or time.monotonic() >= deadline_s:
            return in_force
        await anyio.sleep(_POLL_S)
