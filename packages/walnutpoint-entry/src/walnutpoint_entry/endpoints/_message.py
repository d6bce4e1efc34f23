"""HTTP/1.1 encoding (RFC 9112) of endpoint requests and answers."""

from __future__ import annotations

import collections.abc
import dataclasses
import re
import typing

import expression
import h11
from walnutpoint_core import errors
from walnutpoint_core import model

OUTCOME_HEADER: typing.Final = 'walnutpoint-outcome'

# RFC 9110 7.6.1; also Trailer: bodies are reframed without trailers.
_HOP_BY_HOP: typing.Final = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
# Expect would make the endpoint wait for a body that is already sent.
_REPLACED_HEADERS: typing.Final = frozenset(
    {
        'content-length',
        'expect',
        'host',
        'idempotency-key',
        'walnutpoint-deadline-ms',
        'walnutpoint-epoch',
        'walnutpoint-request-id',
        'walnutpoint-team',
    }
)
# h11 accepts most control characters in field values.
_CONTROL_CHARACTER: typing.Final = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """An HTTP request without its framing."""

    method: str
    path: str
    host: str
    headers: tuple[model.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedMessage:
    """The bytes of a request and the h11 engine that reads its answer."""

    data: bytes
    engine: h11.Connection


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that was received up to its declared end."""

    status: int
    headers: tuple[model.Header, ...]
    body: bytes
    must_close: bool


def from_request(address: str, request: model.Request, epoch: int) -> Message:
    """Return the message of a caller's request."""
    headers = [
        header
        for header in end_to_end(request.headers)
        if header.name.lower() not in _REPLACED_HEADERS
    ]
    headers += (
        model.Header('Walnutpoint-Request-Id', request.request_id),
        model.Header('Walnutpoint-Team', request.team),
        model.Header('Walnutpoint-Epoch', str(epoch)),
    )
    if request.key is not None:
        headers.append(model.Header('Idempotency-Key', request.key))
    return Message(
        request.method, request.path, address, tuple(headers), request.body
    )


def end_to_end(
    headers: collections.abc.Sequence[model.Header],
) -> tuple[model.Header, ...]:
    """Return the fields that an intermediary forwards (RFC 9110 7.6.1)."""
    dropped = set(_HOP_BY_HOP)
    for header in headers:
        if header.name.lower() == 'connection':
            dropped.update(
                option.strip().lower() for option in header.value.split(',')
            )
    return tuple(
        header for header in headers if header.name.lower() not in dropped
    )


def encode(
    message: Message, remaining_s: float
) -> expression.Result[EncodedMessage, errors.Failure]:
    """Encode a request into one buffer, or return BAD_REQUEST."""
    if message.method == 'CONNECT' or not message.path.startswith('/'):
        return _bad_request('method or path cannot be sent to an endpoint')
    fields = [('Host', message.host)]
    for header in message.headers:
        if _CONTROL_CHARACTER.search(header.value) is not None:
            return _bad_request(f'control character in header {header.name!r}')
        fields.append((header.name, header.value))
    fields.append(('Walnutpoint-Deadline-Ms', str(int(remaining_s * 1000))))
    fields.append(('Content-Length', str(len(message.body))))
    try:
        head = h11.Request(
            method=message.method,
            target=message.path,
            headers=[
                (name.encode('ascii'), value.encode('latin-1'))
                for name, value in fields
            ],
        )
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        return _bad_request(str(error))
    engine = h11.Connection(h11.CLIENT)
    parts = [engine.send(head)]
    if message.body:
        parts.append(engine.send(h11.Data(data=message.body)))
    parts.append(engine.send(h11.EndOfMessage()))
    data = b''.join(part for part in parts if part)
    return expression.Ok(EncodedMessage(data, engine))


class AnswerReader:
    """Incremental reader of one answer."""

    __slots__ = (
        '_body',
        '_engine',
        '_head',
        '_size_max_bytes',
        'has_started',
    )

    def __init__(self, engine: h11.Connection, size_max_bytes: int) -> None:
        self.has_started = False
        self._engine = engine
        self._size_max_bytes = size_max_bytes
        self._head: h11.Response | None = None
        self._body = bytearray()

    def receive(
        self, data: bytes
    ) -> expression.Result[WholeAnswer, errors.Failure] | None:
        """Parse received bytes; return the result once there is one.

        The end of the stream is never passed to the engine: it would accept
        an answer without a declared length as whole, though it may be cut.
        """
        self.has_started = True
        try:
            self._engine.receive_data(data)
            return self._read_events()
        except h11.RemoteProtocolError as error:
            return _cut(f'malformed answer: {error}')

    def _read_events(
        self,
    ) -> expression.Result[WholeAnswer, errors.Failure] | None:
        while True:
            event = self._engine.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self._size_max_bytes:
                    return _cut('the answer is larger than is accepted')
            elif isinstance(event, h11.EndOfMessage):
                return expression.Ok(self._complete_answer())
            elif event is h11.PAUSED:
                return _cut('the endpoint changed the protocol')

    def _complete_answer(self) -> WholeAnswer:
        head = self._head
        assert head is not None
        headers = tuple(
            model.Header(name.decode('ascii'), value.decode('latin-1'))
            for name, value in head.headers
        )
        trailing, _ = self._engine.trailing_data
        # Bytes after the answer would be read as the next call's answer.
        must_close = bool(trailing) or (
            self._engine.their_state is not h11.DONE
            or self._engine.our_state is not h11.DONE
        )
        return WholeAnswer(
            head.status_code,
            end_to_end(headers),
            bytes(self._body),
            must_close,
        )


def _bad_request(detail: str) -> expression.Result[typing.Any, errors.Failure]:
    return expression.Error(
        errors.Failure(errors.ErrorKind.BAD_REQUEST, detail)
    )


def _cut(detail: str) -> expression.Result[typing.Any, errors.Failure]:
    return expression.Error(
        errors.Failure(errors.ErrorKind.ANSWER_CUT, detail)
    )
