"""HTTP requests, responses and failed exchanges."""

from __future__ import annotations

import dataclasses
import http
import typing

import msgspec

__all__ = (
    'NoResponse',
    'Request',
    'Response',
    'json_response',
    'request_bytes',
    'response_bytes',
)

_JSON: typing.Final = {'Content-Type': 'application/json'}
_REASONS: typing.Final = {
    status.value: status.phrase for status in http.HTTPStatus
}


@dataclasses.dataclass(slots=True)
class Request:
    """A whole request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''


@dataclasses.dataclass(slots=True)
class Response:
    """A whole response; header names are in lower case when received."""

    status: int
    body: bytes = b''
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """A failed exchange, and whether the request may have been sent."""

    maybe_sent: bool
    detail: str


def json_response(
    status: int, content: object = None, retry_after_s: float | None = None
) -> Response:
    """Return a response with a JSON body, or without one for None."""
    headers = {}
    body = b''
    if content is not None:
        headers.update(_JSON)
        body = msgspec.json.encode(content)
    if retry_after_s is not None:
        # RFC 9110 section 10.2.3: whole seconds.
        headers['Retry-After'] = str(max(1, round(retry_after_s)))
    return Response(status, body, headers)


def request_bytes(address: str, request: Request) -> bytes:
    """Serialize a request to a host."""
    lines = [f'{request.method} {request.path} HTTP/1.1']
    if 'Host' not in request.headers:
        lines.append(f'Host: {address}')
    lines += [f'{name}: {value}' for name, value in request.headers.items()]
    if request.body:
        lines.append('Content-Type: application/json')
    if request.body or request.method == 'POST':
        lines.append(f'Content-Length: {len(request.body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + request.body


def response_bytes(response: Response, *, close: bool) -> bytes:
    """Serialize a response."""
    phrase = _REASONS.get(response.status, 'Unknown')
    lines = [f'HTTP/1.1 {response.status} {phrase}']
    lines += [f'{name}: {value}' for name, value in response.headers.items()]
    lines.append(f'Content-Length: {len(response.body)}')
    if close:
        lines.append('Connection: close')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + response.body
