"""The service through which job owners run tasks on owned workers."""

from __future__ import annotations

import collections.abc
import typing

import anyio.abc
import expression

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import settings as settings_module
from walnutpoint_core import timer as timers
from walnutpoint_entry import ownership
from walnutpoint_entry import placement
from walnutpoint_entry.tasks import _admission
from walnutpoint_entry.tasks import _cell
from walnutpoint_entry.tasks import _contact
from walnutpoint_entry.tasks import _displacement
from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _leases
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _owner
from walnutpoint_entry.tasks import _placement
from walnutpoint_entry.tasks import _resources
from walnutpoint_entry.tasks import _slots
from walnutpoint_entry.tasks import _tombstones
from walnutpoint_entry.tasks import _vacancy
from walnutpoint_entry.tasks import _wire
from walnutpoint_entry.tasks import _worker
from walnutpoint_scheduler import worker_health

__all__ = ('TaskService',)

_KIND = errors.ErrorKind
_PHASE = _entry.Phase


class TaskService:
    """Run tasks on the owned workers under leases, each at most once."""

    __slots__ = (
        '_admission',
        '_allocator',
        '_displacer',
        '_leases',
        '_orphaned_leases',
        '_owner',
        '_placement',
        '_timer',
        '_times',
        '_tombstones',
    )

    def __init__(
        self,
        timer: timers.Timer,
        settings: settings_module.PlacementSettings,
        owner: _owner.Owner,
        workers: _worker.Workers,
        slots: _slots.SlotKeeper,
        tasks: anyio.abc.TaskGroup,
        times: _contact.LeaseTimes | None = None,
    ) -> None:
        self._timer = timer
        self._times = times or _contact.LeaseTimes()
        self._owner = owner
        outliers = placement.OutlierDetector(
            settings.eject_after_failures,
            settings.eject_s,
            settings.eject_max_s,
        )
        self._allocator = _cell.Allocator(
            slots, worker_health.WorkerHealth(outliers)
        )
        self._leases = _leases.Leases(
            timer, self._times, owner, workers, self._allocator, tasks
        )
        self._displacer = _displacement.Displacer(
            timer, self._times, self._allocator, self._leases
        )
        self._tombstones = _tombstones.Tombstones(self._times.lapse_s)
        self._orphaned_leases = _vacancy.OrphanedLeases(self._times.lapse_s)
        self._admission = _admission.Admission(
            timer, owner, self._allocator, self._tombstones
        )
        self._placement = _placement.Placement(
            timer,
            self._admission,
            self._allocator,
            self._displacer,
            self._leases,
        )

    @property
    def owner(self) -> str:
        """Return the owner's name."""
        return self._owner.member.name

    @property
    def table_revision(self) -> int:
        """Return the table revision that inventories refer to."""
        return self._owner.table_revision

    def running(self, worker: str) -> tuple[_model.TaskReport, ...]:
        """Return the held and started attempts on a worker."""
        return tuple(
            entry.report() for entry in self._allocator.entries(worker)
        )

    def on_acquired(self, acquired: ownership.AcquiredAsset) -> None:
        """Query an acquired worker's tasks before starting any there."""
        self._orphaned_leases.update(
            self._owner.stored_table, self._timer.now_s()
        )
        self._leases.add_worker(acquired.asset, acquired.epoch)

    def on_lost(self, lost: ownership.LostAsset) -> None:
        """Stop renewing and starting tasks on a worker."""
        self._orphaned_leases.update(
            self._owner.stored_table, self._timer.now_s()
        )
        self._leases.remove_worker(lost.asset)

    def update_hosts(self, listing: model.HostListing) -> None:
        """Update capacity and availability from the newest host list."""
        self._allocator.update_hosts(listing)

    async def run(self) -> None:
        """Renew leases, repeat stops and expire leases until cancelled."""
        await self._leases.run()

    async def tick(self) -> None:
        """Run the renewals and expirations that are due."""
        await self._leases.tick(self._timer.now_s())

    def free_tasks(self, spec: _model.TaskSpec) -> int:
        """Estimate how many such tasks could start now."""
        if self._placement.is_blocked_by_requests(spec):
            return 0
        return self._allocator.free_tasks(spec)

    def free_resources(self) -> tuple[_resources.Resources, ...]:
        """Return the free resources of each worker open to new tasks."""
        return self._allocator.free_resources()

    def displaceable_tasks(self, spec: _model.TaskSpec) -> int:
        """Estimate how many could start if batch tasks were displaced."""
        need = _resources.of_size(spec.size)
        return sum(
            amount.fit_count(need) for amount in self.displaceable_resources()
        )

    def displaceable_resources(self) -> tuple[_resources.Resources, ...]:
        """Return each worker's free resources without batch tasks."""
        return self._displacer.displaceable_resources()

    def is_for_batch(self) -> bool:
        """Return whether batch tasks may use free capacity."""
        return self._displacer.is_for_batch()

    def preempt_for_urgent(self, slots: int) -> int:
        """Preempt batch tasks for urgent requests; return how many."""
        return self._displacer.preempt_for_urgent(slots)

    async def hold(
        self,
        spec: _model.TaskSpec,
        hold_s: float,
        avoid_domains: frozenset[str] = frozenset(),
    ) -> _placement.ReportResult:
        """Hold capacity for a task until the hold expires."""
        await self._leases.confirm()
        refusal = self._admission.refusal(spec)
        if refusal is not None:
            return expression.Error(refusal)
        if self._allocator.ended(_wire.Attempt(spec.key, spec.attempt)):
            return _failed(_KIND.NOT_OWNER, 'the attempt has ended')
        now_s = self._timer.now_s()
        entry = self._placement.current_entry(spec)
        if entry is None:
            entry = self._placement.place(spec, avoid_domains, ())
        if entry is None:
            return self._placement.no_capacity(spec)
        if entry.phase is _PHASE.HELD:
            entry.hold_until_s = now_s + hold_s
        return expression.Ok(entry.report())

    async def start(
        self,
        spec: _model.TaskSpec,
        avoid_domains: frozenset[str] = frozenset(),
    ) -> _placement.ReportResult:
        """Start a task where it is held, or on any that has capacity."""
        await self._leases.confirm()
        refusal = self._admission.refusal(spec)
        if refusal is not None:
            return expression.Error(refusal)
        ended = self._allocator.ended(_wire.Attempt(spec.key, spec.attempt))
        if ended is not None:
            return expression.Ok(ended)
        entry = self._placement.current_entry(spec)
        if entry is None:
            return await self._placement.start_anywhere(spec, avoid_domains)
        if entry.phase is _PHASE.HELD:
            return await self._placement.start_at(entry, spec, 'held')
        if entry.phase is _PHASE.RUNNING:
            return expression.Ok(entry.report())
        if entry.phase is _PHASE.DOUBTFUL:
            return await self._leases.resolve(entry)
        return _failed(_KIND.ANSWER_LOST, 'the start is under way')

    async def stop(
        self,
        key: _model.TaskKey,
        attempt: int,
        mode: _model.StopMode,
    ) -> _placement.ReportResult:
        """Release a hold or stop a task; STOPPED confirms the end."""
        name = _wire.Attempt(key, attempt)
        ended = self._allocator.ended(name)
        if ended is not None:
            return expression.Ok(ended)
        now_s = self._timer.now_s()
        is_noted = self._tombstones.add(name, now_s)
        entry = self._allocator.live(key)
        if entry is not None and entry.attempt != attempt:
            entry = None
        if entry is not None and entry.phase is not _PHASE.HELD:
            return await self._stop_started(entry, mode)
        if entry is not None:
            self._allocator.release(entry, now_s)
        if not is_noted:
            return _failed(_KIND.NOT_CONFIRMED, 'too many stops')
        if entry is not None:
            return expression.Ok(entry.report(_model.TaskState.STOPPED))
        if not self._is_inventory_complete():
            return _failed(_KIND.NOT_CONFIRMED, 'tasks are not known yet')
        return _failed(_KIND.NOT_FOUND, f'{key.job}/{key.index}')

    async def _stop_started(
        self, entry: _entry.Entry, mode: _model.StopMode
    ) -> _placement.ReportResult:
        self._leases.stops.request_stop(
            entry, mode, self._times.checkpoint_grace_s
        )
        await self._leases.confirm()
        return expression.Ok(await self._leases.stops.stop(entry))

    async def inventory(
        self, shard: int, shard_epoch: int
    ) -> expression.Result[_model.Inventory, errors.Failure]:
        """Return a shard's tasks and fence older epochs."""
        if not self._admission.admit(shard, shard_epoch):
            return _failed(_KIND.NOT_OWNER, f'shard {shard}')
        return expression.Ok(
            _model.Inventory(
                is_complete=self._is_inventory_complete(),
                reports=self._allocator.reports(shard),
            )
        )

    async def acknowledge(
        self,
        shard: int,
        ended: collections.abc.Collection[_model.TaskReport],
    ) -> expression.Result[None, errors.Failure]:
        """Drop ended tasks whose end the job owner has recorded."""
        for report in ended:
            name = _wire.Attempt(report.key, report.attempt)
            # A delayed start could be placed on another worker, which would
            # not refuse this attempt as its own worker does.
            if not self._tombstones.add(name, self._timer.now_s()):
                break
            if self._allocator.acknowledge(name):
                self._leases.acknowledge(report.worker, name)
        return expression.Ok(None)

    def _is_inventory_complete(self) -> bool:
        now_s = self._timer.now_s()
        self._orphaned_leases.update(self._owner.stored_table, now_s)
        is_pending = any(
            not ownership.is_shard(asset) for asset in self._owner.pending()
        )
        return (
            not is_pending
            and self._leases.are_inventoried()
            and self._orphaned_leases.have_lapsed(now_s)
        )


def _failed(
    kind: errors.ErrorKind, detail: str = ''
) -> expression.Result[typing.Any, errors.Failure]:
    return expression.Error(errors.Failure(kind, detail))
