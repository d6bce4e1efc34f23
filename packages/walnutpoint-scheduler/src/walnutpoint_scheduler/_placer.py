"""Places the tasks of waiting steps on workers, one pass at a time."""

from __future__ import annotations

import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _advice_requests
from walnutpoint_scheduler import _candidates
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _gang
from walnutpoint_scheduler import _limits
from walnutpoint_scheduler import _orders
from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _planning
from walnutpoint_scheduler import _preemption
from walnutpoint_scheduler import _quarantine
from walnutpoint_scheduler import _ready
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _selectors
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _step_permits
from walnutpoint_scheduler import _wait_cause
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler import advice
from walnutpoint_scheduler import cell

__all__ = ('Placer',)

_LOG: typing.Final = logs.get_logger('placer')
# Steps that may fail to fit before the rest of a pass only requests advice, as
# each scans every worker. A step permitted on a third of the workers counts as
# a third, since it indicates little about the capacity for others.
_BLOCKED_WEIGHT_MAX: typing.Final = 16.0
# The most tasks that a pass places, less those whose starts have no answer
# yet, a whole gang aside: each takes a tenth of a millisecond, in which no
# lease is renewed, and its start some more.
_PASS_TASKS_MAX: typing.Final = 500
# Placed in any case, as the answers may not come soon.
_PASS_TASKS_MIN: typing.Final = 50


