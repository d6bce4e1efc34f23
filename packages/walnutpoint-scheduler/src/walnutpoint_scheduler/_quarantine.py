"""Isolates tasks that may crash their workers, a few at a time."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _crash_odds
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _suspects
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler import cell

__all__ = (
    'Quarantine',
    'WaitingSuspect',
)

_MILLICORES_PER_CORE: typing.Final = 1000.0
# Share of a pool's workers that may isolate suspects at once: each may be lost
# for some 3 s, and nothing else starts on it until its suspect is cleared.
_SUSPECT_WORKERS_SHARE: typing.Final = 1 / 8
# How long a suspect that probably caused its losses waits for a worker without
# sensitive runs.
_SPARE_WORKER_WAIT_S: typing.Final = 1.0
# How long any suspect waits for a worker where nothing has just started.
_SETTLED_WORKER_WAIT_S: typing.Final = 5.0
_LIKELY_ODDS: typing.Final = 1.0


class WaitingSuspect(typing.NamedTuple):
    """A suspect task to place, and its queue."""

    queue: cell.Queue
    task: _state.TaskProgress


class _LossCost(typing.NamedTuple):
    """The cost of losing a worker, ordered by sensitive runs first."""

    # Runs that are urgent, lasting, or would end a whole gang.
    sensitive: int
    # Core seconds of runs without checkpoints.
    unsaved_core_s: float


class Quarantine:
    """Collects the suspect tasks of one pass and selects their workers."""

    __slots__ = ('_context', '_suspects')

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._suspects: list[WaitingSuspect] = []

    def begin(self) -> None:
        """Begin a pass."""
        self._suspects.clear()
        self._context.suspects.end_probations()

    def partition(
        self, queue: cell.Queue, step: _state.StepProgress
    ) -> list[_state.TaskProgress]:
        """Return the unsuspected tasks of a step, and queue the suspects.

        Suspects are placed last in a pass, so that no other task of the pass
        is placed beside them.
        """
        waiting = step.waiting()
        if not step.may_be_held:
            # Fast path: thousands of tasks may wait in a pass.
            return waiting
        now_s = self._context.timer.now_s()
        unsuspected = []
        for task in waiting:
            if task.backoff.is_waiting(now_s):
                continue
            if task.is_suspect:
                self._suspects.append(WaitingSuspect(queue, task))
            else:
                unsuspected.append(task)
        return unsuspected

    def suspects(self) -> collections.abc.Sequence[WaitingSuspect]:
        """Return the suspects of the pass."""
        return self._suspects

    def pick(
        self,
        selector: _worker_selector.WorkerSelector,
        suspect: WaitingSuspect,
        permitted: _worker_selector.PermittedWorkers,
    ) -> _worker.WorkerState | None:
        """Return the worker whose loss would cost least, if one fits."""
        task = suspect.task
        if not self._may_isolate_another(selector, suspect.queue.pool):
            return None
        candidates = self._by_loss_cost(selector, task.step, permitted)
        if not candidates:
            return None
        loss_cost, worker = candidates[0]
        waited_s = self._context.timer.now_s() - task.waiting_since_s
        is_likely = _crash_odds.odds(task.losses) >= _LIKELY_ODDS
        if (
            is_likely
            and loss_cost.sensitive
            and waited_s < _SPARE_WORKER_WAIT_S
        ):
            return None
        if waited_s < _SETTLED_WORKER_WAIT_S and not self._has_settled(
            worker, task.step
        ):
            return None
        return worker

    def workers_for_gang(
        self,
        selector: _worker_selector.WorkerSelector,
        step: _state.StepProgress,
        permitted: _worker_selector.PermittedWorkers,
    ) -> dict[int, _worker.WorkerState]:
        """Return a separate worker for each suspect of a gang, by index.

        Empty if there are too few: the gang does not wait, and its members
        share workers instead.
        """
        suspects = [task for task in step.tasks if task.is_suspect]
        if not suspects:
            return {}
        candidates = self._by_loss_cost(selector, step, permitted)
        if len(candidates) < len(suspects):
            return {}
        return {
            task.index: worker
            for task, (_, worker) in zip(suspects, candidates, strict=False)
        }

    def _may_isolate_another(
        self, selector: _worker_selector.WorkerSelector, pool: str
    ) -> bool:
        limit = max(1, int(selector.open_count * _SUSPECT_WORKERS_SHARE))
        return self._context.suspects.isolated_count(pool) < limit

    def _by_loss_cost(
        self,
        selector: _worker_selector.WorkerSelector,
        step: _state.StepProgress,
        permitted: _worker_selector.PermittedWorkers,
    ) -> list[tuple[_LossCost, _worker.WorkerState]]:
        """Return the workers that fit a task, least costly loss first."""
        candidates = [
            (self._loss_cost(worker), worker)
            for worker in selector.feasible(step.step)
            if (permitted is None or worker.worker_id in permitted)
            and selector.fits(
                worker,
                step.step,
                step.key,
                selector.choices.run_s(worker, step.step, step.key),
            )
        ]
        candidates.sort(
            key=lambda candidate: (
                not selector.is_preferred(candidate[1], step.step),
                not self._has_settled(candidate[1], step),
                candidate[0],
            )
        )
        return candidates

    def _has_settled(
        self, worker: _worker.WorkerState, step: _state.StepProgress
    ) -> bool:
        """Return whether no other job has just started there.

        Beside its tasks, a crash would prove nothing.
        """
        return _suspects.has_settled(
            worker, self._context.now_ms(), step.job.document.job_id
        )

    def _loss_cost(self, worker: _worker.WorkerState) -> _LossCost:
        now_s = self._context.timer.now_s()
        sensitive = 0
        unsaved_core_s = 0.0
        for run in worker.runs.values():
            if run.task is None:
                continue
            step = run.task.step.step
            queue = self._context.queue_of(run.task.step.job)
            if step.lasting or step.gang or not queue.priority:
                sensitive += 1
            if not step.checkpoints and run.started_s is not None:
                cores = run.need.cpu_millicores / _MILLICORES_PER_CORE
                unsaved_core_s += (now_s - run.started_s) * cores
        return _LossCost(sensitive, unsaved_core_s)
