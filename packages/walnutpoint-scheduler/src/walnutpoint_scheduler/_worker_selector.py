"""Selects the worker for a task; does no I/O."""

from __future__ import annotations

import collections.abc
import enum
import itertools
import math
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _advice_targets
from walnutpoint_scheduler import _release
from walnutpoint_scheduler import _reservations
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import placement
from walnutpoint_scheduler import settings
from walnutpoint_scheduler import worker_health
from walnutpoint_scheduler import worker_pace

__all__ = (
    'PermittedWorkers',
    'Segments',
    'WorkerOrder',
    'WorkerSelector',
)

# The workers that a step may run on; None for all.
PermittedWorkers = collections.abc.Set[str] | None
# A step with more tasks is wide: it may occupy all workers with its starts.
_WIDE_TASKS: typing.Final = 100
# Lists of workers, each of which is used up before the next.
Segments = list[list[_worker.WorkerState]]


class WorkerOrder(enum.Enum):
    """The order in which workers are considered."""

    # Spreads urgent tasks, so that a failing worker affects few of them.
    FREEST = 'freest'
    # Packs batch tasks, so that whole workers stay free for large tasks.
    FULLEST = 'fullest'
    # Filling tasks slow down the serving tasks that share their worker.
    FEWEST_SERVING = 'fewest serving'
    FEWEST_FILLING = 'fewest filling'

    @property
    def is_spread(self) -> bool:
        """Return whether tasks of a step go to different workers."""
        return self is not WorkerOrder.FULLEST


