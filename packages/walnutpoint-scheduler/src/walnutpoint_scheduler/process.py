"""One process of the system: accepts jobs, and schedules when elected."""

from __future__ import annotations

import collections.abc
import secrets
import typing

import anyio
import anyio.abc
import msgspec

from walnutpoint_core import logs
from walnutpoint_core import ports as core_ports
from walnutpoint_core import timer
from walnutpoint_scheduler import _advice_router
from walnutpoint_scheduler import _control
from walnutpoint_scheduler import _handover
from walnutpoint_scheduler import _leadership
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _network
from walnutpoint_scheduler import _peer_service
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import _relay
from walnutpoint_scheduler import _term
from walnutpoint_scheduler import admission
from walnutpoint_scheduler import cell as cells
from walnutpoint_scheduler import job_status
from walnutpoint_scheduler import leases
from walnutpoint_scheduler import ports
from walnutpoint_scheduler import settings
from walnutpoint_scheduler import submission

__all__ = (
    'HttpNetwork',
    'Identity',
    'Listener',
    'Network',
    'Process',
)

_LOG: typing.Final = logs.get_logger('process')
# A process without a reply from the store for this long can't serve new
# connections.
_READY_STORE_AGE_MAX_S: typing.Final = 2.0
# Interval between checks whether only other hosts reach the store: a few
# failed direct calls.
_STEP_DOWN_CHECK_S: typing.Final = 0.1
# Delay before other processes are asked again, after all declined.
_STEP_DOWN_RETRY_S: typing.Final = 1.0
# Pause before a failed part is restarted.
_RESTART_S: typing.Final = 0.2

HttpNetwork = _network.HttpNetwork
Identity = _network.Identity
Listener = _network.Listener
Network = _network.Network


