"""The command that sends requests."""

from __future__ import annotations

import typing

import httpx
import msgspec

from walnutpoint_cli import _answer
from walnutpoint_cli import _options
from walnutpoint_cli import _sender
from walnutpoint_cli import _summary
from walnutpoint_cli import _table
from walnutpoint_cli import exit_code

__all__ = ('execute',)


async def execute(
    options: _options.RequestOptions,
    out: typing.TextIO,
    transport: httpx.AsyncBaseTransport | None = None,
) -> exit_code.ExitCode:
    """Send the requests, print their outcomes and return the exit code."""
    async with _sender.open_client(options, transport) as client:
        sender = _sender.Sender(client, options)
        await sender.send_all()
    if options.count == 1:
        print(_format_answer(sender.answers[0], options.output), file=out)
    else:
        print(_format_summary(sender.answers, options.output), file=out)
    return _summary.exit_code_of(sender.answers)


def _format_answer(answer: _answer.Answer, output: _options.Output) -> str:
    if output is _options.Output.JSON:
        return msgspec.json.encode(answer).decode()
    fields = msgspec.to_builtins(answer)
    body = fields.pop('body', '')
    return f'{_table.lines(fields)}\n\n{_printable(body)}'.rstrip()


def _format_summary(
    answers: tuple[_answer.Answer, ...], output: _options.Output
) -> str:
    summary = _summary.summarize(answers)
    if output is _options.Output.JSON:
        return msgspec.json.encode(summary).decode()
    counts = msgspec.to_builtins(summary)
    times = [{'time': name, **counts.pop(name)} for name in _TIMES]
    reasons = counts.pop('reasons')
    parts = [_table.columns([counts]), _table.columns(times)]
    if reasons:
        parts.append(_table.lines(reasons))
    return '\n\n'.join(parts)


_TIMES: typing.Final = ('wait', 'elapsed')


def _printable(body: str) -> str:
    return '\n'.join(map(_table.printable, body.splitlines()))
