"""Preemption of batch tasks for urgent requests, services and gangs."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from walnutpoint_core import logs
from walnutpoint_core import timer as timers
from walnutpoint_entry.tasks import _cell
from walnutpoint_entry.tasks import _contact
from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _leases
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _preemption
from walnutpoint_entry.tasks import _reservations
from walnutpoint_entry.tasks import _resources

__all__ = ('Displacer',)

_URGENT_PRIORITY_S: typing.Final = 1.0
_START_WINDOW_S: typing.Final = 5.0
_LOG = logs.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Displacement:
    worker: str
    victims: tuple[_entry.Entry, ...]


class Displacer:
    """Stop as few batch tasks as needed, the newest first."""

    __slots__ = (
        '_allocator',
        '_leases',
        '_timer',
        '_times',
        '_urgent_until_s',
    )

    def __init__(
        self,
        timer: timers.Timer,
        times: _contact.LeaseTimes,
        allocator: _cell.Allocator,
        leases: _leases.Leases,
    ) -> None:
        self._timer = timer
        self._times = times
        self._allocator = allocator
        self._leases = leases
        self._urgent_until_s = float('-inf')

    def is_for_batch(self) -> bool:
        """Return whether batch tasks may use free capacity."""
        return self._timer.now_s() >= self._urgent_until_s

    def preempt_for_urgent(self, slots: int) -> int:
        """Preempt batch tasks for urgent requests; return how many."""
        now_s = self._timer.now_s()
        # Queued batch tasks would take the slots that are being freed.
        self._urgent_until_s = now_s + _URGENT_PRIORITY_S
        # Slots freed for services and gangs are not for requests.
        slots += self._allocator.reservations.unfilled_count()
        held = _preemption.held_batch_tasks(self._allocator.entries())[:slots]
        for entry in held:
            self._allocator.drop(entry)
        chosen = _preemption.victims(
            self._allocator.entries(), slots - len(held)
        )
        for entry in chosen:
            entry.is_for_requests = True
            self._stop(entry)
        return len(held) + len(chosen)

    def reserve_for(
        self,
        spec: _model.TaskSpec,
        avoid_domains: frozenset[str],
        exclude: collections.abc.Collection[str],
    ) -> None:
        """Preempt batch tasks on one worker and reserve capacity there."""
        now_s = self._timer.now_s()
        if not self._allocator.reservations.may_displace_for(spec.key, now_s):
            return
        need = _resources.of_size(spec.size)
        found = self._fewest_victims(spec, need, avoid_domains, exclude)
        if found is None:
            return
        until_s = now_s + self._times.checkpoint_grace_s + _START_WINDOW_S
        self._allocator.reservations.add(
            _reservations.Reservation(spec.key, need, found.worker, until_s),
            now_s,
        )
        for entry in found.victims:
            if entry.phase is _entry.Phase.HELD:
                self._allocator.drop(entry)
            else:
                self._stop(entry)

    def displaceable_resources(self) -> tuple[_resources.Resources, ...]:
        """Return each worker's free resources without batch tasks."""
        free_by_worker = []
        for candidate in self._allocator.capacity.open_workers():
            entries = self._allocator.entries(candidate.worker)
            free = self._allocator.free(candidate.worker)
            free = free + _preemption.stopping_resources(entries)
            for entry in _preemption.displaceable(entries):
                free = free + entry.need
            free_by_worker.append(free)
        return tuple(free_by_worker)

    def _fewest_victims(
        self,
        spec: _model.TaskSpec,
        need: _resources.Resources,
        avoid_domains: frozenset[str],
        exclude: collections.abc.Collection[str],
    ) -> _Displacement | None:
        best: _Displacement | None = None
        for worker in self._allocator.ranked(spec, avoid_domains, exclude):
            victims = _preemption.victims_on_worker(
                self._allocator.entries(worker),
                self._allocator.free(worker),
                need,
            )
            if victims is None:
                continue
            if best is None or _started_count(victims) < _started_count(
                best.victims
            ):
                best = _Displacement(worker, victims)
        return best

    def _stop(self, entry: _entry.Entry) -> None:
        mode = _model.StopMode.STOP
        if entry.note.is_checkpointable:
            mode = _model.StopMode.CHECKPOINT
        self._leases.stops.stop_in_background(
            entry, mode, self._times.checkpoint_grace_s
        )
        _LOG.info(
            'task_preempted',
            job=entry.key.job,
            index=entry.key.index,
            attempt=entry.attempt,
            worker=entry.worker,
            mode=mode.value,
        )


def _started_count(victims: tuple[_entry.Entry, ...]) -> int:
    return sum(entry.phase is not _entry.Phase.HELD for entry in victims)
