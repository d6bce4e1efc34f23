"""Placement of attempts on the owned workers and their resources."""

from __future__ import annotations

import collections.abc
import dataclasses

import msgspec

from walnutpoint_core import logs
from walnutpoint_core import model
from walnutpoint_entry.tasks import _entries
from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _reservations
from walnutpoint_entry.tasks import _resources
from walnutpoint_entry.tasks import _room
from walnutpoint_entry.tasks import _selection
from walnutpoint_entry.tasks import _slots
from walnutpoint_entry.tasks import _wire
from walnutpoint_scheduler import worker_health

__all__ = (
    'Allocator',
    'EndedAttempt',
)

_LOG = logs.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """The report of an ended attempt that is not acknowledged."""

    shard: int
    report: _model.TaskReport


class Allocator:
    """Allocate and free the resources and the slot of attempts together."""

    __slots__ = (
        '_ended',
        '_entries',
        '_hosts',
        '_selection',
        '_slots',
        'capacity',
        'health',
        'reservations',
    )

    def __init__(
        self, slots: _slots.SlotKeeper, health: worker_health.WorkerHealth
    ) -> None:
        self.capacity = _room.CapacityLedger()
        self.health = health
        self._slots = slots
        self.reservations = _reservations.Reservations(self.capacity, slots)
        self._hosts: dict[str, model.ListedHost] = {}
        self._entries = _entries.Entries()
        self._selection = _selection.Selection(
            self.capacity, slots, self.reservations, health, self._entries
        )
        self._ended: dict[_wire.Attempt, EndedAttempt] = {}

    def add_worker(self, worker: str) -> None:
        """Add an acquired worker whose tasks are not known yet."""
        self.capacity.add(worker)
        self.health.watch(worker)
        self._entries.add_worker(worker)
        self._apply_host(worker)

    def remove_worker(self, worker: str) -> None:
        """Remove a lost worker; its next owner queries its tasks."""
        self.reservations.forget_worker(worker)
        for entry in self._entries.on(worker):
            self.drop(entry)
        self._entries.remove_worker(worker)
        self.capacity.remove(worker)
        self.health.forget(worker)

    def open_worker(self, worker: str) -> None:
        """Allow new tasks on a worker that has reported its tasks."""
        self.capacity.open(worker, _room.CloseReason.UNKNOWN)

    def mark_worker_silent(self, worker: str) -> None:
        """Exclude a worker that does not answer from new tasks."""
        self.capacity.close(worker, _room.CloseReason.SILENT)

    def mark_worker_responsive(self, worker: str) -> None:
        """Allow new tasks on a worker that answers again."""
        self.capacity.open(worker, _room.CloseReason.SILENT)

    def open_slots(self, worker: str) -> None:
        """Allow requests on a worker whose tasks have their slots."""
        self._slots.open_slots(worker)

    def update_hosts(self, listing: model.HostListing) -> None:
        """Update capacity and availability from the newest host list."""
        self._hosts = {host.address: host for host in listing.hosts}
        for worker in self._entries.workers():
            self._apply_host(worker)

    def place(
        self,
        spec: _model.TaskSpec,
        avoid_domains: frozenset[str],
        exclude: collections.abc.Collection[str],
        now_s: float,
    ) -> _entry.Entry | None:
        """Allocate resources and a slot on the preferred worker."""
        reservation = self._selection.reservation(
            spec, avoid_domains, exclude, now_s
        )
        if reservation is not None:
            self.reservations.consume(reservation, spec.key)
            entry = self._add_entry(spec, reservation.worker, now_s)
            entry.reserved_until_s = reservation.until_s
            return entry
        worker = self._selection.worker(spec, avoid_domains, exclude, now_s)
        if worker is None or not self._slots.take_slot(worker):
            return None
        return self._add_entry(spec, worker, now_s)

    def adopt(
        self, worker: str, task: _wire.WorkerTask, now_s: float
    ) -> _entry.Entry | None:
        """Add an attempt that was found running on a worker."""
        if task.size is None or task.note is None or self.live(task.key):
            return None
        entry = _entry.Entry(
            key=task.key,
            attempt=task.attempt,
            worker=worker,
            domain=self.capacity.domain(worker),
            size=task.size,
            note=task.note,
            phase=_entry.Phase.RUNNING,
        )
        entry.update_usage(task, now_s)
        self._slots.claim_slot(worker)
        self.capacity.allocate(worker, _allocation_id(entry), entry.need)
        self._entries.add(entry)
        return entry

    def drop(self, entry: _entry.Entry) -> None:
        """Remove an attempt and free its resources and slot."""
        if not self._entries.is_live(entry):
            return
        self._remove(entry)
        if not self.reservations.offer_slot(entry.worker):
            self._slots.free_slot(entry.worker)

    def release(self, entry: _entry.Entry, now_s: float) -> None:
        """Remove a hold; resources freed for it stay reserved."""
        if now_s >= entry.reserved_until_s or self.reservations.has(entry.key):
            self.drop(entry)
            return
        self._remove(entry)
        self.reservations.restore(
            _reservations.Reservation(
                entry.key, entry.need, entry.worker, entry.reserved_until_s
            )
        )

    def end(
        self,
        entry: _entry.Entry,
        state: _model.TaskState,
        exit_code: int | None,
        now_s: float,
    ) -> _model.TaskReport:
        """Remove an attempt and keep its final report."""
        self._record_result(entry, state, now_s)
        self.drop(entry)
        report = msgspec.structs.replace(
            entry.report(state), exit_code=exit_code
        )
        self._ended[entry.name] = EndedAttempt(entry.note.shard, report)
        _LOG.info(
            'task_ended',
            job=entry.key.job,
            index=entry.key.index,
            attempt=entry.attempt,
            worker=entry.worker,
            state=state.value,
            run_s=round(entry.run_s, 3),
        )
        return report

    def record_ended(self, shard: int, report: _model.TaskReport) -> None:
        """Keep the final report of an attempt found on a worker."""
        name = _wire.Attempt(report.key, report.attempt)
        self._ended.setdefault(name, EndedAttempt(shard, report))

    def acknowledge(self, name: _wire.Attempt) -> bool:
        """Drop a final report; return whether there was one."""
        return self._ended.pop(name, None) is not None

    def record_long_run(self, entry: _entry.Entry, now_s: float) -> None:
        """Record a success for a worker once an attempt ran long enough."""
        if not entry.is_trial_over and self.health.is_long_run(entry.run_s):
            entry.is_trial_over = True
            self.health.record_success(entry.worker, entry.key.job, now_s)

    def live(self, key: _model.TaskKey) -> _entry.Entry | None:
        """Return the attempt of a task that is held or may run."""
        return self._entries.live(key)

    def is_live(self, entry: _entry.Entry) -> bool:
        """Return whether an attempt still uses resources here."""
        return self._entries.is_live(entry)

    def ended(self, name: _wire.Attempt) -> _model.TaskReport | None:
        """Return the final report of an attempt until acknowledged."""
        ended = self._ended.get(name)
        return None if ended is None else ended.report

    def entries(self, worker: str | None = None) -> tuple[_entry.Entry, ...]:
        """Return the attempts on one worker or on all."""
        return self._entries.on(worker)

    def has_holds(self) -> bool:
        """Return whether there are reservations or held attempts."""
        return len(self.reservations) > 0 or any(
            entry.phase is _entry.Phase.HELD for entry in self._entries.on()
        )

    def reports(self, shard: int) -> tuple[_model.TaskReport, ...]:
        """Return the reports of a shard's live and ended attempts."""
        ended = (
            attempt.report
            for attempt in self._ended.values()
            if attempt.shard == shard
        )
        live = (
            entry.report()
            for entry in self._entries.on()
            if entry.note.shard == shard
        )
        return (*live, *ended)

    def free_tasks(self, spec: _model.TaskSpec) -> int:
        """Estimate how many such tasks could start now."""
        return self._selection.free_tasks(spec)

    def free(self, worker: str) -> _resources.Resources:
        """Return a worker's free resources, limited by free slots."""
        return self._selection.free(worker)

    def ranked(
        self,
        spec: _model.TaskSpec,
        avoid_domains: frozenset[str],
        exclude: collections.abc.Collection[str],
    ) -> tuple[str, ...]:
        """Return the eligible workers, the preferred one first."""
        return self._selection.ranked(spec, avoid_domains, exclude)

    def free_resources(self) -> tuple[_resources.Resources, ...]:
        """Return the free resources of each worker open to new tasks."""
        return self._selection.free_resources()

    def _add_entry(
        self, spec: _model.TaskSpec, worker: str, now_s: float
    ) -> _entry.Entry:
        entry = _entry.from_spec(spec, worker, self.capacity.domain(worker))
        self.capacity.allocate(worker, _allocation_id(entry), entry.need)
        self._entries.add(entry)
        entry.is_trial_over = False
        self.health.begin_trial(worker, now_s)
        return entry

    def _remove(self, entry: _entry.Entry) -> None:
        self._entries.remove(entry)
        self.capacity.release_allocation(entry.worker, _allocation_id(entry))
        if not entry.is_trial_over:
            self.health.cancel_trial(entry.worker)

    def _record_result(
        self, entry: _entry.Entry, state: _model.TaskState, now_s: float
    ) -> None:
        if entry.is_trial_over:
            return
        if state is _model.TaskState.FINISHED:
            entry.is_trial_over = True
            self.health.record_success(entry.worker, entry.key.job, now_s)
        elif state is _model.TaskState.FAILED:
            entry.is_trial_over = True
            self.health.record_failure(
                entry.worker, entry.key.job, entry.run_s, now_s
            )

    def _apply_host(self, worker: str) -> None:
        host = self._hosts.get(worker)
        if host is None:
            self.capacity.close(worker, _room.CloseReason.UNLISTED)
            return
        self.capacity.resize(worker, host.domain, _resources.of_host(host))
        self.capacity.open(worker, _room.CloseReason.UNLISTED)
        if host.state is model.HostState.LIVE:
            self.capacity.open(worker, _room.CloseReason.LEAVING)
        else:
            self.capacity.close(worker, _room.CloseReason.LEAVING)


def _allocation_id(entry: _entry.Entry) -> str:
    return f'{entry.key.job}/{entry.key.index}/{entry.attempt}'
