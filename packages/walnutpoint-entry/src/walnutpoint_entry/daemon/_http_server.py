"""HTTP servers whose connections end by announcement."""

from __future__ import annotations

import collections.abc
import typing

import hypercorn.asyncio
import hypercorn.config
import starlette.types

from walnutpoint_core import settings as settings_module

__all__ = ('serve',)

_CLOSE_HEADER: typing.Final = (b'connection', b'close')


async def serve(
    app: starlette.types.ASGIApp,
    address: str,
    settings: settings_module.Settings,
    is_stopping: collections.abc.Callable[[], bool],
    wait_for_shutdown: collections.abc.Callable[
        [], collections.abc.Awaitable[None]
    ],
) -> None:
    """Serve an application until a shutdown and its open requests end.

    While the process is stopping, each response ends its connection.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.include_server_header = False
    config.include_date_header = False
    config.graceful_timeout = settings.requests.deadline_max_s
    config.keep_alive_timeout = settings.limits.idle_connection_s
    config.accesslog = None
    config.errorlog = None
    await hypercorn.asyncio.serve(
        _ClosingApp(app, is_stopping),
        config,
        shutdown_trigger=wait_for_shutdown,
    )


class _ClosingApp:
    """Add "Connection: close" to the responses of a stopping process."""

    __slots__ = ('_app', '_is_stopping')

    def __init__(
        self,
        app: starlette.types.ASGIApp,
        is_stopping: collections.abc.Callable[[], bool],
    ) -> None:
        self._app = app
        self._is_stopping = is_stopping

    async def __call__(
        self,
        scope: starlette.types.Scope,
        receive: starlette.types.Receive,
        send: starlette.types.Send,
    ) -> None:
        """Handle one ASGI connection."""

        async def send_and_announce(message: starlette.types.Message) -> None:
            if (
                message['type'] == 'http.response.start'
                and self._is_stopping()
            ):
                headers = [*message['headers'], _CLOSE_HEADER]
                message = {**message, 'headers': headers}
            await send(message)

        # HTTP/2 forbids the header and announces the end by itself.
        is_http1 = scope['type'] == 'http' and scope['http_version'] < '2'
        await self._app(
            scope, receive, send_and_announce if is_http1 else send
        )
