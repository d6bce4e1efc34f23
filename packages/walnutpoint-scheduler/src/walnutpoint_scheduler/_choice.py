"""The choice of a worker for a task; no input or output."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from walnutpoint_core import amount
from walnutpoint_scheduler import _roster
from walnutpoint_scheduler import document
from walnutpoint_scheduler import worker_health

__all__ = (
    'Candidate',
    'Chooser',
)

_NOTHING: typing.Final = amount.Amount()


@dataclasses.dataclass(slots=True)
class Candidate:
    """A worker and the room on it that this pass may still give away."""

    worker: _roster.WorkerState
    free: amount.Amount


class Chooser:
    """Chooses among the workers of a pool during one pass."""

    __slots__ = ('_candidates', '_health', '_held')

    def __init__(
        self,
        workers: collections.abc.Iterable[_roster.WorkerState],
        health: worker_health.WorkerHealth,
    ) -> None:
        self._candidates = {w.worker_id: w for w in workers}
        self._health = health
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

    def able(
        self, step: document.Step
    ) -> collections.abc.Iterator[_roster.WorkerState]:
        """Return the open workers that could ever run a task of a step."""
        for worker in self._candidates.values():
            if not worker.open_for_starts:
                continue
            if not worker.listed.capacity.covers(step.need):
                continue
            label = step.required_label
            if label and label not in worker.listed.labels:
                continue
            yield worker

    def fitting(
        self, step: document.Step, step_key: str
    ) -> list[_roster.WorkerState]:
        """Return the workers that have room for one task of a step now."""
        limit = step.per_worker_max
        return [
            worker
            for worker in self.able(step)
            if self.free(worker).covers(step.need)
            and not (limit and worker.step_counts[step_key] >= limit)
            and self._health.may_start(worker.worker_id)
        ]

    def best(
        self,
        step: document.Step,
        workers: list[_roster.WorkerState],
        priority: int,
    ) -> _roster.WorkerState | None:
        """Return the best of some workers that have room."""
        if not workers:
            return None
        return min(workers, key=lambda w: self._rank(step, w, priority))

    def _rank(
        self,
        step: document.Step,
        worker: _roster.WorkerState,
        priority: int,
    ) -> tuple[bool, bool, float, float]:
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
