"""Sending one document until its outcome is known."""

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
# After an attempt of unknown outcome a conflict is an answer: the
# configuration has moved, so that the earlier write can't take effect any
# more. A refusal may come from this process alone, and proves nothing.
_FINAL: typing.Final = (_Code.DONE, _Code.CONFLICT)


async def submit(
    client: _operator.OperatorClient, text: str
) -> _operator.Reply:
    """Send a document, and again while it is unknown whether it arrived."""
    in_doubt: _operator.Reply | None = None
    count = len(client.operators)
    for attempt in range(max(_ATTEMPTS_MAX, count)):
        if attempt:
            longest = min(attempt, _ATTEMPTS_MAX)
            await anyio.sleep(_BACKOFF_S * 2**longest)
        operator = client.operators[attempt % count]
        # The same submission id makes a repeat the same change, wherever it
        # is sent; so a lost answer is found out by asking again.
        reply = await client.submit(operator, text)
        if reply.code in _FINAL:
            return reply
        if reply.code is _Code.UNKNOWN:
            in_doubt = reply
        elif in_doubt is None and (
            reply.code is not _Code.UNREACHABLE or attempt + 1 >= count
        ):
            return reply
    if in_doubt is not None and reply.code is not _Code.UNKNOWN:
        detail = f'{in_doubt.detail}; then {reply.detail}'
        return dataclasses.replace(in_doubt, detail=detail)
    return reply
