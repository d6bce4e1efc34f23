"""From an HTTP request of a caller to a request of the domain."""

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
_TEAM: typing.Final = re.compile(r'[a-z0-9][a-z0-9-]{0,62}')
_KEY: typing.Final = re.compile(r'[ -~]{1,256}')
_SECONDS: typing.Final = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
_PATH_PREFIX: typing.Final = '/v1/requests/'
_CLASSES: typing.Final = {
    work_class.name.lower(): work_class for work_class in model.WorkClass
}
_BOOLEANS: typing.Final = {'true': True, 'false': False}
_PRIVATE: typing.Final = frozenset(
    {'content-length', 'host', _headers.IDEMPOTENCY_KEY}
)

_Parsed: typing.TypeAlias = expression.Result[model.Request, errors.Failure]


async def parse(
    http: starlette.requests.Request,
    requests: settings_module.RequestSettings,
    limits: settings_module.LimitSettings,
    now_s: float,
) -> _Parsed:
    """Check a caller's request whole and read its body."""
    fields = http.headers
    team = fields.get(_headers.TEAM, requests.default_team)
    if not _TEAM.fullmatch(team):
        return _bad(_headers.TEAM, 'a-z, 0-9 and -, at most 63 characters')
    work_class = _CLASSES.get(fields.get(_headers.CLASS, 'standard'))
    if work_class is None:
        return _bad(_headers.CLASS, ', '.join(_CLASSES))
    deadline_s = _deadline_s(fields.get(_headers.DEADLINE_S), requests)
    if deadline_s is None:
        allowed = f'above 0 and at most {requests.deadline_max_s:g}'
        return _bad(_headers.DEADLINE_S, allowed)
    declared = _BOOLEANS.get(fields.get(_headers.IDEMPOTENT, 'false'))
    if declared is None:
        return _bad(_headers.IDEMPOTENT, 'true or false')
    key = fields.get(_headers.IDEMPOTENCY_KEY)
    if key is not None and not _KEY.fullmatch(key):
        return _bad(_headers.IDEMPOTENCY_KEY, '1 to 256 printable characters')
    path = _path(http)
    if path is None:
        return _bad('path', f'{_PATH_PREFIX} and the endpoint path')
    body = await _body(http, limits.body_size_bytes)
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
            headers=_end_to_end(http),
            body=body,
            received_at_s=now_s,
            deadline_at_s=now_s + deadline_s,
            idempotent=key is None
            and (declared or http.method in _IDEMPOTENT_METHODS),
            key=key,
        )
    )


def _deadline_s(
    given: str | None, requests: settings_module.RequestSettings
) -> float | None:
    if given is None:
        return requests.default_deadline_s
    if not _SECONDS.fullmatch(given):
        return None
    deadline_s = float(given)
    if not 0.0 < deadline_s <= requests.deadline_max_s:
        return None
    return deadline_s


async def _body(
    http: starlette.requests.Request, size_max_bytes: int
) -> bytes | None:
    parts = bytearray()
    async for part in http.stream():
        parts += part
        if len(parts) > size_max_bytes:
            return None
    return bytes(parts)


def _path(http: starlette.requests.Request) -> str | None:
    raw = http.scope.get('raw_path') or http.url.path.encode()
    given = raw.decode('latin-1')
    # The route was matched on the decoded path, this is the raw one.
    if not given.startswith(_PATH_PREFIX):
        return None
    path = '/' + given.removeprefix(_PATH_PREFIX)
    query = http.scope['query_string'].decode('latin-1')
    return f'{path}?{query}' if query else path


def _end_to_end(
    http: starlette.requests.Request,
) -> tuple[model.Header, ...]:
    return tuple(
        model.Header(name, value)
        for name, value in http.headers.items()
        if name not in _PRIVATE and not name.startswith(_headers.PREFIX)
    )


def _bad(field: str, allowed: str) -> _Parsed:
    return expression.Error(
        errors.Failure(
            errors.ErrorKind.BAD_REQUEST, f'{field}: allowed is {allowed}'
        )
    )
