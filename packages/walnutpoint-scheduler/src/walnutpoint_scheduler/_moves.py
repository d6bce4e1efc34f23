"""Whether a run would end sooner on another worker."""

from __future__ import annotations

import dataclasses
import math
import statistics
import typing

from walnutpoint_scheduler import _advice_requests
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _remaining
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import estimates

__all__ = (
    'Move',
    'Moves',
)

# The cost of a move beyond the new run: a stop, and the report of its end.
_MOVE_COST_S: typing.Final = 0.5
# Below this the task is taken to be large, and stays: half of the second runs
# would gain nothing.
_PROBABILITY_MIN: typing.Final = 0.5
# The first pace of a run covers this time before it.
_SETTLED_S: typing.Final = 0.15
# A run whose own pace fell below this share of its best is on a worker that
# has become slow: its size does not change while it runs.
_DROP_SHARE: typing.Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """The expected times of a run here, and of a new run elsewhere."""

    remaining_s: float
    elsewhere_s: float
    # That the worker is disturbed, and by what factor; otherwise the task is
    # taken to be large.
    probability: float
    factor: float
    # The slowdown of the best other worker.
    slowdown_elsewhere: float

    @property
    def gains(self) -> bool:
        """Return whether the run is expected to end sooner elsewhere."""
        return self.remaining_s > self.elsewhere_s


class Moves:
    """Compares the remaining time of runs with that of new runs elsewhere."""

    __slots__ = ('_advice_requests', '_context')

    def __init__(
        self,
        context: _context.Context,
        advice_requests: _advice_requests.AdviceRequests,
    ) -> None:
        self._context = context
        self._advice_requests = advice_requests

    def consider(
        self, run: _run.Run, task: _state.TaskProgress, now_s: float
    ) -> Move | None:
        """Return the move of a run, or None if it can't be judged."""
        whole_s = run.rate.whole_s
        worker = self._context.roster.worker_of(run)
        observed = self._context.observed
        if whole_s is None or worker is None or observed is None:
            return None
        remaining_s = _remaining.run_s(run, task, now_s)
        if remaining_s <= _MOVE_COST_S:
            return None
        probability, factor = self._disturbance(run, task, observed)
        if probability < _PROBABILITY_MIN:
            return None
        # The time of a new run on a usual worker, if this worker is disturbed
        # and if the task is large.
        size_s = whole_s / self._context.run_times.slowdown(worker.listed)
        size_s *= probability / factor + 1.0 - probability
        if task.step.step.checkpoints:
            # The stop returns a checkpoint, from which the next run resumes.
            size_s *= run.rate.left_share
        if size_s + _MOVE_COST_S >= remaining_s:
            # Saves the search for a worker.
            return None
        best = self._best_elsewhere(task, run.worker_id, now_s)
        if best is None:
            return None
        elsewhere_s = size_s * best + _MOVE_COST_S
        return Move(remaining_s, elsewhere_s, probability, factor, best)

    def _disturbance(
        self,
        run: _run.Run,
        task: _state.TaskProgress,
        observed: estimates.ObservedRunTimes,
    ) -> tuple[float, float]:
        """Return the probability that its worker is disturbed, and how much.

        A run whose own pace fell is no larger than before. One that was slow
        from its start is compared with the others beside it, as a task of the
        tail runs seven times as long on any worker.
        """
        per_s, best_per_s = run.rate.per_s, run.rate.best_per_s
        if per_s and best_per_s and per_s < best_per_s * _DROP_SHARE:
            return 1.0, best_per_s / per_s
        since_s = (run.started_s or 0.0) + _SETTLED_S
        paces = self._context.pace.paces_of_others(
            run.worker_id, run.name, since_s
        )
        if not paces:
            return 0.0, 1.0
        pool = self._context.queue_of(task.step.job).pool
        probability = estimates.probability_disturbed(
            paces, observed.large_share(pool)
        )
        return probability, max(1.0, 1.0 / statistics.median(paces))

    def _best_elsewhere(
        self, task: _state.TaskProgress, excluded: str, now_s: float
    ) -> float | None:
        """Return the least slowdown of a worker that may run a task now."""
        context = self._context
        step = task.step
        queue = context.queue_of(step.job)
        best = math.inf
        permitted = None
        if queue.advice is not None:
            permitted = context.advice.with_valid_ticket(step.key)
            if not permitted:
                # By the next check there may be a ticket.
                self._advice_requests.request_ahead(step, queue.advice)
                return None
        for worker in context.roster.in_pool(queue.pool):
            if worker.worker_id == excluded or not worker.accepts_starts:
                continue
            if permitted is not None and worker.worker_id not in permitted:
                continue
            label = step.step.required_label
            if not worker.free.covers(step.step.need) or (
                label and label not in worker.listed.labels
            ):
                continue
            slowdown = context.run_times.slowdown(worker.listed)
            if slowdown < best and self._may_start(worker, now_s):
                best = slowdown
        return best if best < math.inf else None

    def _may_start(self, worker: _worker.WorkerState, now_s: float) -> bool:
        context = self._context
        return (
            not worker.isolates_suspect
            and not context.pace.is_slow(worker.worker_id, now_s)
            and context.health.may_start(worker.worker_id)
            and not context.health.is_suspect(worker.worker_id)
        )
