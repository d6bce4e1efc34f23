"""One term of a scheduler: from its token until the token is lost."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

import anyio

from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_core import ports as core_ports
from walnutpoint_core import timer
from walnutpoint_scheduler import _advice
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _directory
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _journal
from walnutpoint_scheduler import _links
from walnutpoint_scheduler import _load_report
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _orders
from walnutpoint_scheduler import _placer
from walnutpoint_scheduler import _resizing_pools
from walnutpoint_scheduler import _retention
from walnutpoint_scheduler import _run_monitor
from walnutpoint_scheduler import _run_time_store
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import admission
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import intake
from walnutpoint_scheduler import leases
from walnutpoint_scheduler import outlier
from walnutpoint_scheduler import ports
from walnutpoint_scheduler import settings
from walnutpoint_scheduler import worker_health

__all__ = (
    'Dependencies',
    'Term',
)

_LOG: typing.Final = logs.get_logger('term')
_RESTORED: typing.Final = metrics.Latency(
    'term_restore', 'Time from winning the key to the first placement.'
)
# Pause between two placement passes, so that several events share one.
_PASS_PAUSE_S: typing.Final = 0.002
# Period of passes without events, for due occurrences and expired tickets.
_IDLE_PASS_PERIOD_S: typing.Final = 0.1
_RETRY_S: typing.Final = 0.1
_ISOLATION_CHECK_S: typing.Final = 0.1
# A worker that fails this many different tasks in a row is ejected for a time
# that doubles; meanwhile it fails one probe task at a time.
_EJECT_AFTER_FAILURES: typing.Final = 3
_EJECT_S: typing.Final = 1.0
_EJECT_MAX_S: typing.Final = 8.0


class Dependencies:
    """The external services that a term uses."""

    __slots__ = (
        'advice',
        'describe_contacts',
        'directory',
        'hosts',
        'is_isolated',
        'now_ms',
        'orders',
        'store',
        'timer',
    )

    def __init__(
        self,
        store: core_ports.WatchableStore,
        directory: ports.WorkerDirectory,
        orders: ports.WorkerOrders,
        advice: ports.AdviceSource,
        clock: timer.Timer,
        now_ms: collections.abc.Callable[[], int],
        is_isolated: collections.abc.Callable[[], bool] = lambda: False,
        describe_contacts: collections.abc.Callable[
            [], dict[str, object]
        ] = dict,
        hosts: leases.Hosts | None = None,
    ) -> None:
        # Fields of a log line with the newest contacts of the process.
        self.describe_contacts = describe_contacts
        self.hosts = hosts or leases.NoOtherHosts(clock)
        self.is_isolated = is_isolated
        self.store = store
        self.directory = directory
        self.orders = orders
        self.advice = advice
        self.timer = clock
        self.now_ms = now_ms


class Term:
    """Schedules until the token is lost or handed over."""

    __slots__ = (
        '_confirmation',
        '_context',
        '_dependencies',
        '_earlier_lease_s',
        '_grants',
        '_intake',
        '_monitor',
        '_placer',
        '_publisher',
        '_scope',
        '_sender',
        '_settings',
        '_wake_event',
        'ready',
        'reason',
        'token',
    )

    def __init__(
        self,
        token: int,
        dependencies: Dependencies,
        config: settings.SchedulerSettings,
        claimed_s: float | None = None,
        earlier_lease_s: float = 0.0,
    ) -> None:
        """Create a term.

        claimed_s is when its claim was requested, earlier_lease_s the longest
        lease of earlier terms that may not have lapsed.
        """
        self.token = token
        self._earlier_lease_s = earlier_lease_s
        if claimed_s is None:
            claimed_s = dependencies.timer.now_s()
        self._confirmation = leases.Confirmation(claimed_s)
        self._grants = leases.Grants(self._confirmation, dependencies.timer)
        self._monitor = leases.TermMonitor(
            token,
            self._confirmation,
            self._grants,
            dependencies.store,
            dependencies.hosts,
            dependencies.timer,
            dependencies.describe_contacts,
            self.end,
        )
        self.reason = ''
        # Whether jobs and records are read, so that counts are valid.
        self.ready = False
        self._dependencies = dependencies
        self._settings = config
        self._wake_event = asyncio.Event()
        self._scope: anyio.CancelScope | None = None
        self._context: _context.Context | None = None
        self._intake: intake.Intake | None = None
        self._sender: _orders.OrderSender | None = None
        self._placer: _placer.Placer | None = None
        self._publisher: admission.Publisher | None = None

    async def run(self, first: cell.Cell) -> None:
        """Schedule until the term ends."""
        async with anyio.create_task_group() as tasks:
            self._scope = tasks.cancel_scope
            await self._schedule(tasks, first)

    def apply_cell(self, newest: cell.Cell) -> None:
        """Apply a newer cell configuration."""
        if self._context is not None:
            self._context.cell = newest
            self._wake_event.set()

    def add(self, job: document.Job) -> bool:
        """Add a job that was just stored; return False if not ready."""
        if self._intake is None or not self.ready:
            return False
        self._intake.add(job, intake.Source.NOTICE)
        return True

    def cancel(self, job_id: str) -> bool:
        """Apply a cancel that was just stored; return False if not ready."""
        if self._intake is None or not self.ready:
            return False
        self._intake.cancel(job_id, intake.Source.NOTICE)
        return True

    def pending(self, queue: str) -> int | None:
        """Return the number of waiting jobs of a queue, once known."""
        if not self.ready or self._context is None:
            return None
        return sum(
            1
            for job in self._context.open_jobs.values()
            if job.document.queue == queue and not job.begun
        )

    def state(self, job_id: str) -> _messages.StateReply:
        """Return a job's state as last stored, once known."""
        job = None
        if self.ready and self._context is not None:
            job = self._context.jobs.get(job_id)
        if job is None:
            return _messages.StateReply(None)
        is_failed = job.saved_state == _state.JobState.FAILED.value
        return _messages.StateReply(
            job.saved_state,
            job.reason if is_failed else '',
            job.document.account,
        )

    def pool_capacities(self) -> tuple[_messages.PoolCapacities, ...]:
        """Return the largest worker capacities of each pool."""
        if self._context is None:
            return ()
        return tuple(
            _messages.PoolCapacities(pool, tuple(capacities))
            for pool, capacities in self._context.roster.max_by_pool().items()
        )

    def backlog(self) -> tuple[bytes, float]:
        """Return the newest backlog as a message, and its age."""
        if self._publisher is None:
            return b'', 0.0
        return self._publisher.encoded, self._publisher.age_s

    def figures(self) -> dict[str, float]:
        """Return the term's gauges and counters."""
        context, sender, placer = self._context, self._sender, self._placer
        if context is None or sender is None or placer is None:
            return {}
        workers = context.roster.workers.values()
        return {
            'jobs_open': len(context.open_jobs),
            'workers_answering': sum(w.answering for w in workers),
            'workers_known': len(workers),
            'runs_booked': sum(len(w.runs) for w in workers),
            'journal_pending': context.journal.pending,
            'journal_commits': context.journal.commits,
            'journal_rows': context.journal.rows,
            'runs_displaced': placer.displaced,
            'runs_started': sender.started,
            'starts_refused': sender.refused,
            'starts_unanswered': sender.unanswered,
            'advice_calls': context.advice.calls,
            'advice_in_flight': context.advice.limited_in_flight,
            'advice_working_set': placer.working_set_size,
            'passes': placer.passes,
            'longest_wait_s': placer.longest_wait_s,
            'suspects_at_work': context.suspects.isolated_count(),
            'workers_overrun': sum(w.is_overrun for w in workers),
            'workers_closed': sum(_is_closed(context, w) for w in workers),
        }

    def end(self, reason: str) -> None:
        """End the term; nothing more is sent or written under it."""
        if not self.reason:
            self.reason = reason
            _LOG.warning(
                'term.ended',
                token=self.token,
                reason=reason,
                **self._monitor.describe(),
            )
        if self._scope is not None:
            self._scope.cancel()

    async def _schedule(
        self, tasks: anyio.abc.TaskGroup, first: cell.Cell
    ) -> None:
        dependencies, config = self._dependencies, self._settings
        context = _context.Context(
            self.token,
            config,
            dependencies.timer,
            dependencies.now_ms,
            dependencies.orders,
            tasks,
            worker_health.WorkerHealth(
                outlier.OutlierDetector(
                    _EJECT_AFTER_FAILURES, _EJECT_S, _EJECT_MAX_S
                )
            ),
            self._grants,
            self._earlier_lease_s,
        )
        if config.policies.observed_run_times:
            context.observe_run_times()
        context.cell = first
        context.on_deposed = self.end
        context.wake = self._wake_event.set
        context.journal = _journal.Journal(
            dependencies.store,
            self.token,
            dependencies.now_ms,
            dependencies.timer,
            self.end,
            self._confirmation,
        )
        context.advice = _advice.AdviceCache(
            dependencies.advice,
            dependencies.timer.now_s,
            tasks,
            self._wake_event.set,
        )
        ends = _ends.EndHandler(context)
        sender = _orders.OrderSender(context, ends)
        ends.stop = sender.stop
        links = _links.WorkerLinks(context, ends, sender)
        sender.request_report = links.request_report
        directory = _directory.Directory(
            context, dependencies.directory, ends, links
        )
        job_intake = intake.Intake(context, dependencies.store, ends)
        self._context, self._sender = context, sender
        self._intake = job_intake
        self._placer = placer = _placer.Placer(context, sender)
        pools = _resizing_pools.ResizingPools(context, dependencies.store)

        if context.observed is not None:
            # Guarded: a record that it fails on would end each term.
            context.spawn(
                _run_time_store.RunTimeStore(
                    context, context.observed, dependencies.store
                ).run
            )
        # Before the restore, which may take longer than a lease.
        tasks.start_soon(self._monitor.run)
        revision = await self._restore(job_intake, directory, pools)
        self.ready = True
        restored_s = dependencies.timer.now_s() - context.started_s
        _RESTORED.observe('term', restored_s)
        _LOG.info(
            'term.started',
            token=self.token,
            revision=revision,
            jobs=len(context.jobs),
            open=len(context.open_jobs),
            workers=len(context.roster.workers),
            restored_s=round(restored_s, 3),
        )
        tasks.start_soon(context.journal.run)
        tasks.start_soon(directory.follow)
        tasks.start_soon(job_intake.follow, revision)
        tasks.start_soon(_run_monitor.RunMonitor(context, sender).run)
        tasks.start_soon(pools.run)
        tasks.start_soon(_load_report.LoadReport(context).run)
        if config.policies.hopeless_refusal:
            self._publisher = admission.Publisher(context)
            tasks.start_soon(self._publisher.run)
        tasks.start_soon(self._watch_isolation)
        tasks.start_soon(_retention.Retention(context, dependencies.store).run)
        await self._run_passes(placer)

    async def _restore(
        self,
        job_intake: intake.Intake,
        directory: _directory.Directory,
        pools: _resizing_pools.ResizingPools,
    ) -> int:
        """Read everything; restore workers before the runs on them."""
        while True:
            # Concurrently: with a slow store each read takes 70 times as
            # long, and nothing starts before the last.
            values, workers_read, pools_read = await asyncio.gather(
                job_intake.read(), directory.read(), pools.read()
            )
            if values is not None and workers_read and pools_read:
                break
            await self._dependencies.timer.sleep(_RETRY_S)
        await job_intake.restore(values)
        directory.open_links()
        return values.revision

    async def _run_passes(self, placer: _placer.Placer) -> None:
        while True:
            with anyio.move_on_after(_IDLE_PASS_PERIOD_S):
                await self._wake_event.wait()
            self._wake_event.clear()
            began_s = self._dependencies.timer.now_s()
            try:
                await placer.run()
            except Exception as error:
                # One job that can't be placed must not stop the others.
                _LOG.exception('pass.failed', error=repr(error))
            took_s = self._dependencies.timer.now_s() - began_s
            # With many waiting steps a pass takes long: leave orders and
            # reports at least as much of the core.
            await self._dependencies.timer.sleep(max(_PASS_PAUSE_S, took_s))

    async def _watch_isolation(self) -> None:
        """End the term when no one could report a successor."""
        async for _ in self._dependencies.timer.subscribe(
            lambda: _ISOLATION_CHECK_S
        ):
            if self._dependencies.is_isolated():
                self.end('isolated from the store and all processes')


def _is_closed(context: _context.Context, worker: _worker.WorkerState) -> bool:
    """Return whether a worker answers but gets no new starts."""
    if not worker.answering or worker.listed.draining:
        return False
    return (
        not worker.accepts_starts
        or worker.isolates_suspect
        or not context.health.may_start(worker.worker_id)
    )
