"""Usage reports: which requests an endpoint runs."""

from __future__ import annotations

import dataclasses
import http
import typing

import expression
import msgspec
from walnutpoint_core import decoding
from walnutpoint_core import errors

from walnutpoint_entry.endpoints import _call
from walnutpoint_entry.endpoints import _message

_PATH: typing.Final = '/walnutpoint/usage'


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """The requests that an endpoint ran when sampled."""

    running: int
    running_ids: frozenset[str]
    sampled_not_before_s: float


class _UsageDocument(msgspec.Struct, frozen=True):
    running: typing.Annotated[int, msgspec.Meta(ge=0)]
    sampled_age_s: typing.Annotated[float, msgspec.Meta(ge=0.0)]
    running_ids: frozenset[str]


_DECODER: typing.Final = msgspec.json.Decoder(_UsageDocument)


def request_message(address: str) -> _message.Message:
    """Return the message that requests an endpoint's usage report."""
    return _message.Message('GET', _PATH, address, (), b'')


def decode(
    reply: _call.EndpointReply, requested_at_s: float
) -> expression.Result[UsageReport, errors.Failure]:
    """Decode the report in the reply to a request sent at a local time."""
    if reply.status != http.HTTPStatus.OK:
        return _failed(
            errors.ErrorKind.ENDPOINT_REFUSED, f'usage: status {reply.status}'
        )
    try:
        document = decoding.with_decoder(_DECODER, reply.body)
    except decoding.UnreadableError as error:
        return _failed(errors.ErrorKind.ANSWER_CUT, f'usage: {error}')
    # The age is subtracted from the time of the request. With the time of
    # the answer, a slow answer would date an old sample after the fence.
    sampled_not_before_s = requested_at_s - document.sampled_age_s
    return expression.Ok(
        UsageReport(
            document.running, document.running_ids, sampled_not_before_s
        )
    )


def _failed(
    kind: errors.ErrorKind, detail: str
) -> expression.Result[UsageReport, errors.Failure]:
    return expression.Error(errors.Failure(kind, detail))
