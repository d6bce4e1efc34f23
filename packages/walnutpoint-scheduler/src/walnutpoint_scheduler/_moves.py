"""Whether a run would end sooner on another worker."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import statistics
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _advice_requests
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _remaining
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _selectors
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import estimates

__all__ = (
    'MOVE_COST_S',
    'Action',
    'Move',
    'Moves',
)

_NO_RESOURCES: typing.Final = resources.Resources()
# The cost of a move beyond the new run: a stop, and the report of its end.
MOVE_COST_S: typing.Final = 0.5
# Below this the task is taken to be large, and stays: half of the second runs
# would gain nothing.
_PROBABILITY_MIN: typing.Final = 0.5
# The first pace of a run covers this time before it.
_SETTLED_S: typing.Final = 0.15
# A run whose own pace fell below this share of its best is on a worker that
# has become slow: its size does not change while it runs.
_DROP_SHARE: typing.Final = 0.5


class Action(enum.Enum):
    """How a late run is moved."""

    STOP = 'stop'
    COPY = 'copy'


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
        self,
        run: _run.Run,
        task: _state.TaskProgress,
        now_s: float,
        action: Action,
    ) -> Move | None:
        """Return the move of a run, or None if it can't be judged."""
        whole_s = run.rate.whole_s
        worker = self._context.roster.worker_of(run)
        observed = self._context.observed
        if whole_s is None or worker is None or observed is None:
            return None
        remaining_s = _remaining.run_s(run, task, now_s)
        if remaining_s <= MOVE_COST_S:
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
        if size_s + MOVE_COST_S >= remaining_s:
            # Saves the search for a worker.
            return None
        if not self._is_within_limit(run, task.step, action):
            return None
        best = self._best_elsewhere(task, run.worker_id, now_s, action)
        if best is None:
            return None
        elsewhere_s = size_s * best + MOVE_COST_S
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

    def _is_within_limit(
        self, run: _run.Run, step: _state.StepProgress, action: Action
    ) -> bool:
        """Return whether the client account may start the second run.

        A stop returns what the first run uses of the account's limit.
        """
        context = self._context
        account = context.account_of(step.job)
        if account is None:
            return True
        used = context.roster.usage.used(account.name)
        if action is Action.STOP:
            used -= run.charge
        remaining = account.remaining(used)
        return remaining is None or remaining.covers(step.step.charge)

    def _best_elsewhere(
        self,
        task: _state.TaskProgress,
        excluded: str,
        now_s: float,
        action: Action,
    ) -> float | None:
        """Return the slowdown of the worker that would run a task now."""
        context = self._context
        step = task.step
        queue = context.queue_of(step.job)
        ticketed = None
        if queue.advice is not None:
            ticketed = context.advice.with_valid_ticket(step.key)
            if not ticketed:
                # By the next check there may be a ticket.
                self._advice_requests.request_ahead(step, queue.advice)
                return None
        feasible = self._feasible(queue, step)
        candidates = [
            worker
            for worker in feasible
            if (ticketed is None or worker.worker_id in ticketed)
            and worker.worker_id != excluded
            and _has_room(worker, step)
            and self._may_start(worker, now_s)
        ]
        if not candidates:
            return None
        rank_of = self._group_ranks(queue, step, feasible, action)
        ranked = [
            (rank, context.run_times.slowdown(worker.listed))
            for worker in candidates
            if (rank := rank_of(worker)) is not None
        ]
        return min(ranked)[1] if ranked else None

    def _feasible(
        self, queue: cell.Queue, step: _state.StepProgress
    ) -> list[_worker.WorkerState]:
        """Return the open workers that can run a step when empty."""
        label = step.step.required_label
        return [
            worker
            for worker in self._context.roster.in_pool(queue.pool)
            if worker.accepts_starts
            and worker.listed.capacity.covers(step.step.need)
            and (not label or label in worker.listed.labels)
        ]

    def _group_ranks(
        self,
        queue: cell.Queue,
        step: _state.StepProgress,
        feasible: list[_worker.WorkerState],
        action: Action,
    ) -> collections.abc.Callable[[_worker.WorkerState], int | None]:
        """Return a function to rank workers by the groups of a step.

        It returns None for a worker that the placer would not use: instead of
        starting there, the task would wait for a quicker one.
        """
        context = self._context
        speeds = _selectors.pool_speeds(context, queue.pool)
        if speeds is None:
            return lambda worker: 0
        usable = None
        if queue.advice is not None:
            # As in a pass, granted workers count before their ticket is
            # valid, except in the least urgent queues.
            is_lowest = queue.priority >= context.cell.lowest_priority
            usable = (
                context.advice.with_valid_ticket(step.key)
                if is_lowest
                else context.advice.granted(step.key)
            )
        permitted = {
            speeds.group_of(worker)
            for worker in feasible
            if usable is None or worker.worker_id in usable
        }
        choice = speeds.choose(
            queue, step, permitted, is_restart=action is Action.STOP
        )
        if choice is None:
            return lambda worker: 0
        ranks = {number: rank for rank, number in enumerate(choice.groups)}
        return lambda worker: ranks.get(speeds.group_of(worker))

    def _may_start(self, worker: _worker.WorkerState, now_s: float) -> bool:
        context = self._context
        return (
            not worker.isolates_suspect
            and not context.pace.is_slow(worker.worker_id, now_s)
            and context.health.may_start(worker.worker_id)
            and not context.health.is_suspect(worker.worker_id)
        )


def _has_room(worker: _worker.WorkerState, step: _state.StepProgress) -> bool:
    """Return whether a worker can take one more task of a step now."""
    limit = step.step.per_worker_max
    if limit and worker.step_counts[step.key] >= limit:
        return False
    return worker.free.covers(step.step.need)
