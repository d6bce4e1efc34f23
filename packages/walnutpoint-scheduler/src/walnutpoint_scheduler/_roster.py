"""The workers known to a term, by name, in their newest incarnation."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import logs
from walnutpoint_core import resources
from walnutpoint_scheduler import _incarnation
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import cell

__all__ = ('Roster',)

_LOG: typing.Final = logs.get_logger('roster')


class Roster:
    """Indexes the workers of a term and their former incarnations."""

    __slots__ = (
        '_former',
        '_largest',
        '_restarts',
        'resizing_pools',
        'usage',
        'workers',
    )

    def __init__(self) -> None:
        self.workers: dict[str, _worker.WorkerState] = {}
        # Incarnations replaced by a newer one of the same name.
        self._former: list[_worker.WorkerState] = []
        # Number of restarts by worker name, if any.
        self._restarts: dict[str, int] = {}
        self._largest: dict[str, list[resources.Resources]] = {}
        # Pools in which a worker's capacity has changed.
        self.resizing_pools: set[str] = set()
        # Resources that client accounts use on all workers.
        self.usage = accounts.Usage()

    def add(self, worker: _worker.WorkerState) -> None:
        """Add an incarnation, replacing one of the same name."""
        former = self.workers.get(worker.worker_id)
        if former is not None and former is not worker:
            self._former.append(former)
            self._restarts[worker.worker_id] = former.restarts + 1
        worker.restarts = self._restarts.get(worker.worker_id, 0)
        worker.attach_usage(self.usage)
        self.workers[worker.worker_id] = worker
        self._note_capacity(worker.listed)

    def prune(self, before_s: float) -> None:
        """Drop former incarnations without runs lost before a time."""
        self._former = [
            worker
            for worker in self._former
            if worker.runs or (worker.silent_since_s or 0.0) >= before_s
        ]

    def update_entry(
        self, worker: _worker.WorkerState, listed: cell.ListedWorker
    ) -> None:
        """Replace a worker's directory entry."""
        before = worker.listed.capacity
        is_foreign = _incarnation.differ(worker.listed.born_ms, listed.born_ms)
        worker.update_entry(listed)
        self._note_capacity(listed)
        if before == listed.capacity or not worker.last_report_s or is_foreign:
            return
        self.resizing_pools.add(listed.pool)
        _LOG.info(
            'worker.capacity_changed',
            worker=listed.worker_id,
            pool=listed.pool,
            cpu_millicores=listed.capacity.cpu_millicores,
            memory_mb=listed.capacity.memory_mb,
            accelerators=listed.capacity.accelerators,
            was_cpu_millicores=before.cpu_millicores,
            free_cpu_millicores=worker.free.cpu_millicores,
            runs=len(worker.runs),
        )

    def _note_capacity(self, listed: cell.ListedWorker) -> None:
        """Record a capacity, unless a larger one was seen in the pool.

        A shrunk worker may grow again and does not bound its pool; a grown
        one fits tasks that fitted nowhere before.
        """
        largest = self._largest.setdefault(listed.pool, [])
        capacity = listed.capacity
        if not any(known.covers(capacity) for known in largest):
            kept = [known for known in largest if not capacity.covers(known)]
            self._largest[listed.pool] = [*kept, capacity]

    def check_entry_age(
        self, worker: _worker.WorkerState, now_s: float, trusted_s: float
    ) -> None:
        """Mark a worker's entry as stale once it is older than trusted.

        While the store is down a worker can't announce that it has shrunk,
        and tasks placed by its last entry would overload it. Where no
        capacity has ever changed, waiting for a fresh entry would only delay
        starts after an outage.
        """
        worker.is_entry_stale = (
            worker.listed.pool in self.resizing_pools
            and worker.entry_age_s(now_s) > trusted_s
        )

    def remove(self, worker_id: str) -> None:
        """Remove a worker's newest incarnation."""
        self.workers.pop(worker_id, None)

    def get(self, worker_id: str) -> _worker.WorkerState | None:
        """Return a worker's newest incarnation."""
        return self.workers.get(worker_id)

    def in_pool(
        self, pool: str
    ) -> collections.abc.Iterator[_worker.WorkerState]:
        """Return the workers of a pool."""
        return (w for w in self.workers.values() if w.listed.pool == pool)

    def max_by_pool(self) -> dict[str, list[resources.Resources]]:
        """Return the largest capacities seen, by pool."""
        return self._largest

    def lost_together_with(
        self, worker: _worker.WorkerState, within_s: float
    ) -> list[_worker.WorkerState]:
        """Return the other workers that fell silent at about the same time.

        For a worker that never answered this term, all others that never
        did: the times of their losses are unknown.
        """
        lost = [
            other
            for other in (*self.workers.values(), *self._former)
            if other is not worker
            and (other.gone or other.silent_since_s is not None)
        ]
        if worker.last_contact_s is None:
            return [other for other in lost if other.last_contact_s is None]
        if worker.silent_since_s is None:
            return []
        return [
            other
            for other in lost
            if other.silent_since_s is not None
            and abs(other.silent_since_s - worker.silent_since_s) <= within_s
        ]

    def worker_of(self, run: _run.Run) -> _worker.WorkerState | None:
        """Return the incarnation that a run is booked on, if any."""
        newest = self.workers.get(run.worker_id)
        if newest is not None and run.name in newest.runs:
            return newest
        for worker in self._former:
            if worker.worker_id == run.worker_id and run.name in worker.runs:
                return worker
        return None
