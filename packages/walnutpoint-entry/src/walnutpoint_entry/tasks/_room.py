"""The capacity of the owned workers, and its allocations."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum

from walnutpoint_entry.tasks import _choice
from walnutpoint_entry.tasks import _resources

__all__ = (
    'CapacityLedger',
    'CloseReason',
)

_NOTHING = _resources.Resources()


class CloseReason(enum.Enum):
    """Why a worker is closed to new tasks."""

    UNKNOWN = 'unknown'
    LEAVING = 'leaving'
    SILENT = 'silent'
    UNLISTED = 'unlisted'


@dataclasses.dataclass(slots=True, eq=False)
class _WorkerCapacity:
    worker: str
    domain: str = ''
    capacity: _resources.Resources = _NOTHING
    free: _resources.Resources = _NOTHING
    close_reasons: set[CloseReason] = dataclasses.field(default_factory=set)
    allocations: dict[str, _resources.Resources] = dataclasses.field(
        default_factory=dict
    )


class CapacityLedger:
    """Allocate the capacity of workers without overcommitting it.

    An acquired worker may run tasks that a former owner started: it stays
    closed until it has reported them.
    """

    __slots__ = ('_by_worker', '_open')

    def __init__(self) -> None:
        self._by_worker: dict[str, _WorkerCapacity] = {}
        self._open: dict[str, _WorkerCapacity] = {}

    def add(self, worker: str) -> None:
        """Add a closed worker; its capacity and tasks are unknown."""
        worker_capacity = _WorkerCapacity(worker)
        worker_capacity.close_reasons.update(
            (CloseReason.UNKNOWN, CloseReason.UNLISTED)
        )
        self._by_worker[worker] = worker_capacity

    def remove(self, worker: str) -> None:
        """Remove a worker and its allocations."""
        self._by_worker.pop(worker, None)
        self._open.pop(worker, None)

    def resize(
        self, worker: str, domain: str, capacity: _resources.Resources
    ) -> None:
        """Set a worker's failure domain and capacity."""
        worker_capacity = self._by_worker[worker]
        worker_capacity.domain = domain
        worker_capacity.free = (
            worker_capacity.free + capacity - worker_capacity.capacity
        )
        worker_capacity.capacity = capacity

    def open(self, worker: str, reason: CloseReason) -> None:
        """Remove a close reason; the worker opens without any."""
        worker_capacity = self._by_worker[worker]
        worker_capacity.close_reasons.discard(reason)
        if not worker_capacity.close_reasons:
            self._open[worker] = worker_capacity

    def close(self, worker: str, reason: CloseReason) -> None:
        """Close a worker to new tasks for a reason."""
        self._by_worker[worker].close_reasons.add(reason)
        self._open.pop(worker, None)

    def try_allocate(
        self, worker: str, allocation_id: str, need: _resources.Resources
    ) -> bool:
        """Allocate resources of an open worker, if they are free."""
        worker_capacity = self._open.get(worker)
        if worker_capacity is None or not worker_capacity.free.covers(need):
            return False
        self._record_allocation(worker_capacity, allocation_id, need)
        return True

    def allocate(
        self, worker: str, allocation_id: str, need: _resources.Resources
    ) -> None:
        """Allocate resources unconditionally, once per allocation ID."""
        worker_capacity = self._by_worker[worker]
        if allocation_id not in worker_capacity.allocations:
            self._record_allocation(worker_capacity, allocation_id, need)

    def release_allocation(self, worker: str, allocation_id: str) -> None:
        """Free an allocation; without effect the second time."""
        worker_capacity = self._by_worker.get(worker)
        if (
            worker_capacity is None
            or allocation_id not in worker_capacity.allocations
        ):
            return
        worker_capacity.free = (
            worker_capacity.free
            + worker_capacity.allocations.pop(allocation_id)
        )

    def domain(self, worker: str) -> str:
        """Return a worker's failure domain."""
        worker_capacity = self._by_worker.get(worker)
        return '' if worker_capacity is None else worker_capacity.domain

    def total(self, worker: str) -> _resources.Resources:
        """Return a worker's total resources."""
        worker_capacity = self._by_worker.get(worker)
        return (
            _NOTHING if worker_capacity is None else worker_capacity.capacity
        )

    def free(self, worker: str) -> _resources.Resources:
        """Return a worker's free resources."""
        worker_capacity = self._by_worker.get(worker)
        return _NOTHING if worker_capacity is None else worker_capacity.free

    def is_open(self, worker: str) -> bool:
        """Return whether a worker is open to new tasks."""
        return worker in self._open

    def fitting(
        self, need: _resources.Resources, avoid_domains: frozenset[str]
    ) -> collections.abc.Iterator[_choice.Candidate]:
        """Yield the open workers on which a need fits."""
        for worker_capacity in self._open.values():
            if (
                worker_capacity.free.covers(need)
                and worker_capacity.domain not in avoid_domains
            ):
                yield worker_capacity

    def open_workers(self) -> tuple[_choice.Candidate, ...]:
        """Return the workers open to new tasks."""
        return tuple(self._open.values())

    def _record_allocation(
        self,
        worker_capacity: _WorkerCapacity,
        allocation_id: str,
        need: _resources.Resources,
    ) -> None:
        worker_capacity.allocations[allocation_id] = need
        worker_capacity.free = worker_capacity.free - need
