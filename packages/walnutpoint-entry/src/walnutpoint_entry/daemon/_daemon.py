"""Startup, background tasks and graceful shutdown."""

from __future__ import annotations

import os
import signal
import sys
import typing

import anyio
import anyio.abc
import grpc.aio
import starlette.types

from walnutpoint_core import logs
from walnutpoint_core import settings as settings_module
from walnutpoint_core import timer as timers
from walnutpoint_entry import callers
from walnutpoint_entry import configuration
from walnutpoint_entry import console
from walnutpoint_entry.daemon import _http_server
from walnutpoint_entry.daemon import _jobs
from walnutpoint_entry.daemon import _parts
from walnutpoint_entry.daemon import _surfaces
from walnutpoint_entry import operators
from walnutpoint_entry import peers
from walnutpoint_entry import tasks as tasks_module

__all__ = ('serve',)

_HANDOVER_TIMEOUT_S: typing.Final = 30.0
_SHUTDOWN_GRACE_S: typing.Final = 1.0
_DRAIN_POLL_PERIOD_S: typing.Final = 0.02
_EXIT_STOPPED: typing.Final = 0
_EXIT_STOPPED_AT_ONCE: typing.Final = 1
_KEY_EXPIRY_PERIOD_S: typing.Final = 1.0

_LOG = logs.get_logger(__name__)


async def serve(settings: settings_module.Settings) -> int:
    """Run one entry process and return its exit status."""
    async with anyio.create_task_group() as task_group:
        components = _parts.Components(
            settings, timers.SystemTimer(), task_group
        )
        daemon = _Daemon(components, task_group)
        await daemon.run()
        task_group.cancel_scope.cancel()
    # After the tasks have ended: a poll on a closed client raises, and
    # would turn a clean shutdown into a crash.
    await components.close()
    return _EXIT_STOPPED


