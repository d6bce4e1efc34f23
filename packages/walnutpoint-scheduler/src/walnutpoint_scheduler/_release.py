"""Estimates when the runs on workers release their resources."""

from __future__ import annotations

import math
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _remaining
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _worker

__all__ = ('Releases',)

# A stop takes up to 0.4 s, and another 0.1 s until its end is reported.
_STOP_S: typing.Final = 0.5


class Releases:
    """Estimates when capacity comes free, once per worker and pass."""

    __slots__ = ('_by_worker', '_now_s')

    def __init__(self, now_s: float) -> None:
        self._now_s = now_s
        self._by_worker: dict[
            str, list[tuple[float, resources.Resources]]
        ] = {}

    def wait_s(
        self,
        worker: _worker.WorkerState,
        free: resources.Resources,
        need: resources.Resources,
    ) -> float:
        """Return the wait until a need fits; infinite for lasting runs.

        free is the worker's capacity now, less reservations.
        """
        if free.covers(need):
            return 0.0
        for remaining_s, released in self._releases(worker):
            free += released
            if free.covers(need):
                return remaining_s
        return math.inf

    def free_within(
        self, worker: _worker.WorkerState, within_s: float
    ) -> resources.Resources:
        """Return what of a worker is free or comes free within a time."""
        free = worker.free
        for remaining_s, released in self._releases(worker):
            if remaining_s > within_s:
                break
            free += released
        return free

    def _releases(
        self, worker: _worker.WorkerState
    ) -> list[tuple[float, resources.Resources]]:
        releases = self._by_worker.get(worker.worker_id)
        if releases is None:
            releases = [
                (self._remaining_s(r), r.need) for r in worker.runs.values()
            ]
            releases = [
                release for release in releases if release[0] < math.inf
            ]
            releases.sort(key=lambda release: release[0])
            self._by_worker[worker.worker_id] = releases
        return releases

    def _remaining_s(self, run: _run.Run) -> float:
        if run.task is None or run.phase is _run.RunPhase.STOPPING:
            return _STOP_S
        if run.task.step.step.lasting:
            return math.inf
        return _remaining.run_s(run, run.task, self._now_s)
