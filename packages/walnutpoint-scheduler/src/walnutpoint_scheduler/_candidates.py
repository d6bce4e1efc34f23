"""The workers with capacity for a step's tasks, best first."""

from __future__ import annotations

from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler import document

__all__ = ('Candidates',)


class Candidates:
    """Yields the workers with capacity for a step's tasks, best first.

    Workers are sorted once per pass and each is checked again against its
    current free capacity: sorting after each task would take most of a pass.
    """

    __slots__ = (
        '_allows_slow',
        '_excluded',
        '_is_spread',
        '_next',
        '_permitted',
        '_priority',
        '_run_times_s',
        '_segment',
        '_segments',
        '_selector',
        '_step',
        '_step_key',
        '_tier',
        '_workers',
    )

    def __init__(
        self,
        selector: _worker_selector.WorkerSelector,
        step: document.Step,
        step_key: str,
        priority: int,
        permitted: _worker_selector.PermittedWorkers,
        *,
        excluded: str = '',
        allows_slow: bool = True,
    ) -> None:
        self._selector = selector
        self._excluded = excluded
        self._allows_slow = allows_slow
        self._step = step
        self._step_key = step_key
        self._priority = priority
        self._permitted = permitted
        order = selector.order_for(step, priority)
        self._is_spread = order.is_spread
        # Each speed group is used up before the next.
        self._segments = selector.segments(order, step_key)
        self._run_times_s = selector.choices.run_times_s(step, step_key)
        self._next = [0] * len(self._segments)
        # Filtered when first used, by the number of the segment.
        self._workers: dict[int, list[_worker.WorkerState]] = {}
        self._segment = 0
        # 0: only healthy workers near the data; 1: any worker.
        self._tier = 0

    def next_fit(self) -> _worker.WorkerState | None:
        """Return the best worker that fits one more task."""
        while self._tier < 2:
            while self._segment < len(self._segments):
                worker = self._next_in_segment()
                if worker is not None:
                    return worker
                self._segment += 1
            self._segment = 0
            self._tier += 1
        return None

    def _next_in_segment(self) -> _worker.WorkerState | None:
        workers = self._workers.get(self._segment)
        if workers is None:
            workers = self._workers[self._segment] = self._filtered()
        index = self._next[self._segment]
        found = None
        for _ in range(len(workers)):
            worker = workers[index]
            is_eligible = self._is_eligible(worker)
            if self._is_spread or not is_eligible:
                index = (index + 1) % len(workers)
            if is_eligible:
                found = worker
                break
        self._next[self._segment] = index
        return found

    def _filtered(self) -> list[_worker.WorkerState]:
        """Return the workers of a segment that may fit a task.

        Rules out most workers of a full cell at a tenth of the cost of the
        full check; safe, as free capacity only shrinks during a pass.
        """
        permitted, millicores = self._permitted, self._step.need.cpu_millicores
        return [
            worker
            for worker in self._segments[self._segment]
            if worker.free.cpu_millicores >= millicores
            and (permitted is None or worker.worker_id in permitted)
        ]

    def _is_eligible(self, worker: _worker.WorkerState) -> bool:
        selector, step = self._selector, self._step
        if worker.worker_id == self._excluded:
            return False
        run_s = self._run_times_s[self._segment]
        if not selector.fits(worker, step, self._step_key, run_s):
            return False
        if selector.is_slow(worker, is_urgent=not self._priority):
            # A run here takes several times the wait for another worker.
            return self._tier > 0 and self._allows_slow
        return self._tier > 0 or selector.is_preferred(worker, step)
