"""The question to an endpoint which requests it runs."""

from __future__ import annotations

import dataclasses
import http
import typing

import expression
import msgspec
from walnutpoint_core import errors

from walnutpoint_entry.endpoints import _call
from walnutpoint_entry.endpoints import _message

_PATH: typing.Final = '/walnutpoint/usage'


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """What an endpoint ran at a moment not before sampled_at_least_s."""

    running: int
    running_ids: frozenset[str]
    sampled_at_least_s: float


class _UsageDocument(msgspec.Struct, frozen=True):
    running: typing.Annotated[int, msgspec.Meta(ge=0)]
    sampled_age_s: typing.Annotated[float, msgspec.Meta(ge=0.0)]
    running_ids: frozenset[str]


_DECODER: typing.Final = msgspec.json.Decoder(_UsageDocument)


def question(address: str) -> _message.Message:
    """Return the message that asks an endpoint for its usage."""
    return _message.Message('GET', _PATH, address, (), b'')


def decode(
    reply: _call.EndpointReply, asked_at_s: float
) -> expression.Result[UsageReport, errors.Failure]:
    """Return the report in a reply to a question asked at a local time."""
    if reply.status != http.HTTPStatus.OK:
        return _failed(
            errors.ErrorKind.ENDPOINT_REFUSED, f'usage: status {reply.status}'
        )
    try:
        document = _DECODER.decode(reply.body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return _failed(errors.ErrorKind.ANSWER_CUT, f'usage: {error}')
    # The age was taken after the question was sent; counted from the answer
    # instead, a slow answer would date an old sample after the fence.
    sampled_at_least_s = asked_at_s - document.sampled_age_s
    return expression.Ok(
        UsageReport(document.running, document.running_ids, sampled_at_least_s)
    )


def _failed(
    kind: errors.ErrorKind, detail: str
) -> expression.Result[UsageReport, errors.Failure]:
    return expression.Error(errors.Failure(kind, detail))
