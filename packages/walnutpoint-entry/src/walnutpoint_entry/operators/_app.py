"""The HTTP surface that operators use."""

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

__all__ = ('OperatorSurface',)

_SCHEME: typing.Final = 'Bearer '
_CONSOLE_PATH: typing.Final = '/console'

_LOG = logs.get_logger(__name__)


class OperatorSurface:
    """Show the state of this process to those who know the token."""

    def __init__(
        self,
        token: str,
        handler: _views.OperatorHandler,
        documents: _documents.DocumentApi | None = None,
        console: starlette.types.ASGIApp | None = None,
    ) -> None:
        """Show a handler's state; the console has a login of its own."""
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
        inner = starlette.applications.Starlette(routes=routes)
        guarded = _Authenticated(inner, self._token, self._handler)
        if self._console is None:
            return guarded
        return starlette.applications.Starlette(
            routes=[
                route('/', _to_console),
                starlette.routing.Mount(_CONSOLE_PATH, self._console),
                starlette.routing.Mount('/', guarded),
            ]
        )

    async def _status(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        return _json(self._handler.status())

    async def _endpoints(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        return _json(self._handler.endpoints())

    async def _owners(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        return _json(self._handler.owners())

    async def _explain(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        return _json(self._handler.explain(http.path_params['request_id']))

    async def _render_metrics(
        self, http: starlette.requests.Request
    ) -> starlette.responses.Response:
        body, headers = self._metrics.render(
            self._handler.status(), http.headers.getlist('accept')
        )
        return starlette.responses.Response(body, headers=headers)


class _Authenticated:
    """Refuse requests without the operators' token."""

    def __init__(
        self,
        inner: starlette.types.ASGIApp,
        token: bytes,
        handler: _views.OperatorHandler,
    ) -> None:
        self._inner = inner
        self._token = token
        self._handler = handler

    async def __call__(
        self,
        scope: starlette.types.Scope,
        receive: starlette.types.Receive,
        send: starlette.types.Send,
    ) -> None:
        """Pass a request on only with the right token."""
        if scope['type'] != 'http' or self._is_allowed(scope):
            await self._inner(scope, receive, send)
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
        given = http.headers.get('authorization', '')
        if not given.startswith(_SCHEME):
            return False
        token = given.removeprefix(_SCHEME).encode()
        return hmac.compare_digest(token, self._token)


async def _to_console(
    http: starlette.requests.Request,
) -> starlette.responses.Response:
    return starlette.responses.RedirectResponse(f'{_CONSOLE_PATH}/', 303)


def _json(view: msgspec.Struct) -> starlette.responses.Response:
    return starlette.responses.Response(
        msgspec.json.encode(view), media_type='application/json'
    )
