"""The HTTP API for operators."""

from __future__ import annotations

import hmac
import typing

import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing
import starlette.types

from walnutpoint_core import logs
from walnutpoint_entry.operators import _documents
from walnutpoint_entry.operators import _metrics
from walnutpoint_entry.operators import _views

__all__ = ('OperatorApi',)

_BEARER_PREFIX: typing.Final = 'Bearer '
_CONSOLE_PATH: typing.Final = '/console'

_LOG = logs.get_logger(__name__)


class OperatorApi:
    """Serve the state of this process to holders of the token."""

    def __init__(
        self,
        token: str,
        handler: _views.OperatorHandler,
        documents: _documents.DocumentApi | None = None,
        console: starlette.types.ASGIApp | None = None,
    ) -> None:
        """Serve a handler's state; the console authenticates by itself."""
        self._token = token.encode()
        self._handler = handler
        self._documents = documents
        self._console = console
        self._metrics = _metrics.Metrics()

    def app(self) -> starlette.types.ASGIApp:
        """Return the ASGI application."""
        route = starlette.routing.Route
        routes = [
            route('/v1/status', self._status),
            route('/v1/endpoints', self._endpoints),
            route('/v1/owners', self._owners),
            route('/v1/explain/{request_id}', self._explain),
            route('/metrics', self._render_metrics),
        ]
        if self._documents is not None:
            routes.extend(self._documents.routes())
        app = starlette.applications.Starlette(routes=routes)
        protected = _TokenAuthMiddleware(app, self._token, self._handler)
        if self._console is None:
            return protected
        return starlette.applications.Starlette(
            routes=[
                route('/', _redirect_to_console),
                starlette.routing.Mount(_CONSOLE_PATH, self._console),
                starlette.routing.Mount('/', protected),
            ]
        )

    async def _status(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        return _json_response(self._handler.status())

    async def _endpoints(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        return _json_response(self._handler.endpoints())

    async def _owners(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        return _json_response(self._handler.owners())

    async def _explain(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        return _json_response(
            self._handler.explain(http.path_params['request_id'])
        )

    async def _render_metrics(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        body, headers = self._metrics.render(
            self._handler.status(), http.headers.getlist('accept')
        )
        return starlette.responses.Response(body, headers=headers)


class _TokenAuthMiddleware:
    """Reject requests without the operators' token."""

    def __init__(
        self,
        app: starlette.types.ASGIApp,
        token: bytes,
        handler: _views.OperatorHandler,
    ) -> None:
        self._app = app
        self._token = token
        self._handler = handler

    async def __call__(
        self,
        scope: starlette.types.Scope,
        receive: starlette.types.Receive,
        send: starlette.types.Send,
    ) -> None:
        """Forward a request if its token is valid."""
        if scope['type'] != 'http' or self._is_allowed(scope):
            await self._app(scope, receive, send)
            return
        self._handler.count_refused_token()
        _LOG.warning('operator_refused', path=scope['path'])
        response = starlette.responses.PlainTextResponse(
            'wrong or missing token\n',
            status_code=401,
            headers={'www-authenticate': 'Bearer'},
        )
        await response(scope, receive, send)

    def _is_allowed(self, scope: starlette.types.Scope) -> bool:
        http = starlette.requests.Request(scope)
        authorization = http.headers.get('authorization', '')
        if not authorization.startswith(_BEARER_PREFIX):
            return False
        token = authorization.removeprefix(_BEARER_PREFIX).encode()
        return hmac.compare_digest(token, self._token)


async def _redirect_to_console(
    http: starlette.requests.Request,
) -> starlette.responses.Response:
    return starlette.responses.RedirectResponse(f'{_CONSOLE_PATH}/', 303)


def _json_response(view: msgspec.Struct) -> starlette.responses.Response:
    return starlette.responses.Response(
        msgspec.json.encode(view), media_type='application/json'
    )
