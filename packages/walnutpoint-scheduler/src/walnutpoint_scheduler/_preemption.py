"""Preempts batch runs that can resume, in favour of urgent tasks."""

from __future__ import annotations

import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _advice_targets
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _orders
from walnutpoint_scheduler import _remaining
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler import cell

__all__ = ('Preemption',)

_NO_RESOURCES: typing.Final = resources.Resources()
# Runs expected to end within this time are not preempted: a stop takes up to
# 0.4 s, and another 0.1 s until its end is reported.
_NEARLY_DONE_S: typing.Final = 0.6
# Shortest run time before preemption: a run has restored its state (0.6 s at
# most) and made progress by then.
_MIN_RUN_S: typing.Final = 1.5
# By the next round, the stops of the last have ended or count as releasing.
_ROUND_INTERVAL_S: typing.Final = 0.1
# Bounds the damage of a wrong estimate; a burst of urgent jobs takes several
# rounds.
_ROUND_VICTIMS_MAX: typing.Final = 24


class _Candidate:
    """A worker with capacity that is, or can be, released."""

    __slots__ = ('releasing', 'victims', 'worker')

    def __init__(self, worker: _worker.WorkerState) -> None:
        self.worker = worker
        # The capacity of the runs that are being stopped.
        self.releasing = _NO_RESOURCES
        self.victims: list[_run.Run] = []


class Preemption:
    """Stops batch runs with checkpoints to make room for urgent tasks.

    Such a run returns a checkpoint when stopped and resumes from it on some
    worker. It loses the time of a restart, a small part of its objective,
    while the urgent task saves the rest of the batch run's time.
    """

    __slots__ = (
        '_candidates',
        '_context',
        '_last_round_s',
        '_lowest_priority',
        '_sender',
        '_victims_left',
        'stopped',
    )

    def __init__(
        self, context: _context.Context, sender: _orders.OrderSender
    ) -> None:
        self._context = context
        self._sender = sender
        self._last_round_s = 0.0
        # Runs that this round may still stop.
        self._victims_left = 0
        # By pool and by the priority of the waiting tasks.
        self._candidates: dict[tuple[str, int], list[_Candidate]] = {}
        # The highest number is the least urgent priority.
        self._lowest_priority = 0
        self.stopped = 0

    def begin(self) -> None:
        """Begin a pass, and a round if one is due."""
        now_s = self._context.timer.now_s()
        self._victims_left = 0
        self._candidates.clear()
        if now_s - self._last_round_s >= _ROUND_INTERVAL_S:
            self._victims_left = _ROUND_VICTIMS_MAX
            self._lowest_priority = self._context.cell.lowest_priority

    def preempt_for(
        self,
        selector: _worker_selector.WorkerSelector,
        queue: cell.Queue,
        step: _state.StepProgress,
        missing: int,
    ) -> None:
        """Stop runs so that the missing tasks of a step fit."""
        if not self._context.settings.policies.preemption:
            return
        if not self._victims_left or step.step.gang or step.step.fills:
            return
        if queue.priority >= self._lowest_priority:
            return
        if not step.job.is_owed:
            # Jobs beyond their account's rate may not preempt others.
            return
        # Found once per pass, as many steps may need them.
        key = queue.pool, queue.priority
        if key not in self._candidates:
            self._candidates[key] = self._find_candidates(queue)
            # Stable, so that nothing changes where all are equally quick.
            self._candidates[key].sort(
                key=lambda candidate: selector.choices.group_of(
                    candidate.worker
                )
            )
        permitted = None
        if queue.advice is not None:
            permitted = self._context.advice.with_valid_ticket(step.key)
        candidates = [
            candidate
            for candidate in self._candidates[key]
            if (permitted is None or candidate.worker.worker_id in permitted)
            and selector.is_feasible(candidate.worker, step.step)
            and selector.may_start(candidate.worker)
            and not selector.is_slow(candidate.worker, is_urgent=True)
            and selector.choices.may_use(candidate.worker, step.key)
        ]
        for candidate in candidates:
            expected_free = (
                selector.unreserved(candidate.worker) + candidate.releasing
            )
            missing -= _advice_targets.tasks_that_fit(expected_free, step.step)
            if missing <= 0:
                return
        for candidate in candidates:
            if missing <= 0 or not self._victims_left:
                return
            if self._preempt(selector, step, candidate):
                missing -= 1

    def _find_candidates(self, queue: cell.Queue) -> list[_Candidate]:
        """Return the workers of a pool with releasable capacity."""
        now_s = self._context.timer.now_s()
        candidates = []
        for worker in self._context.roster.in_pool(queue.pool):
            if not worker.accepts_starts:
                continue
            candidate = _Candidate(worker)
            for run in worker.runs.values():
                if run.phase is _run.RunPhase.STOPPING:
                    candidate.releasing += run.need
                elif self._may_stop(run, queue.priority, now_s):
                    candidate.victims.append(run)
            if candidate.victims or candidate.releasing != _NO_RESOURCES:
                # Largest first, so that few runs are stopped.
                candidate.victims.sort(
                    key=lambda run: -run.need.cpu_millicores
                )
                candidates.append(candidate)
        return candidates

    def _preempt(
        self,
        selector: _worker_selector.WorkerSelector,
        step: _state.StepProgress,
        candidate: _Candidate,
    ) -> bool:
        """Stop enough runs on a worker to fit one task, or none."""
        limit = step.step.per_worker_max
        if limit and candidate.worker.step_counts[step.key] >= limit:
            return False
        expected_free = (
            selector.unreserved(candidate.worker) + candidate.releasing
        )
        count = 0
        while count < len(candidate.victims) and not expected_free.covers(
            step.step.need
        ):
            expected_free += candidate.victims[count].need
            count += 1
        if not count or count > self._victims_left:
            return False
        if not expected_free.covers(step.step.need):
            return False
        for run in candidate.victims[:count]:
            self._sender.stop(run, 'makes room for urgent work')
            candidate.releasing += run.need
        del candidate.victims[:count]
        self._victims_left -= count
        self.stopped += count
        self._last_round_s = self._context.timer.now_s()
        return True

    def _may_stop(
        self,
        run: _run.Run,
        priority: int,
        now_s: float,
    ) -> bool:
        task = run.task
        if task is None:
            return False
        step = task.step.step
        if not step.checkpoints or step.gang or step.lasting or step.fills:
            return False
        if run.phase is not _run.RunPhase.RUNNING or task.copy is not None:
            return False
        if self._context.queue_of(task.step.job).priority <= priority:
            return False
        if run.started_s is None or now_s - run.started_s < _MIN_RUN_S:
            return False
        return _remaining.run_s(run, task, now_s) > _NEARLY_DONE_S
