"""State and services shared by the components of one term."""

from __future__ import annotations

import collections.abc
import typing

import anyio.abc

from walnutpoint_core import logs
from walnutpoint_core import timer
from walnutpoint_scheduler import _advice
from walnutpoint_scheduler import _journal
from walnutpoint_scheduler import _roster
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _suspects
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import estimates
from walnutpoint_scheduler import leases
from walnutpoint_scheduler import overload
from walnutpoint_scheduler import placement
from walnutpoint_scheduler import ports
from walnutpoint_scheduler import settings
from walnutpoint_scheduler import worker_health
from walnutpoint_scheduler import worker_pace

__all__ = ('Context',)

_LOG: typing.Final = logs.get_logger('term')


class Context:
    """Holds one term's state and outgoing interfaces.

    An order carries the token of the context that decided it. A scheduler
    that is deposed and elected again gets a new context, so that no decision
    of the old term can be sent under the new token.
    """

    __slots__ = (
        '_earlier_lease_s',
        'advice',
        'advice_cutoffs',
        'cell',
        'copies_wanted',
        'entitlement',
        'grants',
        'health',
        'is_advice_contended',
        'jobs',
        'journal',
        'now_ms',
        'observed',
        'on_deposed',
        'open_jobs',
        'orders',
        'overload',
        'pace',
        'roster',
        'run_times',
        'settings',
        'speeds',
        'started_s',
        'suspects',
        'tasks',
        'timer',
        'token',
        'wake',
    )

    def __init__(
        self,
        token: int,
        config: settings.SchedulerSettings,
        clock: timer.Timer,
        now_ms: collections.abc.Callable[[], int],
        orders: ports.WorkerOrders,
        tasks: anyio.abc.TaskGroup,
        health: worker_health.WorkerHealth,
        grants: leases.Grants | None = None,
        earlier_lease_s: float = 0.0,
    ) -> None:
        self.token = token
        self.settings = config
        self.timer = clock
        self.started_s = clock.now_s()
        self._earlier_lease_s = earlier_lease_s
        self.grants = grants or leases.Grants(
            leases.Confirmation(self.started_s), clock
        )
        self.now_ms = now_ms
        self.orders = orders
        self.tasks = tasks
        self.health = health
        self.jobs: dict[str, _state.JobProgress] = {}
        # The jobs that are not final.
        self.open_jobs: dict[str, _state.JobProgress] = {}
        # Tasks whose run may be lost and that may run speculatively.
        self.copies_wanted: dict[ports.TaskName, _state.TaskProgress] = {}
        self.pace = worker_pace.WorkerPace()
        self.run_times: estimates.RunTimes = estimates.DeclaredRunTimes()
        # Where run times are observed, the same object as run_times.
        self.observed: estimates.ObservedRunTimes | None = None
        self.overload = overload.Overload()
        # Whether useful steps need advice, so that useless ones request none.
        self.is_advice_contended = False
        self.speeds = placement.SpeedRegister()
        self.roster = _roster.Roster()
        self.entitlement = accounts.Entitlement()
        self.suspects = _suspects.Suspects(self.roster, clock)
        self.cell = cell.Cell(0)
        self.journal: _journal.Journal = typing.cast(typing.Any, None)
        # Rank of the last step that may request advice, by pool; pools
        # without a limit are left out.
        self.advice_cutoffs: dict[str, tuple[typing.Any, ...]] = {}
        self.advice: _advice.AdviceCache = typing.cast(typing.Any, None)
        self.on_deposed: collections.abc.Callable[[str], None] = (
            _ignore_deposal
        )
        self.wake: collections.abc.Callable[[], None] = lambda: None

    def new_lease(self) -> leases.WorkerLease:
        """Return the lease of a worker that earlier terms may have granted."""
        return leases.WorkerLease(
            self.settings.lease_s, self.started_s, self._earlier_lease_s
        )

    def observe_run_times(self) -> None:
        """Estimate run times from observed runs from now on."""
        self.run_times = self.observed = estimates.ObservedRunTimes()
        self.pace.expected_slowdown = self.observed.slowdown_of
        self.pace.large_share = self.observed.large_share

    def forget_speed(self, worker_id: str) -> None:
        """Forget the pace of a worker whose incarnation has ended."""
        self.pace.forget(worker_id)
        if self.observed is not None:
            self.observed.forget(worker_id)

    def expected_s(
        self, step: _state.StepProgress, worker: _worker.WorkerState
    ) -> float:
        """Return the expected run time of a step's task on a worker."""
        queue = self.queue_of(step.job).name
        task_s = self.run_times.task_s(queue, step.key, step.step)
        return task_s * self.run_times.slowdown(worker.listed)

    def spawn(
        self,
        work: collections.abc.Callable[..., collections.abc.Awaitable[object]],
        *arguments: object,
    ) -> None:
        """Run a background task until the term ends."""
        self.tasks.start_soon(self._run_guarded, work, arguments)

    async def _run_guarded(
        self,
        work: collections.abc.Callable[..., collections.abc.Awaitable[object]],
        arguments: tuple[object, ...],
    ) -> None:
        """Log unexpected exceptions instead of ending the term.

        The next term would read the same jobs and hit the same fault: one
        order that can't be sent would stop the whole cell for good.
        """
        try:
            await work(*arguments)
        except Exception as error:
            _LOG.exception(
                'task.failed',
                work=getattr(work, '__qualname__', repr(work)),
                error=repr(error),
            )

    def queue_of(self, job: _state.JobProgress) -> cell.Queue:
        """Return a job's queue as configured now, or else as last known."""
        queue = self.cell.queue(job.document.queue)
        if queue is not None:
            job.queue = queue
        return job.queue

    def account_of(self, job: _state.JobProgress) -> accounts.Account | None:
        """Return a job's account as configured now, or else as last known.

        At first that is the account as it was when the job was accepted.
        None for a job of a public queue, or without accounts.
        """
        account = self.cell.account(job.document.account)
        if account is not None:
            job.account = account
        return job.account


def _ignore_deposal(_reason: str) -> None:
    """Ignore a deposal until the term sets its handler."""
