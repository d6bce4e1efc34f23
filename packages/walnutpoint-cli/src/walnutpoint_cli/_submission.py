"""Submission of a document with retries until its outcome is known."""

from __future__ import annotations

import dataclasses
import typing

import anyio

from walnutpoint_cli import _operator
from walnutpoint_cli import exit_code

__all__ = ('submit',)

_ATTEMPTS_MAX: typing.Final = 5
_BACKOFF_S: typing.Final = 0.2

_Code: typing.TypeAlias = exit_code.ExitCode
# A conflict is final even after an attempt of unknown outcome: the
# configuration has changed, so that the guard of the earlier write fails. A
# refusal may concern the latest attempt alone, and proves nothing.
_FINAL: typing.Final = (_Code.DONE, _Code.CONFLICT)


async def submit(
    client: _operator.OperatorClient, text: str
) -> _operator.Reply:
    """Send a document, and retry while its outcome is unknown."""
    unknown_reply: _operator.Reply | None = None
    count = len(client.operators)
    for attempt in range(max(_ATTEMPTS_MAX, count)):
        if attempt:
            longest = min(attempt, _ATTEMPTS_MAX)
            await anyio.sleep(_BACKOFF_S * 2**longest)
        operator = client.operators[attempt % count]
        # Retries with the same submission id are idempotent on all processes
        # and reveal the outcome of an attempt whose response was lost.
        reply = await client.submit(operator, text)
        if reply.code in _FINAL:
            return reply
        if reply.code is _Code.UNKNOWN:
            unknown_reply = reply
        elif unknown_reply is None and (
            reply.code is not _Code.UNREACHABLE or attempt + 1 >= count
        ):
            return reply
    if unknown_reply is not None and reply.code is not _Code.UNKNOWN:
        detail = f'{unknown_reply.detail}; then {reply.detail}'
        return dataclasses.replace(unknown_reply, detail=detail)
    return reply
