"""A whole cell in virtual time: processes, workers, store and advice."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import typing

import anyio
import anyio.abc
import expression

from walnutpoint_core import errors
from walnutpoint_core import ports as core_ports
from walnutpoint_model import advice
from walnutpoint_model import fleet as fleets
from walnutpoint_model import host_fleet
from walnutpoint_model import network
from walnutpoint_model import store
from walnutpoint_model import virtual_time
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import process
from walnutpoint_scheduler import settings

__all__ = (
    'CellModel',
    'ModelProcess',
)

_MS: typing.Final = 1000
_CONFIGURATION_KEY: typing.Final = 'operators/configuration'
_ResultT = typing.TypeVar('_ResultT')
_DEFAULT_ADVICE_TERMS: typing.Final = cell.AdviceTerms(0.05, 0.0003, 2.0)


class _FixedConfiguration:
    """A configuration source whose configuration never changes."""

    __slots__ = ('_configuration',)

    def __init__(self, configuration: cell.Cell) -> None:
        self._configuration = configuration

    async def watch(
        self, wait_s: float
    ) -> expression.Result[cell.Cell | None, errors.Failure]:
        """Return the configuration."""
        return expression.Ok(self._configuration)


class _StoredConfiguration:
    """Follows the configuration in the store through one process's access."""

    __slots__ = ('_configurations', '_newest', '_revision', '_store')

    def __init__(
        self,
        process_store: core_ports.WatchableStore,
        versions: collections.abc.Mapping[bytes, cell.Cell],
    ) -> None:
        self._store = process_store
        self._configurations = versions
        self._revision: int | None = None
        self._newest: cell.Cell | None = None

    async def watch(
        self, wait_s: float
    ) -> expression.Result[cell.Cell | None, errors.Failure]:
        """Return the newest configuration, at once when it changes."""
        if self._revision is not None:
            changes = await self._store.watch(
                _CONFIGURATION_KEY, self._revision, wait_s
            )
            if changes.is_ok() and changes.ok is not None:
                self._apply_values(changes.ok.values)
                return expression.Ok(self._newest)
        snapshot = await self._store.read(_CONFIGURATION_KEY)
        if snapshot.is_error():
            return expression.Error(snapshot.error)
        self._apply_values(snapshot.ok.values)
        self._revision = snapshot.ok.revision
        return expression.Ok(self._newest)

    def _apply_values(
        self, items: collections.abc.Iterable[core_ports.StoredValue]
    ) -> None:
        for item in items:
            self._revision = item.revision
            self._newest = self._configurations[item.value]


class _ProcessStore:
    """One process's access to the store, with its own faults."""

    __slots__ = ('_store', 'is_cut', 'is_refusing', 'is_silent')

    def __init__(self, store_model: store.MemoryStore) -> None:
        self._store = store_model
        self.is_refusing = False
        # Whether calls time out without effect.
        self.is_silent = False
        # The same, and answers on their way are lost.
        self.is_cut = False

    async def get(self, key: str) -> typing.Any:
        """Read one key."""
        return await self._call(lambda: self._store.get(key))

    async def read(self, prefix: str) -> typing.Any:
        """Read every key below a prefix."""
        return await self._call(lambda: self._store.read(prefix))

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> typing.Any:
        """Wait for changes."""
        return await self._call(
            lambda: self._store.watch(prefix, after_revision, wait_s)
        )

    async def commit(self, batch: core_ports.Batch) -> typing.Any:
        """Apply a batch."""
        return await self._call(
            lambda: self._store.commit(batch),
            errors.ErrorKind.STORE_ANSWER_LOST,
        )

    async def _call(
        self,
        operation: collections.abc.Callable[
            [], collections.abc.Awaitable[typing.Any]
        ],
        lost: errors.ErrorKind = errors.ErrorKind.STORE_UNAVAILABLE,
    ) -> typing.Any:
        kind = errors.ErrorKind.STORE_UNAVAILABLE
        if self.is_refusing:
            return expression.Error(errors.Failure(kind, 'refused'))
        if not self.is_silent and not self.is_cut:
            reply = await operation()
            if not self.is_cut:
                return reply
            kind = lost
        await anyio.sleep(self._store.timeout_s)
        return expression.Error(errors.Failure(kind, 'no answer'))


