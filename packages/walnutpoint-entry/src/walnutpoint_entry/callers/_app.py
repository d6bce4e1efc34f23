"""The HTTP API for callers."""

from __future__ import annotations

import math
import typing

import expression
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing
import starlette.types

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import settings as settings_module
from walnutpoint_core import timer as timers
from walnutpoint_entry.callers import _headers
from walnutpoint_entry.callers import _parser

__all__ = (
    'CallerApi',
    'CallerHandler',
)

_METHODS: typing.Final = (
    'DELETE',
    'GET',
    'HEAD',
    'OPTIONS',
    'PATCH',
    'POST',
    'PUT',
)
_DROPPED_HEADERS: typing.Final = frozenset(
    {'content-length', 'date', 'server'}
)


class CallerHandler(typing.Protocol):
    """Serves callers' parsed requests."""

    async def route(
        self, request: model.Request
    ) -> expression.Result[model.Answer, errors.Failure]:
        """Serve a request, with retries as its idempotence allows."""

    def mint_key(self) -> expression.Result[str, errors.Failure]:
        """Return a new idempotency key."""

    def is_ready(self) -> bool:
        """Return whether this process can serve new requests."""

    def in_progress(self) -> int:
        """Return how many requests are in progress."""


class _ErrorBody(msgspec.Struct):
    kind: str
    detail: str
    outcome: str
    request_id: str
    retry_after_s: float | None


class _ErrorDocument(msgspec.Struct):
    error: _ErrorBody


class _KeyDocument(msgspec.Struct):
    key: str


class CallerApi:
    """Parse callers' HTTP requests and render the handler's results."""

    def __init__(
        self,
        timer: timers.Timer,
        settings: settings_module.Settings,
        handler: CallerHandler,
    ) -> None:
        self._timer = timer
        self._requests = settings.requests
        self._limits = settings.limits
        self._handler = handler

    def app(self) -> starlette.types.ASGIApp:
        """Return the ASGI application."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route(
                    '/v1/requests/{path:path}',
                    self._serve_request,
                    methods=list(_METHODS),
                ),
                route('/v1/keys', self._mint_key, methods=['POST']),
                route('/healthz', self._health),
                route('/readyz', self._ready),
            ]
        )

    async def _serve_request(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        now_s = self._timer.now_s()
        if self._handler.in_progress() >= self._limits.requests_in_progress:
            # With a key, an earlier attempt may have run.
            kind = (
                errors.ErrorKind.KEY_UNDECIDED
                if _headers.IDEMPOTENCY_KEY in http.headers
                else errors.ErrorKind.QUEUE_FULL
            )
            return _error_response(
                errors.Failure(kind, 'too many in progress'), ''
            )
        parsed = await _parser.parse(http, self._requests, self._limits, now_s)
        if parsed.is_error():
            return _error_response(parsed.error, '')
        request = parsed.ok
        result = await self._handler.route(request)
        if result.is_error():
            return _error_response(result.error, request.request_id)
        return _answer_response(result.ok, request.request_id)

    async def _mint_key(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        minted = self._handler.mint_key()
        if minted.is_error():
            return _error_response(minted.error, '')
        return starlette.responses.Response(
            msgspec.json.encode(_KeyDocument(minted.ok)),
            media_type='application/json',
        )

    async def _health(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        return starlette.responses.PlainTextResponse('ok\n')

    async def _ready(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        if self._handler.is_ready():
            return starlette.responses.PlainTextResponse('ready\n')
        return starlette.responses.PlainTextResponse(
            'not ready\n', status_code=503
        )


def _answer_response(
    answer: model.Answer, request_id: str
) -> starlette.responses.Response:
    response = starlette.responses.Response(
        answer.body, status_code=answer.status
    )
    for header in answer.headers:
        if header.name.lower() not in _DROPPED_HEADERS:
            response.headers.append(header.name, header.value)
    response.headers[_headers.OUTCOME] = answer.outcome.value
    response.headers[_headers.REQUEST_ID] = request_id
    response.headers[_headers.ENDPOINT] = answer.endpoint
    response.headers[_headers.OWNER] = answer.owner
    response.headers[_headers.WAITED_MS] = f'{answer.waited_s * 1000.0:.3f}'
    return response


def _error_response(
    failure: errors.Failure, request_id: str
) -> starlette.responses.Response:
    rule = failure.rule
    retry_after_s = failure.retry_after_s
    if retry_after_s is None:
        retry_after_s = rule.retry_after_s
    document = _ErrorDocument(
        _ErrorBody(
            failure.kind.value,
            failure.detail,
            rule.outcome.value,
            request_id,
            retry_after_s,
        )
    )
    response = starlette.responses.Response(
        msgspec.json.encode(document),
        status_code=rule.status,
        media_type='application/json',
    )
    response.headers[_headers.OUTCOME] = rule.outcome.value
    response.headers[_headers.REQUEST_ID] = request_id
    if retry_after_s is not None:
        response.headers['retry-after'] = str(max(1, math.ceil(retry_after_s)))
    return response
