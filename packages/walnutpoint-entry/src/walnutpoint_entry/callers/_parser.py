"""Parsing of callers' HTTP requests."""

from __future__ import annotations

import re
import typing
import uuid

import expression
import starlette.requests

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import settings as settings_module
from walnutpoint_entry.callers import _headers

__all__ = ('parse',)

# RFC 9110 section 9.2.2.
_IDEMPOTENT_METHODS: typing.Final = frozenset(
    {'DELETE', 'GET', 'HEAD', 'OPTIONS', 'PUT', 'TRACE'}
)
_TEAM_PATTERN: typing.Final = re.compile(r'[a-z0-9][a-z0-9-]{0,62}')
_KEY_PATTERN: typing.Final = re.compile(r'[ -~]{1,256}')
_SECONDS_PATTERN: typing.Final = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
_PATH_PREFIX: typing.Final = '/v1/requests/'
_WORK_CLASSES: typing.Final = {
    work_class.name.lower(): work_class for work_class in model.WorkClass
}
_BOOLEANS: typing.Final = {'true': True, 'false': False}
_UNFORWARDED_HEADERS: typing.Final = frozenset(
    {'content-length', 'host', _headers.IDEMPOTENCY_KEY}
)

_RequestResult: typing.TypeAlias = expression.Result[
    model.Request, errors.Failure
]


async def parse(
    http: starlette.requests.Request,
    requests: settings_module.RequestSettings,
    limits: settings_module.LimitSettings,
    now_s: float,
) -> _RequestResult:
    """Return a caller's validated request with its body."""
    headers = http.headers
    team = headers.get(_headers.TEAM, requests.default_team)
    if not _TEAM_PATTERN.fullmatch(team):
        return _bad_request(
            _headers.TEAM, 'a-z, 0-9 and -, at most 63 characters'
        )
    work_class = _WORK_CLASSES.get(headers.get(_headers.CLASS, 'standard'))
    if work_class is None:
        return _bad_request(_headers.CLASS, ', '.join(_WORK_CLASSES))
    deadline_s = _parse_deadline_s(headers.get(_headers.DEADLINE_S), requests)
    if deadline_s is None:
        allowed = f'above 0 and at most {requests.deadline_max_s:g}'
        return _bad_request(_headers.DEADLINE_S, allowed)
    declared_idempotent = _BOOLEANS.get(
        headers.get(_headers.IDEMPOTENT, 'false')
    )
    if declared_idempotent is None:
        return _bad_request(_headers.IDEMPOTENT, 'true or false')
    key = headers.get(_headers.IDEMPOTENCY_KEY)
    if key is not None and not _KEY_PATTERN.fullmatch(key):
        return _bad_request(
            _headers.IDEMPOTENCY_KEY, '1 to 256 printable characters'
        )
    path = _endpoint_path(http)
    if path is None:
        return _bad_request('path', f'{_PATH_PREFIX} and the endpoint path')
    body = await _read_body(http, limits.body_size_bytes)
    if body is None:
        return expression.Error(
            errors.Failure(
                errors.ErrorKind.BODY_TOO_LARGE,
                f'at most {limits.body_size_bytes} bytes are allowed',
            )
        )
    return expression.Ok(
        model.Request(
            request_id=uuid.uuid4().hex,
            team=team,
            work_class=work_class,
            method=http.method,
            path=path,
            headers=_forwarded_headers(http),
            body=body,
            received_at_s=now_s,
            deadline_at_s=now_s + deadline_s,
            idempotent=key is None
            and (declared_idempotent or http.method in _IDEMPOTENT_METHODS),
            key=key,
            late_answer_s=(
                0.0
                if key is None
                else _late_answer_s(deadline_s, requests.deadline_max_s)
            ),
        )
    )


def _parse_deadline_s(
    text: str | None, requests: settings_module.RequestSettings
) -> float | None:
    if text is None:
        return requests.default_deadline_s
    if not _SECONDS_PATTERN.fullmatch(text):
        return None
    deadline_s = float(text)
    if not 0.0 < deadline_s <= requests.deadline_max_s:
        return None
    return deadline_s


def _late_answer_s(deadline_s: float, deadline_max_s: float) -> float:
    # Bounds how long a silent endpoint keeps the slot of a short request.
    return min(deadline_s, deadline_max_s - deadline_s)


async def _read_body(
    http: starlette.requests.Request, size_max_bytes: int
) -> bytes | None:
    body = bytearray()
    async for chunk in http.stream():
        body += chunk
        if len(body) > size_max_bytes:
            return None
    return bytes(body)


def _endpoint_path(http: starlette.requests.Request) -> str | None:
    raw = http.scope.get('raw_path') or http.url.path.encode()
    raw_path = raw.decode('latin-1')
    # The route matched the decoded path; the raw one may differ.
    if not raw_path.startswith(_PATH_PREFIX):
        return None
    path = '/' + raw_path.removeprefix(_PATH_PREFIX)
    query = http.scope['query_string'].decode('latin-1')
    return f'{path}?{query}' if query else path


def _forwarded_headers(
    http: starlette.requests.Request,
) -> tuple[model.Header, ...]:
    return tuple(
        model.Header(name, value)
        for name, value in http.headers.items()
        if name not in _UNFORWARDED_HEADERS
        and not name.startswith(_headers.PREFIX)
    )


def _bad_request(field: str, allowed: str) -> _RequestResult:
    return expression.Error(
        errors.Failure(
            errors.ErrorKind.BAD_REQUEST, f'{field}: allowed is {allowed}'
        )
    )