class Process:
    """Assembles and runs the parts of one process."""

    __slots__ = (
        '_advice',
        '_cell',
        '_cells',
        '_configured',
        '_control',
        '_directory',
        '_handover',
        '_leadership',
        '_members',
        '_now_ms',
        '_orders',
        '_peer_server',
        '_peers',
        '_settings',
        '_store',
        '_tasks',
        '_term',
        '_timer',
        'job_status',
        'submissions',
        'term_count',
    )

    def __init__(
        self,
        identity: Identity,
        store: core_ports.WatchableStore,
        make_cells: collections.abc.Callable[
            [core_ports.WatchableStore], ports.CellSource
        ],
        make_directory: collections.abc.Callable[
            [core_ports.WatchableStore], ports.WorkerDirectory
        ],
        orders: ports.WorkerOrders,
        advice: ports.AdviceSource,
        clock: timer.Timer,
        now_ms: collections.abc.Callable[[], int],
        config: settings.SchedulerSettings,
        network: Network | None = None,
    ) -> None:
        """Assemble the parts; nothing is sent before run()."""
        network = network or HttpNetwork()
        local_member = _messages.Member(
            identity.name,
            identity.peer_address,
            identity.domain,
            secrets.token_hex(8),
            identity.strength,
        )
        self._timer = clock
        self._now_ms = now_ms
        self._settings = config
        self._orders = orders
        self._members = _membership.Membership(local_member)
        self._peers = _peers.Peers(network)
        self._store = _relay.RelayedStore(
            store, self._members, self._peers, clock
        )
        self._cells = make_cells(self._store)
        self._directory = make_directory(self._store)
        self._leadership = _leadership.Leadership(
            self._store, self._members, self._peers, clock, config
        )
        self._handover = _handover.Handover(
            self._leadership, self._store, self._members, self._peers, clock
        )
        self._control = _control.Control(
            self._store,
            self._members,
            self._leadership,
            self._peers,
            clock,
            identity.seeds,
        )
        self._advice = _advice_router.AdviceRouter(
            advice,
            self._members,
            self._peers,
            clock,
            lambda: self._settings.policies.advice_spreading,
            lambda: _advice_router.brief_limit_s(self._cell),
        )
        self._cell: cells.Cell | None = None
        self._configured = anyio.Event()
        self._term: _term.Term | None = None
        self._tasks: anyio.abc.TaskGroup | None = None
        self.term_count = 0
        self.submissions = submission.Submissions(
            self._store,
            self._leadership,
            self._peers,
            clock,
            lambda: self._term,
            self._spawn,
            lambda name: self._cell.account(name) if self._cell else None,
            admission.AdmissionGate(
                clock, lambda: self._settings.policies.hopeless_refusal
            ),
        )
        self.job_status = job_status.JobStatus(
            self._store,
            self._leadership,
            self._peers,
            clock,
            lambda: self._term,
        )
        self._peer_server = network.server(
            identity.peer_address,
            _peer_service.PeerService(
                local_member,
                store,
                self._members,
                self._leadership,
                self._handover,
                advice,
                clock,
                lambda: self._term,
                self._store,
                lambda: self._cell,
            ).handle,
        )

    @property
    def cell(self) -> cells.Cell | None:
        """Return the current configuration, or None before the first."""
        return self._cell

    async def wait_for_cell(self, wait_s: float) -> cells.Cell | None:
        """Return the configuration; wait up to wait_s for the first."""
        if self._cell is None:
            with anyio.move_on_after(wait_s):
                await self._configured.wait()
        return self._cell

    @property
    def ready(self) -> bool:
        """Return whether to accept new connections."""
        age_s = self._timer.now_s() - self._store.answered_s
        return (
            self._cell is not None
            and not self._leadership.is_stopping
            and age_s < _READY_STORE_AGE_MAX_S
        )

    def figures(self) -> dict[str, float]:
        """Return the process's gauges and counters."""
        figures = {
            'schedules': float(self._term is not None),
            'token': float(self._leadership.revision),
            'cell_version': float(self._cell.version if self._cell else 0),
            'members': float(len(self._members.all())),
            'store_relayed': float(self._store.relayed),
            'scheduler_changes': float(self._leadership.scheduler_changes),
        }
        if self._term is not None:
            figures |= self._term.figures()
        return figures

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await self._peer_server.start()
            tasks.start_soon(self._supervise, self._follow_cell)
            tasks.start_soon(self._supervise, self._control.run)
            tasks.start_soon(self._supervise, self._control.run_expiry)
            tasks.start_soon(self._supervise, self._leadership.monitor)
            tasks.start_soon(self._supervise, self._leadership.run_heartbeat)
            tasks.start_soon(self._supervise, self._store.watch_outages)
            tasks.start_soon(self._supervise, self._step_down)
            tasks.start_soon(self._supervise, self._store.calls.log_counts)
            await self._serve_terms()

    def apply_settings(self, config: settings.SchedulerSettings) -> None:
        """Apply new settings from the next term on."""
        self._settings = config
        self._leadership.lease_s = config.lease_s

    async def stop(self) -> None:
        """Hand over the term and deregister."""
        self._leadership.is_stopping = True
        if self._term is not None:
            # Changes that are not stored yet are dropped: their orders are
            # unsent and their ends not acknowledged. Waiting for the store
            # would only lengthen the gap.
            handed_over = await self._handover.hand_over()
            if self._term is not None:
                self._term.end('planned stop')
            if not handed_over:
                await self._handover.release()
        await self._control.deregister()

    async def _step_down(self) -> None:
        """Hand over while only other processes reach the store."""
        while True:
            await self._timer.sleep(_STEP_DOWN_CHECK_S)
            if self._term is None or not self._store.is_relayed_only:
                continue
            if not await self._handover.step_down():
                # No eligible process reaches the store either.
                await self._timer.sleep(_STEP_DOWN_RETRY_S)
            elif self._term is not None:
                self._term.end('the store answers only through others')

    async def _supervise(
        self,
        work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Restart a part whenever it fails or returns.

        An unexpected exception in one part would otherwise end the process
        for the callers of all others.
        """
        while True:
            try:
                await work()
            except Exception as error:
                _LOG.exception('part.failed', error=repr(error))
            await self._timer.sleep(_RESTART_S)

    def _spawn(self, work: typing.Any, *arguments: object) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(self._run_guarded, work, arguments)

    async def _run_guarded(
        self, work: typing.Any, arguments: tuple[object, ...]
    ) -> None:
        """Log an exception, so that one message can't end the process."""
        try:
            await work(*arguments)
        except Exception as error:
            _LOG.exception('task.failed', error=repr(error))

    async def _serve_terms(self) -> None:
        while True:
            token = await self._leadership.wait_elected()
            claim = self._leadership.own_claim
            term = self._term = _term.Term(
                token,
                _term.Dependencies(
                    self._store,
                    self._directory,
                    self._orders,
                    self._advice,
                    self._timer,
                    self._now_ms,
                    self._leadership.is_isolated,
                    self._leadership.describe_contacts,
                    leases.HostPoll(self._members, self._peers, self._timer),
                ),
                # A successor waits for leases of the duration in the claim.
                msgspec.structs.replace(self._settings, lease_s=claim.lease_s),
                self._leadership.claimed_s,
                claim.earlier_lease_s,
            )
            self.term_count += 1
            while self._cell is None:
                await self._timer.sleep(_RESTART_S)
            try:
                await term.run(self._cell)
            except Exception as error:
                _LOG.exception('term.failed', token=token, error=repr(error))
            self._term = None
            self._leadership.note_term_end()

    async def _follow_cell(self) -> None:
        while True:
            began_s = self._timer.now_s()
            before = self._cell
            period_s = self._settings.cell_period_s
            newest = await self._cells.watch(period_s)
            if newest.is_ok() and newest.ok is not None:
                self._apply_cell(newest.ok)
            if self._cell is before:
                # Without a working watch the configuration is polled.
                left_s = began_s + period_s - self._timer.now_s()
                await self._timer.sleep(max(0.0, left_s))

    def _apply_cell(self, newest: cells.Cell) -> None:
        current = self._cell
        # A relayed read may be older than a previous one.
        if current is not None and newest.version <= current.version:
            return
        self._cell = newest
        self._configured.set()
        _LOG.info(
            'cell.applied',
            version=newest.version,
            before=current.version if current else 0,
            queues=len(newest.queues),
            pools=len(newest.pools),
            accounts=len(newest.accounts) if newest.accounts else 0,
            keys=newest.accounts.key_count if newest.accounts else 0,
        )
        if self._term is not None:
            self._term.apply_cell(newest)