class WorkerSelector:
    """Filters and sorts the workers of a pool during one pass."""

    __slots__ = (
        '_by_group',
        '_by_order',
        '_by_preference',
        '_expected_open',
        '_health',
        '_now_s',
        '_open',
        '_pace',
        '_policies',
        '_reservations',
        'blocked_weight',
        'choices',
    )

    def __init__(
        self,
        workers: collections.abc.Iterable[_worker.WorkerState],
        health: worker_health.WorkerHealth,
        now_s: float,
        policies: settings.Policies = settings.Policies(),
        pace: worker_pace.WorkerPace | None = None,
        speeds: placement.PoolSpeeds | None = None,
    ) -> None:
        self._policies = policies
        self.choices = placement.StepChoices(speeds)
        self._pace = pace if policies.slow_workers else None
        expected_open = [w for w in workers if w.may_accept_starts]
        self._open = [w for w in expected_open if w.accepts_starts]
        self._expected_open = expected_open
        self._health = health
        self._now_s = now_s
        self._by_order: dict[WorkerOrder, list[_worker.WorkerState]] = {}
        self._by_group: dict[WorkerOrder, Segments] = {}
        # Sorted when advice is first requested in an order of groups.
        self._by_preference: dict[
            tuple[int, ...], list[_worker.WorkerState]
        ] = {}
        # Capacity that later steps may not take from earlier ones.
        self._reservations = _reservations.Reservations(
            _release.Releases(now_s), allows_backfill=policies.backfill
        )
        # Steps that did not fit in this pass, each weighted by the share of
        # the workers that it may run on.
        self.blocked_weight = 0.0

    @property
    def open_count(self) -> int:
        """Return the number of workers open for starts."""
        return len(self._open)

    def unreserved(
        self, worker: _worker.WorkerState, duration_s: float = math.inf
    ) -> resources.Resources:
        """Return the free capacity for a task of some duration."""
        return self._reservations.unreserved(worker, duration_s)

    def choose_groups(
        self,
        queue: cell.Queue,
        step: _state.StepProgress,
        permitted: PermittedWorkers,
    ) -> None:
        """Choose the speed groups that a step may use in this pass."""
        if self.choices.is_open(step.key):
            usable = [
                number
                for number, workers in enumerate(
                    self._grouped(WorkerOrder.FREEST)
                )
                if self._has_feasible(workers, step.step, permitted)
            ]
            self.choices.choose(queue, step, usable)

    def usable_share(self, step_key: str) -> float:
        """Return the share of the open workers in a step's groups."""
        if self.choices.get(step_key) is None:
            return 1.0
        segments = self.segments(WorkerOrder.FREEST, step_key)
        return sum(map(len, segments)) / max(1, self.open_count)

    def segments(self, order: WorkerOrder, step_key: str) -> Segments:
        """Return the open workers that a step may use, by speed group."""
        choice = self.choices.get(step_key)
        if choice is None:
            return [self.in_order(order)]
        grouped = self._grouped(order)
        return [grouped[number] for number in choice.groups]

    def _grouped(self, order: WorkerOrder) -> Segments:
        """Return the open workers of each group, sorted once per pass."""
        grouped = self._by_group.get(order)
        if grouped is None:
            grouped = self.choices.grouped(self.in_order(order))
            self._by_group[order] = grouped
        return grouped

    def reserve(
        self,
        step: document.Step,
        step_key: str,
        count: int,
        permitted: PermittedWorkers,
    ) -> list[_reservations.ReservedWorker]:
        """Reserve the capacity on which waiting tasks end soonest.

        Only in the groups that the step may use, in their order.
        """
        if not self._policies.holding:
            return []
        segments = self.segments(WorkerOrder.FREEST, step_key)
        candidates = (
            worker
            for worker in itertools.chain.from_iterable(segments)
            if (permitted is None or worker.worker_id in permitted)
            and self.is_feasible(worker, step)
            and self.may_start(worker)
        )
        return self._reservations.reserve(
            candidates,
            step,
            step_key,
            count,
            lambda worker: self.choices.extra_s(worker, step_key),
        )

    def advice_candidates(
        self, step: document.Step, step_key: str = ''
    ) -> collections.abc.Iterator[_worker.WorkerState]:
        """Yield the workers to request advice about.

        The groups that the step prefers come first, and the freest workers
        within each.
        """
        choice = self.choices.get(step_key)
        preference = () if choice is None else choice.preference
        workers = self._by_preference.get(preference)
        if workers is None:
            by_free_cpu = sorted(self._expected_open, key=_worker.by_free_cpu)
            workers = self.choices.preferred_first(by_free_cpu, step_key)
            self._by_preference[preference] = workers
        return (w for w in workers if self.is_feasible(w, step))

    def feasible(self, step: document.Step) -> list[_worker.WorkerState]:
        """Return the open workers that can run a step when empty."""
        return [w for w in self._open if self.is_feasible(w, step)]

    def has_feasible(
        self, step: document.Step, permitted: PermittedWorkers
    ) -> bool:
        """Return whether a permitted open worker can run it when empty."""
        return self._has_feasible(self._open, step, permitted)

    def _has_feasible(
        self,
        workers: collections.abc.Iterable[_worker.WorkerState],
        step: document.Step,
        permitted: PermittedWorkers,
    ) -> bool:
        return any(
            (permitted is None or worker.worker_id in permitted)
            and self.is_feasible(worker, step)
            for worker in workers
        )

    def fits(
        self,
        worker: _worker.WorkerState,
        step: document.Step,
        step_key: str,
        run_s: float,
    ) -> bool:
        """Return whether one task of a step fits on a worker now.

        run_s is the expected run time there.
        """
        if not self.unreserved(worker, run_s).covers(step.need):
            return False
        if not self.is_feasible(worker, step):
            return False
        limit = step.per_worker_max
        if limit and worker.step_counts[step_key] >= limit:
            return False
        is_wide = step.task_count > _WIDE_TASKS
        return worker.may_start_more(is_wide=is_wide) and self.may_start(
            worker
        )

    def may_start(self, worker: _worker.WorkerState) -> bool:
        """Return whether a worker may start a task now.

        It may not while it runs a suspect task or its health forbids it.
        """
        if worker.isolates_suspect:
            return False
        if not self._policies.worker_health:
            return True
        return self._health.may_start_or_probe(worker.worker_id, self._now_s)

    def is_suspect(self, worker: _worker.WorkerState) -> bool:
        """Return whether a worker's most recent tasks failed."""
        if not self._policies.worker_health:
            return False
        return self._health.is_suspect(worker.worker_id)

    def task_capacity(
        self,
        worker: _worker.WorkerState,
        step: document.Step,
        step_key: str,
        *,
        is_urgent: bool = False,
    ) -> int:
        """Return how many more tasks of a step fit on a worker now.

        Zero for a worker at its limit for the step or set aside for failures:
        if its free capacity counted, the step would request no advice about
        other workers, and its last tasks would never start.
        """
        if not self.may_start(worker):
            return 0
        if not self.choices.may_use(worker, step_key):
            return 0
        if is_urgent and self.is_slow(worker, is_urgent=True):
            return 0
        count = _advice_targets.tasks_that_fit(
            self.unreserved(
                worker, self.choices.run_s(worker, step, step_key)
            ),
            step,
        )
        if step.per_worker_max:
            remaining = step.per_worker_max - worker.step_counts[step_key]
            count = min(count, max(0, remaining))
        return count

    def is_slow(self, worker: _worker.WorkerState, *, is_urgent: bool) -> bool:
        """Return whether a worker's tasks progress slowly."""
        return self._pace is not None and self._pace.is_slow(
            worker.worker_id, self._now_s, is_urgent=is_urgent
        )

    def is_preferred(
        self, worker: _worker.WorkerState, step: document.Step
    ) -> bool:
        """Return whether a worker is healthy and near a step's data."""
        if self.is_suspect(worker):
            return False
        near = step.rack_affinity
        return not near or worker.listed.rack == near

    def order_for(self, step: document.Step, priority: int) -> WorkerOrder:
        """Return the order in which a step considers workers."""
        if step.fills:
            return WorkerOrder.FEWEST_SERVING
        if step.lasting:
            return WorkerOrder.FEWEST_FILLING
        if priority == 0 or not self._policies.packing:
            return WorkerOrder.FREEST
        return WorkerOrder.FULLEST

    def in_packing_order(
        self, workers: collections.abc.Iterable[_worker.WorkerState]
    ) -> list[_worker.WorkerState]:
        """Return workers in the order that leaves whole ones free."""
        return sorted(
            workers, key=_free_share, reverse=not self._policies.packing
        )

    def in_order(self, order: WorkerOrder) -> list[_worker.WorkerState]:
        """Return the open workers in an order, sorted once per pass."""
        workers = self._by_order.get(order)
        if workers is None:
            workers = sorted(self._open, key=_SORT_KEYS[order])
            self._by_order[order] = workers
        return workers

    def is_feasible(
        self, worker: _worker.WorkerState, step: document.Step
    ) -> bool:
        """Return whether a worker can run a task of a step when empty."""
        if not worker.listed.capacity.covers(step.need):
            return False
        label = step.required_label
        return not label or label in worker.listed.labels


def _free_share(worker: _worker.WorkerState) -> float:
    """Return the free share of a worker's most used resource."""
    return 1.0 - worker.booked.dominant_share(worker.listed.capacity)


def _fewest_serving(worker: _worker.WorkerState) -> tuple[int, float]:
    return len(worker.serving_runs()), -_free_share(worker)


def _fewest_filling(worker: _worker.WorkerState) -> tuple[int, float]:
    return sum(r.fills for r in worker.runs.values()), -_free_share(worker)


_SORT_KEYS: typing.Final[
    dict[
        WorkerOrder,
        collections.abc.Callable[[_worker.WorkerState], typing.Any],
    ]
] = {
    WorkerOrder.FREEST: lambda worker: -_free_share(worker),
    WorkerOrder.FULLEST: _free_share,
    WorkerOrder.FEWEST_SERVING: _fewest_serving,
    WorkerOrder.FEWEST_FILLING: _fewest_filling,
}