class Placer:
    """Plans runs, ordered by what their callers lose by waiting."""

    __slots__ = (
        '_advice_requests',
        '_context',
        '_limits',
        '_permits',
        '_planner',
        '_preemption',
        '_quarantine',
        '_ready',
        '_selectors',
        '_sender',
        '_tasks_left',
        'longest_wait_s',
        'passes',
    )

    def __init__(
        self, context: _context.Context, sender: _orders.OrderSender
    ) -> None:
        self._context = context
        self._sender = sender
        self._selectors = _selectors.PassSelectors(context)
        self._limits = _limits.AccountLimits(context)
        self._preemption = _preemption.Preemption(context, sender)
        self._quarantine = _quarantine.Quarantine(context)
        self._planner = advice.RequestPlanner(context)
        self._advice_requests = _advice_requests.AdviceRequests(
            context, self._planner
        )
        self._ready = _ready.ReadySteps(context)
        self._permits = _step_permits.StepPermits(
            context,
            self._selectors,
            self._limits,
            self._planner,
            self._advice_requests,
        )
        # How many more tasks this pass may place.
        self._tasks_left = 0
        self.passes = 0
        # The longest current wait for worker capacity.
        self.longest_wait_s = 0.0

    @property
    def displaced(self) -> int:
        """Return how many runs were preempted."""
        return self._preemption.stopped

    @property
    def working_set_size(self) -> int:
        """Return how many steps may request advice; zero for all."""
        return self._planner.size

    async def run(self) -> None:
        """Place the waiting tasks that fit."""
        queued_steps = await self._ready.queued_steps()
        self._place_all(queued_steps)

    def _place_all(
        self, queued_steps: list[_placement_order.QueuedStep]
    ) -> None:
        """Place steps in their order, without interruption.

        The workers and what is free on them must not change meanwhile.
        """
        self.passes += 1
        starting = sum(
            len(worker.starting)
            for worker in self._context.roster.workers.values()
        )
        self._tasks_left = max(_PASS_TASKS_MIN, _PASS_TASKS_MAX - starting)
        self._preemption.begin()
        self._quarantine.begin()
        self._selectors.clear()
        self._advice_requests.begin(queued_steps)
        self._limits.begin(queued_steps)
        self.longest_wait_s = self._ready.longest_wait_s(queued_steps)
        promoted = self._ready.promoted(queued_steps, self._permits.may_start)
        self._planner.begin(
            queued_steps, self._limits, self._advice_requests.permits, promoted
        )
        for queued in promoted:
            self._place_guarded(queued, 1)
        for queued in queued_steps:
            if queued not in promoted:
                self._place_guarded(queued)
            if self._tasks_left <= 0:
                # The next pass, which follows at once, places the others.
                self._context.wake()
                break
        self._planner.request(self._selector)
        self._place_copies()
        self._place_suspects()

    def _place_guarded(
        self, queued: _placement_order.QueuedStep, tasks_max: int | None = None
    ) -> None:
        """Place a step, and keep an unexpected error from ending the pass.

        Each pass would fail at the same step, and those after it would never
        start.
        """
        now_s = self._context.timer.now_s()
        if queued.step.fault_backoff.is_waiting(now_s):
            return
        try:
            self._place(queued, tasks_max)
        except Exception as error:
            queued.step.fault_backoff.record_failure(now_s)
            _LOG.exception(
                'step.failed',
                step=queued.step.key,
                queue=queued.queue.name,
                faults=queued.step.fault_backoff.failure_count,
                error=repr(error),
            )

    def _place(
        self, queued: _placement_order.QueuedStep, tasks_max: int | None = None
    ) -> None:
        allowed = self._limits.startable_tasks(queued.step)
        if allowed is not None:
            if allowed < _limits.min_start_count(queued.step):
                self._wait_for_limit(queued)
                return
            tasks_max = min(allowed, tasks_max or allowed)
        if self._permits.awaits_advice(queued):
            # Nothing can be placed, reserved or requested yet: skip the scan
            # of all workers.
            waiting = len(queued.step.waiting())
            cause = _wait_cause.Cause.ADVICE
            if self._context.advice.granted(queued.step.key):
                cause = _wait_cause.Cause.TICKET
            _wait_cause.log(queued.step, queued.queue, cause, waiting)
            return
        selector = self._selector(queued.queue)
        self._choose_groups(selector, queued.queue, queued.step)
        if queued.step.step.gang:
            self._place_gang(selector, queued.queue, queued.step)
        else:
            self._place_step(selector, queued.queue, queued.step, tasks_max)
        if (
            allowed is not None
            and self._limits.startable_tasks(queued.step) == 0
        ):
            if queued.step.waiting():
                self._limits.reserve(queued.step)

    def _wait_for_limit(self, queued: _placement_order.QueuedStep) -> None:
        """Skip a step that its account's limit keeps from starting.

        It could not use reserved capacity or advice.
        """
        step = queued.step
        self._limits.reserve(step)
        _wait_cause.log(
            step,
            queued.queue,
            _wait_cause.Cause.ACCOUNT_LIMIT,
            len(step.waiting()),
        )

    def _selector(self, queue: cell.Queue) -> _worker_selector.WorkerSelector:
        """Return this pass's selector for a queue's pool."""
        return self._selectors.of_queue(queue)

    def _choose_groups(
        self,
        selector: _worker_selector.WorkerSelector,
        queue: cell.Queue,
        step: _state.StepProgress,
    ) -> None:
        """Choose the speed groups for a step by the workers granted to it."""
        is_behind = selector.blocked_weight >= _BLOCKED_WEIGHT_MAX
        if is_behind and queue.advice is None and not step.step.gang:
            # Nothing is placed or requested for it in this pass.
            return
        permitted = self._permits.reservable_workers(queue, step)
        selector.choose_groups(queue, step, permitted)

    def _place_step(
        self,
        selector: _worker_selector.WorkerSelector,
        queue: cell.Queue,
        step: _state.StepProgress,
        tasks_max: int | None,
    ) -> None:
        if selector.blocked_weight >= _BLOCKED_WEIGHT_MAX:
            # Earlier steps wait for the free capacity. Advice is requested
            # anyway, as it takes longer than the wait.
            wanted = len(step.waiting()[:tasks_max])
            self._advice_requests.request(selector, queue, step, wanted)
            _wait_cause.log(
                step, queue, _wait_cause.Cause.BEHIND, len(step.waiting())
            )
            return
        waiting = self._quarantine.partition(queue, step)[:tasks_max]
        # Half of what is left is for the steps after this one.
        waiting = waiting[: max(1, self._tasks_left // 2)]
        if not waiting:
            return
        runs: list[_run.Run] = []
        candidates = self._candidates(selector, queue, step)
        for task in waiting:
            worker = candidates.next_fit()
            if worker is None:
                break
            runs.append(
                _planning.plan(
                    self._context,
                    task,
                    worker,
                    queue,
                    task.attempt + 1,
                    selector,
                )
            )
        if runs:
            self._tasks_left -= len(runs)
            self._sender.launch(step.job, runs)
        missing = len(waiting) - len(runs)
        if missing:
            self._preemption.preempt_for(selector, queue, step, missing)
            self._reserve_and_request(selector, queue, step, missing)

    def _candidates(
        self,
        selector: _worker_selector.WorkerSelector,
        queue: cell.Queue,
        step: _state.StepProgress,
        excluded: str = '',
    ) -> _candidates.Candidates:
        """Return the workers with capacity and any ticket needed."""
        return _candidates.Candidates(
            selector,
            step.step,
            step.key,
            queue.priority,
            self._permits.workers(queue, step),
            excluded=excluded,
            # A starved step has no other worker soon.
            allows_slow=self._advice_requests.is_starved(step),
        )

    def _place_copies(self) -> None:
        """Start speculative copies in the remaining capacity."""
        context = self._context
        wanted = list(context.copies_wanted.values())
        context.copies_wanted.clear()
        for task in wanted:
            job, run = task.step.job, task.run
            if job.state.final or run is None or task.copy is not None:
                continue
            if task.is_suspect or not self._limits.permits(task.step):
                continue
            queue = context.queue_of(job)
            selector = self._selector(queue)
            self._choose_groups(selector, queue, task.step)
            worker = self._candidates(
                selector, queue, task.step, run.worker_id
            ).next_fit()
            if worker is None:
                self._advice_requests.request(selector, queue, task.step, 1)
                continue
            copy = _planning.plan(
                self._context, task, worker, queue, task.attempt + 1, selector
            )
            task.run, task.copy = run, copy
            self._sender.launch(job, [copy])

    def _place_suspects(self) -> None:
        """Start tasks that may crash their workers, each isolated."""
        for suspect in self._quarantine.suspects():
            step = suspect.task.step
            if not self._limits.permits(step):
                cause = _wait_cause.Cause.ACCOUNT_LIMIT
                _wait_cause.log(step, suspect.queue, cause, 1)
                continue
            selector = self._selector(suspect.queue)
            permitted = self._permits.workers(suspect.queue, step)
            worker = self._quarantine.pick(selector, suspect, permitted)
            if worker is None:
                self._advice_requests.request(selector, suspect.queue, step, 1)
                _wait_cause.log(
                    step, suspect.queue, _wait_cause.Cause.SUSPECT, 1
                )
                continue
            attempt = suspect.task.attempt + 1
            run = _planning.plan(
                self._context,
                suspect.task,
                worker,
                suspect.queue,
                attempt,
                selector,
            )
            self._context.suspects.isolate(worker, run)
            self._sender.launch(step.job, [run])

    def _place_gang(
        self,
        selector: _worker_selector.WorkerSelector,
        queue: cell.Queue,
        step: _state.StepProgress,
    ) -> None:
        """Start all members at once, or none.

        Members that wait for others leave capacity idle, and two half-placed
        gangs would deadlock.
        """
        if any(task.runs for task in step.tasks):
            return
        now_s = self._context.timer.now_s()
        if any(task.backoff.is_waiting(now_s) for task in step.tasks):
            return
        permitted = self._permits.workers(queue, step)
        picked = _gang.pick(
            selector,
            step,
            permitted,
            is_starved=self._advice_requests.is_starved(step),
            isolated=self._quarantine.workers_for_gang(
                selector, step, permitted
            ),
        )
        if picked is None:
            self._reserve_and_request(selector, queue, step, len(step.tasks))
            return
        attempt = max(task.attempt for task in step.tasks) + 1
        checkpoint = next(
            (t.checkpoint for t in step.tasks if t.checkpoint), ''
        )
        runs = []
        for task, worker in zip(step.tasks, picked, strict=True):
            task.checkpoint = checkpoint
            run = _planning.plan(
                self._context, task, worker, queue, attempt, selector
            )
            if task.is_suspect:
                self._context.suspects.isolate(worker, run)
            runs.append(run)
        self._tasks_left -= len(runs)
        self._sender.launch(step.job, runs)

    def _reserve_and_request(
        self,
        selector: _worker_selector.WorkerSelector,
        queue: cell.Queue,
        step: _state.StepProgress,
        missing: int,
    ) -> None:
        """Reserve capacity for waiting tasks, with tickets in time for it."""
        advice = self._context.advice
        selector.blocked_weight += self._permits.share(selector, queue, step)
        if not self._planner.may_reserve(step):
            cause = _wait_cause.Cause.RESERVED
            _wait_cause.log(step, queue, cause, missing)
            return
        reserved_workers = selector.reserve(
            step.step,
            step.key,
            missing,
            self._permits.reservable_workers(queue, step),
        )
        self._advice_requests.request(
            selector, queue, step, missing, reserved_workers
        )
        cause = _wait_cause.find(
            selector, advice, queue, step, reserved_workers
        )
        _wait_cause.log(step, queue, cause, missing)