class ModelProcess:
    """One process, and its host's access to the store."""

    __slots__ = (
        '_call_scopes',
        '_scope',
        'address',
        'fleet',
        'name',
        'process',
        'store',
    )

    def __init__(
        self,
        name: str,
        address: str,
        process_store: _ProcessStore,
        fleet: host_fleet.HostFleet,
    ) -> None:
        self.name = name
        self.address = address
        self.store = process_store
        self.fleet = fleet
        self.process: process.Process = typing.cast(typing.Any, None)
        # Created here because kill may precede run.
        self._scope = anyio.CancelScope()
        self._call_scopes: set[anyio.CancelScope] = set()

    async def run(self) -> None:
        """Run until killed."""
        with self._scope:
            await self.process.run()

    def kill(self) -> None:
        """End the process and its calls at once, without a clean shutdown."""
        for scope in (self._scope, *self._call_scopes):
            scope.cancel()

    async def call(
        self,
        operation: collections.abc.Callable[
            [], collections.abc.Awaitable[_ResultT]
        ],
    ) -> _ResultT | None:
        """Return the result of a call, or None if the host dies first."""
        with anyio.CancelScope() as scope:
            self._call_scopes.add(scope)
            try:
                return await operation()
            finally:
                self._call_scopes.discard(scope)
        return None


class CellModel:
    """Holds the parts of a cell, and starts and ends its processes."""

    __slots__ = (
        '_config',
        '_configurations',
        '_tasks',
        'advice',
        'configuration',
        'fleet',
        'network',
        'processes',
        'store',
        'timer',
    )

    def __init__(
        self,
        configuration: cell.Cell,
        tasks: anyio.abc.TaskGroup,
        config: settings.SchedulerSettings | None = None,
        seed: int = 1,
        advice_terms: cell.AdviceTerms = _DEFAULT_ADVICE_TERMS,
        granted_share: float = 0.7,
        *,
        is_configured_by_store: bool = False,
    ) -> None:
        """Create a cell; its configuration can change only in the store."""
        self.configuration = configuration
        # By their stored values; empty if the configuration is fixed.
        self._configurations: dict[bytes, cell.Cell] = {}
        self.store = store.MemoryStore(seed)
        self.network = network.Network()
        self.fleet = fleets.Fleet()
        self.advice = advice.AdviceService(advice_terms, granted_share)
        self.timer = virtual_time.LoopTimer()
        self.processes: dict[str, ModelProcess] = {}
        self._tasks = tasks
        self._config = config or settings.SchedulerSettings()
        if is_configured_by_store:
            self.configure(configuration)

    def configure(self, configuration: cell.Cell) -> None:
        """Write another version of the configuration, as operators do."""
        self.configuration = configuration
        entry = str(configuration.version).encode()
        self._configurations[entry] = configuration
        self.store.put(_CONFIGURATION_KEY, entry)

    def _configuration_source(
        self, process_store: core_ports.WatchableStore
    ) -> typing.Any:
        if self._configurations:
            return _StoredConfiguration(process_store, self._configurations)
        return _FixedConfiguration(self.configuration)

    def now_ms(self) -> int:
        """Return the wall-clock time."""
        return int(asyncio.get_running_loop().time() * _MS)

    def start(self, name: str) -> ModelProcess:
        """Start a process, or a new incarnation of it."""
        address = f'{name}:1'
        model = ModelProcess(
            name,
            address,
            _ProcessStore(self.store),
            host_fleet.HostFleet(self.fleet),
        )
        model.process = process.Process(
            process.Identity(name, address, 'domain-0', ()),
            model.store,
            self._configuration_source,
            lambda _store: model.fleet,
            model.fleet,
            self.advice,
            self.timer,
            self.now_ms,
            self._config,
            network.ProcessNetwork(self.network, address),
        )
        self.processes[name] = model
        self._tasks.start_soon(model.run)
        return model

    def kill(self, name: str) -> None:
        """Kill a process; its address then refuses connections."""
        model = self.processes.pop(name)
        self.network.close(model.address)
        model.kill()

    async def stop(self, name: str, linger_s: float = 0.0) -> None:
        """Shut a process down in order; it may answer others for longer."""
        model = self.processes.pop(name)
        await model.process.stop()
        await anyio.sleep(linger_s)
        self.network.close(model.address)
        model.kill()

    def scheduler(self) -> str | None:
        """Return the scheduling process with the newest term, if any."""
        newest: tuple[float, str] | None = None
        for name, model in self.processes.items():
            figures = model.process.figures()
            if figures['schedules'] and figures.get('workers_known'):
                candidate = (figures['token'], name)
                newest = max(newest, candidate) if newest else candidate
        return newest[1] if newest else None


@contextlib.asynccontextmanager
async def running(
    configuration: cell.Cell, process_count: int, **options: typing.Any
) -> collections.abc.AsyncIterator[CellModel]:
    """Run a cell for the duration of a block."""
    async with anyio.create_task_group() as tasks:
        model = CellModel(configuration, tasks, **options)
        for number in range(process_count):
            model.start(f'host-{number}')
        yield model
        tasks.cancel_scope.cancel()