class _Daemon:
    """Run the servers and background tasks of one process."""

    def __init__(
        self, components: _parts.Components, task_group: anyio.abc.TaskGroup
    ) -> None:
        self._components = components
        self._task_group = task_group
        self._caller_handler = _surfaces.CallerHandler(components)
        self._shutdown_requested = anyio.Event()
        self._caller_api_stopped = anyio.Event()
        self._stopped = anyio.Event()
        settings = components.settings
        addresses = settings.addresses
        self._peer_server = peers.PeerServer(
            addresses.peer_listen_address or addresses.peer_address,
            settings.security.peer_token,
            settings.limits.body_size_bytes,
            components.timer,
            components.peer_handler,
            (self._register_task_service,),
        )

    def _register_task_service(self, server: grpc.aio.Server) -> None:
        components = self._components
        tasks_module.add_to_server(server, components.member, components.tasks)

    async def run(self) -> None:
        """Serve until a signal has led to a shutdown."""
        await self._peer_server.start()
        self._start_services()
        self._start_http_servers()
        _LOG.info(
            'started',
            name=self._components.member.name,
            incarnation=self._components.member.incarnation,
        )
        self._task_group.start_soon(self._handle_signals)
        await self._stopped.wait()

    async def _handle_signals(self) -> None:
        """Shut down gracefully at the first signal, at once at the second."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            is_stopping = False
            async for number in signals:
                _LOG.info('signal', number=int(number))
                if is_stopping:
                    # Without cleanup, which would wait for open requests.
                    sys.stdout.flush()
                    os._exit(_EXIT_STOPPED_AT_ONCE)
                is_stopping = True
                self._task_group.start_soon(self._stop)

    def _start_services(self) -> None:
        components = self._components
        self._task_group.start_soon(components.ownership.run)
        self._task_group.start_soon(components.ownership.run_fences)
        self._task_group.start_soon(components.wait_queue.run)
        self._task_group.start_soon(components.tasks.run)
        self._task_group.start_soon(
            components.jobs.run,
            components.timer.subscribe(components.jobs.period_s),
        )
        self._task_group.start_soon(
            components.configuration.run,
            components.timer.subscribe(lambda: configuration.REFRESH_PERIOD_S),
        )
        self._task_group.start_soon(
            components.fleet.run,
            components.timer.subscribe(self._usage_period_s),
        )
        self._task_group.start_soon(
            components.shards.run,
            components.timer.subscribe(lambda: _KEY_EXPIRY_PERIOD_S),
        )
        self._task_group.start_soon(self._poll_host_list)

    def _usage_period_s(self) -> float:
        components = self._components
        period_s = components.settings.placement.usage_period_s
        if not components.activity.is_any_busy():
            period_s = components.settings.ownership.rest_poll_period_s
        return components.fleet.usage_period_s(period_s)

    def _start_http_servers(self) -> None:
        settings = self._components.settings
        caller_api = callers.CallerApi(
            self._components.timer, settings, self._caller_handler
        )
        operator_api = self._operator_api()
        self._task_group.start_soon(
            self._serve_http,
            caller_api.app(),
            settings.addresses.caller_address,
            self._caller_api_stopped,
        )
        self._task_group.start_soon(
            self._serve_http,
            operator_api.app(),
            settings.addresses.operator_address,
            anyio.Event(),
        )

    def _operator_api(self) -> operators.OperatorApi:
        components = self._components
        token = components.settings.security.operator_token
        handler = _surfaces.OperatorHandler(components, self._caller_handler)
        backend = operators.DocumentBackend(
            components.configuration,
            components.capacity,
            _jobs.OwnedJobViews(components.jobs),
        )
        return operators.OperatorApi(
            token,
            handler,
            operators.DocumentApi(backend, handler),
            console.ConsoleApp(token, backend, handler).app(),
        )

    async def _serve_http(
        self,
        app: starlette.types.ASGIApp,
        address: str,
        stopped: anyio.Event,
    ) -> None:
        await _http_server.serve(
            app,
            address,
            self._components.settings,
            self._caller_handler.is_stopping,
            self._shutdown_requested.wait,
        )
        stopped.set()

    async def _poll_host_list(self) -> None:
        components = self._components
        version = None
        period_s = components.settings.platform.host_list_period_s
        ticks = components.timer.subscribe(lambda: period_s)
        async for _ in ticks:
            fetched = await components.host_list.fetch(version)
            if fetched.is_error():
                _LOG.warning('host_list_failed', detail=fetched.error.detail)
                continue
            listing = fetched.ok
            if listing is None or listing.version == version:
                continue
            version = listing.version
            _LOG.info(
                'hosts_listed', version=version, hosts=len(listing.hosts)
            )
            components.fleet.update_hosts(listing)
            components.tasks.update_hosts(listing)
            components.capacity.update_hosts(listing)
            components.ownership.update_hosts(listing)

    async def _stop(self) -> None:
        """Hand over owned assets, drain open requests, then stop."""
        components = self._components
        self._caller_handler.stop()
        components.peer_handler.stop()
        components.ownership.stop()
        with anyio.move_on_after(_HANDOVER_TIMEOUT_S):
            while not self._has_released_ownership():
                await components.timer.sleep(_DRAIN_POLL_PERIOD_S)
        await components.timer.sleep(_SHUTDOWN_GRACE_S)
        self._shutdown_requested.set()
        await self._caller_api_stopped.wait()
        with anyio.move_on_after(components.settings.requests.deadline_max_s):
            while not self._is_drained():
                await components.timer.sleep(_DRAIN_POLL_PERIOD_S)
        await self._peer_server.stop(_SHUTDOWN_GRACE_S)
        _LOG.info('stopped', name=components.member.name)
        self._stopped.set()

    def _has_released_ownership(self) -> bool:
        ownership = self._components.ownership
        if not ownership.has_successors():
            return True
        return not ownership.is_member() and not ownership.active()

    def _is_drained(self) -> bool:
        components = self._components
        if not components.request_tracker.is_idle:
            return False
        if not components.shards.is_idle():
            return False
        ownership = components.ownership
        return not ownership.has_successors() or ownership.is_handed_over()
