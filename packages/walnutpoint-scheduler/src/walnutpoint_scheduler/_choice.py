"""The choice of a worker for a task; no input or output."""

from __future__ import annotations

import collections.abc
import heapq
import typing

from walnutpoint_core import amount
from walnutpoint_scheduler import _roster
from walnutpoint_scheduler import document
from walnutpoint_scheduler import worker_health

__all__ = (
    'Chooser',
    'Shortlist',
)

_NOTHING: typing.Final = amount.Amount()


class Shortlist:
    """The workers with room for a step's tasks, the best first."""

    __slots__ = ('_chooser', '_heap', '_priority', '_step', '_step_key')

    def __init__(
        self,
        chooser: Chooser,
        step: document.Step,
        step_key: str,
        priority: int,
        permitted: collections.abc.Callable[[str], bool],
    ) -> None:
        self._chooser = chooser
        self._step = step
        self._step_key = step_key
        self._priority = priority
        self._heap = [
            self._entry(worker)
            for worker in chooser.able(step)
            if chooser.fits(worker, step, step_key)
            and permitted(worker.worker_id)
        ]
        heapq.heapify(self._heap)

    def take(self) -> _roster.WorkerState | None:
        """Return the best worker that still has room."""
        while self._heap:
            worker = heapq.heappop(self._heap)[-1]
            if self._chooser.fits(worker, self._step, self._step_key):
                return worker
        return None

    def put_back(self, worker: _roster.WorkerState) -> None:
        """Offer a worker again with the room that is left on it."""
        if self._chooser.fits(worker, self._step, self._step_key):
            heapq.heappush(self._heap, self._entry(worker))

    def _entry(
        self, worker: _roster.WorkerState
    ) -> tuple[bool, bool, float, float, str, _roster.WorkerState]:
        rank = self._chooser.rank(self._step, worker, self._priority)
        return *rank, worker.worker_id, worker


class Chooser:
    """Chooses among the workers of a pool during one pass."""

    __slots__ = ('_able', '_health', '_held', '_open')

    def __init__(
        self,
        workers: collections.abc.Iterable[_roster.WorkerState],
        health: worker_health.WorkerHealth,
    ) -> None:
        self._open = [w for w in workers if w.open_for_starts]
        self._health = health
        # Steps mostly need the same: the filter runs once for each need.
        self._able: dict[
            tuple[amount.Amount, str], list[_roster.WorkerState]
        ] = {}
        # Room that an earlier step waits for: later ones leave it alone.
        self._held: dict[str, amount.Amount] = {}

    def free(self, worker: _roster.WorkerState) -> amount.Amount:
        """Return the room that nobody with a better place waits for."""
        held = self._held.get(worker.worker_id)
        return worker.free if held is None else worker.free - held

    def hold(self, worker: _roster.WorkerState, need: amount.Amount) -> None:
        """Keep room for a step that has to wait."""
        held = self._held.get(worker.worker_id, _NOTHING)
        self._held[worker.worker_id] = held + need

    def able(self, step: document.Step) -> list[_roster.WorkerState]:
        """Return the open workers that could ever run a task of a step."""
        key = (step.need, step.required_label)
        able = self._able.get(key)
        if able is None:
            able = self._able[key] = [
                worker
                for worker in self._open
                if worker.listed.capacity.covers(key[0])
                and (not key[1] or key[1] in worker.listed.labels)
            ]
        return able

    def fits(
        self,
        worker: _roster.WorkerState,
        step: document.Step,
        step_key: str,
    ) -> bool:
        """Return whether a worker has room for one task of a step now."""
        if not self.free(worker).covers(step.need):
            return False
        limit = step.per_worker_max
        if limit and worker.step_counts[step_key] >= limit:
            return False
        return self._health.may_start(worker.worker_id)

    def rank(
        self,
        step: document.Step,
        worker: _roster.WorkerState,
        priority: int,
    ) -> tuple[bool, bool, float, float]:
        """Return how good a place is for a task; lower is better."""
        free = self.free(worker)
        capacity = worker.listed.capacity
        share = free.cpu_millicores / max(1, capacity.cpu_millicores)
        suspect = self._health.is_suspect(worker.worker_id)
        far = bool(step.rack_affinity) and (
            worker.listed.rack != step.rack_affinity
        )
        if step.fills:
            # What fills beside serving tasks disturbs them, and gets only
            # what they leave.
            serving = float(len(worker.serving_runs()))
            return suspect, far, serving, -share
        if step.lasting:
            filling = float(sum(r.fills for r in worker.runs.values()))
            return suspect, far, filling, -share
        if priority == 0:
            # Urgent tasks are spread: a failing worker then costs few.
            return suspect, far, 0.0, -share
        # Batch is packed, so that whole workers stay open for large tasks.
        return suspect, far, 0.0, share
