"""The main loop of the job owner of one process."""

from __future__ import annotations

import collections.abc
import random
import typing

import anyio.abc

from walnutpoint_core import logs
from walnutpoint_core import ports
from walnutpoint_core import timer as timers
from walnutpoint_entry.jobs import _displacement
from walnutpoint_entry.jobs import _estimate
from walnutpoint_entry.jobs import _flusher
from walnutpoint_entry.jobs import _journal
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _owners
from walnutpoint_entry.jobs import _policies
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry.jobs import _poller
from walnutpoint_entry.jobs import _ports
from walnutpoint_entry.jobs import _queue
from walnutpoint_entry.jobs import _quota
from walnutpoint_entry.jobs import _reservation
from walnutpoint_entry.jobs import _shard
from walnutpoint_entry.jobs import _starter
from walnutpoint_entry.jobs import _stopper
from walnutpoint_entry.jobs import _views
from walnutpoint_entry.jobs import _writer
from walnutpoint_entry import ownership as ownership_module
from walnutpoint_entry import tasks

__all__ = ('JobService',)

_LOG = logs.get_logger(__name__)
_READ_RETRY_S: typing.Final = 1.0
_STARTS_PER_JOB: typing.Final = 64


class JobService:
    """Starts, monitors and ends the jobs of the owned shards."""

    def __init__(
        self,
        timer: timers.Timer,
        settings: _ports.JobSettings,
        ownership: _ports.Ownership,
        clients: tasks.OwnerClients,
        configurations: _ports.ConfigurationSource,
        store: ports.Store,
        store_prefix: str,
        unix_now_s: collections.abc.Callable[[], float],
        rng: random.Random,
        task_group: anyio.abc.TaskGroup,
    ) -> None:
        self._timer = timer
        self._settings = settings
        self._owners = _owners.Owners(ownership, clients)
        self._configurations = configurations
        self._unix_now_s = unix_now_s
        self._tasks = task_group
        self._ticks: timers.Subscription | None = None
        self._shards: dict[int, _shard.Shard] = {}
        self._items: dict[int, dict[str, _model.JobItem]] = {}
        self._entitlements = _quota.Entitlements(-1, {}, {})
        self._journal = _journal.JobJournal(timer)
        self._estimator = _estimate.SizeEstimator()
        self._writer = _writer.ProgressWriter(
            store, store_prefix, settings.deferred_write_s
        )
        self._stopper = _stopper.Stopper(
            timer, self._owners, self._journal, task_group, self._wake
        )
        self._starter = _starter.Starter(
            timer,
            settings,
            self._owners,
            self._stopper,
            self._estimator,
            self._journal,
            task_group,
            self._wake,
        )
        self._queue = _queue.StartQueue(
            timer,
            settings,
            self._starter,
            _displacement.Displacer(timer, self._stopper),
        )
        self._poller = _poller.Poller(
            timer, settings, self._owners, task_group, self._wake
        )
        self._reservations = _reservation.Reservations(
            timer,
            self._owners,
            self._starter,
            self._stopper,
            self._journal,
            rng,
            task_group,
            self._wake,
        )
        self._flusher = _flusher.Flusher(
            timer,
            settings,
            configurations,
            self._writer,
            self._owners,
            task_group,
        )

    def on_acquired(self, acquired: ownership_module.AcquiredAsset) -> None:
        """Start managing the jobs of a shard."""
        index = ownership_module.shard_index(acquired.asset)
        self._drop(index)
        shard = _shard.Shard(
            acquired.asset,
            index,
            acquired.epoch,
            self._timer.now_s(),
            self._settings,
            self._estimator,
        )
        self._shards[index] = shard
        self._tasks.start_soon(self._load, shard)

    def on_lost(self, lost: ownership_module.LostAsset) -> None:
        """Stop acting for a shard before returning."""
        self._drop(ownership_module.shard_index(lost.asset))

    async def run(self, ticks: timers.Subscription) -> None:
        """Run a step at each tick until cancelled."""
        self._ticks = ticks
        async for _ in ticks:
            self.step()

    def period_s(self) -> float:
        """Return how long to wait for the next tick."""
        needs_fast_ticks = any(
            shard.search is not None
            or any(_needs_fast_ticks(job) for job in shard.jobs.values())
            for shard in self._shards.values()
        )
        settings = self._settings
        return settings.tick_s if needs_fast_ticks else settings.rest_tick_s

    def step(self) -> None:
        """Adopt the configuration, plan each job and send due requests."""
        self._adopt_configuration()
        queued: list[_queue.QueuedStart] = []
        are_all_reachable = self._owners.are_all_reachable()
        owners = self._owners.names() if are_all_reachable else None
        active_shards = tuple(
            shard
            for shard in self._shards.values()
            if shard.is_loaded and self._owners.may_act(shard)
        )
        for shard in active_shards:
            self._sync(shard)
            if not shard.is_synced:
                continue
            self._poller.poll(shard)
            for job in shard.jobs.values():
                self._mark_tasks_doubtful(job, owners)
                self._plan(shard, job, queued)
            for stray in tuple(shard.stray_attempts.values()):
                self._stopper.begin_stop_of_stray(shard, stray)
            shard.drop_removed()
        self._queue.run(
            queued,
            self._entitlements,
            active_shards,
            self._configurations.current(),
        )
        self._flusher.flush_if_due(active_shards)

    def jobs(self) -> tuple[_views.JobView, ...]:
        """Return the state of the jobs and services owned here."""
        return tuple(
            _views.view(job)
            for shard in self._shards.values()
            for job in shard.jobs.values()
        )

    def explain(self, name: str) -> _views.Explanation | None:
        """Return the state of a job and the decisions on it."""
        decisions = self._journal.decisions(name)
        for shard in self._shards.values():
            if name in shard.jobs:
                found = _views.view(shard.jobs[name])
                return _views.Explanation(found, decisions, None)
        for ended in reversed(self._journal.ended()):
            if ended.job == name:
                return _views.Explanation(None, decisions, ended)
        return None

    def ended(self) -> tuple[_journal.EndedJob, ...]:
        """Return the jobs that ended here, oldest first."""
        return self._journal.ended()

    def outcomes(self) -> dict[str, int]:
        """Return how many decisions had each outcome."""
        return self._journal.outcomes()

    def _drop(self, index: int) -> None:
        shard = self._shards.pop(index, None)
        if shard is not None:
            shard.is_open = False
            self._writer.close(index)
            self._poller.forget(shard)

    async def _load(self, shard: _shard.Shard) -> None:
        """Read the progress of earlier owners, retrying until it succeeds."""
        while shard.is_open:
            read = await self._writer.read(shard.index)
            if read.is_ok():
                refreshed = await self._configurations.refresh()
                if refreshed.is_ok():
                    break
            await self._timer.sleep(_READ_RETRY_S)
        if not shard.is_open:
            return

        def merge(progress: typing.Any) -> None:
            shard.merge(progress, self._timer.now_s())

        self._writer.open(
            shard.index, shard.epoch, read.ok, shard.snapshot, merge
        )
        shard.restore(read.ok.progress, refreshed.ok.revision)
        _LOG.info('shard_loaded', shard=shard.index, epoch=shard.epoch)
        self._wake()

    def _adopt_configuration(self) -> None:
        configuration = self._configurations.current()
        if configuration.revision <= self._entitlements.revision:
            return
        self._items = _shard.items_by_shard(
            configuration, self._settings.shards
        )
        self._entitlements = _quota.entitlements(configuration)

    def _sync(self, shard: _shard.Shard) -> None:
        revision = self._entitlements.revision
        if shard.is_synced and shard.synced_revision == revision:
            return
        shard.sync(
            self._items.get(shard.index, {}),
            revision,
            self._timer.now_s(),
            self._unix_now_s(),
        )

    def _plan(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        queued: list[_queue.QueuedStart],
    ) -> None:
        for task in job.in_phase(_model.Phase.STOPPING):
            self._stopper.request_stop(shard, job, task)
        if job.ending is not None:
            return
        plan = self._make_plan(job)
        if plan.reason:
            job.reason = plan.reason
        for stop in plan.stops:
            self._stopper.begin_stop(shard, job, stop)
        for start in plan.starts:
            queued.append(_queue.QueuedStart(shard, job, start))
        if plan.reserve is not None:
            self._reserve(shard, job, plan.reserve)
        if plan.ending is not None:
            self._end(job, plan.ending)

    def _reserve(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        task_class: tasks.TaskClass,
    ) -> None:
        configuration = self._configurations.current()
        policy = configuration.policy('gang')
        may_displace = (
            task_class is tasks.TaskClass.GANG
            and policy.may_preempt_batch
            and configuration.policy('batch').preemption != 'none'
        )
        self._reservations.begin_reservation(
            shard, job, task_class, policy, may_displace
        )

    def _make_plan(self, job: _model.Job) -> _policy.Plan:
        if job.item.is_cancelled or job.is_removed:
            if job.is_reserving:
                return _policy.Plan(reason='cancelling')
            plan = _policy.plan_cancellation(job)
            if job.is_removed:
                return _policy.Plan(stops=plan.stops, reason='removed')
            return plan
        context = _policy.Context(
            now_s=self._timer.now_s(),
            unix_now_s=self._unix_now_s(),
            entitled=self._entitlements.tasks(job.item.key),
            may_borrow=self._entitlements.may_borrow(job.item.team),
            policy=self._configurations.current().policy(job.item.kind.value),
            starts_max=_STARTS_PER_JOB,
        )
        return _policies.POLICIES[job.item.kind].plan(job, context)

    def _mark_tasks_doubtful(
        self, job: _model.Job, owners: frozenset[str] | None
    ) -> None:
        """Mark the tasks of an owner that left the table as doubtful."""
        if owners is None:
            return
        for task in job.in_phase(_model.Phase.RUNNING):
            if task.owner not in owners:
                job.move(task, _model.Phase.DOUBTFUL, self._timer.now_s())

    def _end(self, job: _model.Job, ending: _model.Ending) -> None:
        job.ending = ending
        self._journal.record_ended(
            _journal.EndedJob(
                job=job.item.key,
                outcome=ending.outcome.value,
                reason=ending.reason,
            )
        )

    def _wake(self) -> None:
        if self._ticks is not None:
            self._ticks.wake()


def _needs_fast_ticks(job: _model.Job) -> bool:
    if job.ending is not None and not job.is_end_recorded:
        return True
    is_service = job.item.kind is _model.JobKind.SERVICE
    if not is_service and not job.is_end_recorded:
        return True
    settled = job.count(_model.Phase.RUNNING, _model.Phase.DONE)
    return settled < len(job.tasks)
