"""One pass over the waiting steps: who starts where."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_scheduler import _choice
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _orders
from walnutpoint_scheduler import _preemption
from walnutpoint_scheduler import _questions
from walnutpoint_scheduler import _roster
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

__all__ = ('Placer',)

_LOG: typing.Final = logs.get_logger('placer')
# Steps that may find no room before the rest of a pass only asks for advice:
# each is a look at every worker, some 2 ms with 900 of them.
_BLOCKED_MAX: typing.Final = 16
_WAITED: typing.Final = metrics.Latency(
    'start_wait', 'Time from ready to placed, by priority of the queue.'
)
_MS: typing.Final = 1000.0
# A job that ends within this many times its objective still counts for
# something; beyond, it comes after all others of its priority.
_LATE_FACTOR: typing.Final = 3.0


class Placer:
    """Plans runs in the order of what their callers lose by waiting."""

    __slots__ = (
        '_context',
        '_desk',
        '_preemption',
        '_questions',
        'passes',
        'placed',
    )

    def __init__(
        self, context: _context.Context, desk: _orders.OrderDesk
    ) -> None:
        self._context = context
        self._desk = desk
        self._preemption = _preemption.Preemption(context, desk)
        self._questions = _questions.Questions(context)
        self.passes = 0
        self.placed = 0

    @property
    def displaced(self) -> int:
        """Return how many runs were stopped to make room."""
        return self._preemption.stopped

    def run(self) -> None:
        """Place every waiting task that has a place."""
        self.passes += 1
        self._questions.begin()
        self._preemption.begin()
        choosers: dict[str, _choice.Chooser] = {}
        for _, queue, step in self._ordered():
            chooser = choosers.get(queue.pool)
            if chooser is None:
                chooser = choosers[queue.pool] = self._chooser(queue)
            if step.step.gang:
                self._place_gang(chooser, queue, step)
            else:
                self._place_step(chooser, queue, step)
        self._place_copies(choosers)

    def _chooser(self, queue: cell.Queue) -> _choice.Chooser:
        context = self._context
        return _choice.Chooser(
            context.roster.in_pool(queue.pool),
            context.health,
            context.timer.now_s(),
        )

    def _ordered(
        self,
    ) -> list[
        tuple[tuple[int, int, float, str], cell.Queue, _state.StepProgress]
    ]:
        context = self._context
        now_ms = context.now_ms()
        rows = []
        for job in context.open_jobs.values():
            queue = context.queue_of(job)
            if not job.unsettled and not job.document.occurrence_count:
                continue
            job.unsettled = False
            for step in self._ready(job, now_ms):
                job.unsettled = True
                rows.append((_order_key(queue, step, now_ms), queue, step))
        rows.sort(key=lambda row: row[0])
        return rows

    def _ready(
        self, job: _state.JobProgress, now_ms: float
    ) -> collections.abc.Iterator[_state.StepProgress]:
        early_ms = self._context.settings.early_s * _MS
        for number in job.due(now_ms, early_ms):
            steps = job.occurrence(number)
            for step in steps:
                if step.done or not step.waiting():
                    continue
                if all(steps[earlier].done for earlier in step.step.after):
                    if step.ready_s is None:
                        step.ready_s = self._context.timer.now_s()
                    yield step

    def _place_step(
        self,
        chooser: _choice.Chooser,
        queue: cell.Queue,
        step: _state.StepProgress,
    ) -> None:
        if chooser.blocked >= _BLOCKED_MAX:
            # What room there is, earlier steps wait for. Advice is asked
            # for all the same: it takes longer than the wait.
            self._questions.ask(chooser, queue, step, len(step.waiting()))
            return
        waiting = step.waiting()
        runs: list[_state.Run] = []
        shortlist = self._shortlist(chooser, queue, step)
        for task in waiting:
            worker = shortlist.take()
            if worker is None:
                break
            runs.append(self._plan(task, worker, queue, task.attempt + 1))
        if runs:
            self._desk.launch(step.job, runs)
        missing = len(waiting) - len(runs)
        if missing:
            self._questions.ask(chooser, queue, step, missing)
            self._preemption.make_room(chooser, queue, step, missing)
            self._hold(chooser, queue, step, missing)

    def _shortlist(
        self,
        chooser: _choice.Chooser,
        queue: cell.Queue,
        step: _state.StepProgress,
        avoided: str = '',
    ) -> _choice.Shortlist:
        """Return the workers with room, and a ticket where one is needed."""

        def permitted(worker_id: str) -> bool:
            if worker_id == avoided:
                return False
            if queue.advice is None:
                return True
            return self._context.advice.ticket(step.key, worker_id) is not None

        return _choice.Shortlist(
            chooser, step.step, step.key, queue.priority, permitted
        )

    def _place_copies(self, choosers: dict[str, _choice.Chooser]) -> None:
        """Start second runs with what room is left."""
        context = self._context
        wanted = list(context.copies_wanted.values())
        context.copies_wanted.clear()
        for task in wanted:
            job, run = task.step.job, task.run
            if job.state.final or run is None or task.copy is not None:
                continue
            queue = context.queue_of(job)
            chooser = choosers.get(queue.pool)
            if chooser is None:
                chooser = choosers[queue.pool] = self._chooser(queue)
            worker = self._shortlist(
                chooser, queue, task.step, run.worker_id
            ).take()
            if worker is None:
                self._questions.ask(chooser, queue, task.step, 1)
                continue
            copy = self._plan(task, worker, queue, task.attempt + 1)
            task.run, task.copy = run, copy
            self._desk.launch(job, [copy])

    def _place_gang(
        self,
        chooser: _choice.Chooser,
        queue: cell.Queue,
        step: _state.StepProgress,
    ) -> None:
        """Start all members at once, or none.

        Members that wait for others hold room idle, and two gangs that are
        each half placed would wait for one another.
        """
        if any(task.runs for task in step.tasks):
            return
        for group, is_sound in self._gang_groups(chooser, step):
            picked = self._pick_gang(chooser, queue, step, group, is_sound)
            if picked is None:
                continue
            attempt = max(task.attempt for task in step.tasks) + 1
            checkpoint = next(
                (t.checkpoint for t in step.tasks if t.checkpoint), ''
            )
            runs = []
            for task, worker in zip(step.tasks, picked, strict=True):
                task.checkpoint = checkpoint
                runs.append(self._plan(task, worker, queue, attempt))
            self._desk.launch(step.job, runs)
            return
        self._questions.ask(chooser, queue, step, len(step.tasks))
        self._hold(chooser, queue, step, len(step.tasks))

    def _gang_groups(
        self, chooser: _choice.Chooser, step: _state.StepProgress
    ) -> list[tuple[list[_roster.WorkerState], bool]]:
        """Return the sets of workers to try, the best first.

        Each tells whether it is to be of sound workers only. One failure
        costs all members; but where no sound worker may run a gang, nothing
        else may ever prove the others sound, and it would wait for ever.
        """
        everyone = list(chooser.able(step.step))
        racks: dict[str, list[_roster.WorkerState]] = {}
        for worker in everyone:
            racks.setdefault(worker.listed.rack, []).append(worker)
        groups = []
        if step.step.rack_affinity in racks:
            groups.append(racks[step.step.rack_affinity])
        if step.step.same_rack:
            groups += sorted(racks.values(), key=len, reverse=True)
        groups.append(everyone)
        tries = [(group, True) for group in groups]
        if self._questions.is_starved(step):
            tries.append((everyone, False))
        return tries

    def _pick_gang(
        self,
        chooser: _choice.Chooser,
        queue: cell.Queue,
        step: _state.StepProgress,
        group: list[_roster.WorkerState],
        is_sound: bool,
    ) -> list[_roster.WorkerState] | None:
        need = step.step.need
        picked: list[_roster.WorkerState] = []
        for worker in sorted(
            group,
            key=lambda w: chooser.free(w).cpu_millicores,
            reverse=True,
        ):
            if is_sound and chooser.is_suspect(worker):
                continue
            if not chooser.may_start(worker):
                continue
            if not self._ticketed(queue, step, [worker]):
                continue
            count = chooser.free(worker).times(need)
            if step.step.per_worker_max:
                count = min(count, step.step.per_worker_max)
            picked += [worker] * count
            if len(picked) >= len(step.tasks):
                return picked[: len(step.tasks)]
        return None

    def _ticketed(
        self,
        queue: cell.Queue,
        step: _state.StepProgress,
        workers: list[_roster.WorkerState],
    ) -> list[_roster.WorkerState]:
        if queue.advice is None:
            return workers
        advice = self._context.advice
        return [w for w in workers if advice.ticket(step.key, w.worker_id)]

    def _plan(
        self,
        task: _state.TaskProgress,
        worker: _roster.WorkerState,
        queue: cell.Queue,
        attempt: int,
    ) -> _state.Run:
        context = self._context
        task.attempt = attempt
        run = _state.Run(
            _run_name(task, attempt),
            worker.worker_id,
            task.step.step.need,
            context.timer.now_s(),
            task,
        )
        if queue.advice is not None:
            ticket = context.advice.ticket(task.step.key, worker.worker_id)
            run.ticket = ticket or ''
        task.run = run
        task.state = _state.TaskState.ACTIVE
        worker.book(run)
        context.health.begin(worker.worker_id, context.timer.now_s())
        self.placed += 1
        waited_s = context.timer.now_s() - (task.step.ready_s or 0.0)
        _WAITED.observe(str(queue.priority), waited_s)
        _LOG.info(
            'run.placed',
            run=_ends.run_text(run.name),
            queue=queue.name,
            worker=worker.worker_id,
            free_millicores=worker.free.cpu_millicores,
            waited_s=round(waited_s, 3),
            token=context.token,
        )
        return run

    def _hold(
        self,
        chooser: _choice.Chooser,
        queue: cell.Queue,
        step: _state.StepProgress,
        missing: int,
    ) -> None:
        """Keep room free for tasks that wait, against those behind them."""
        advice = self._context.advice
        chooser.blocked += 1
        chooser.hold(
            step.step,
            missing,
            lambda worker_id: (
                queue.advice is None
                or bool(advice.permits(step.key, worker_id))
            ),
        )


def _order_key(
    queue: cell.Queue, step: _state.StepProgress, now_ms: float
) -> tuple[int, int, float, str]:
    job = step.job
    document = job.document
    begin_ms = float(document.accepted_ms)
    if document.occurrence_count:
        begin_ms = float(document.due_ms(step.occurrence))
    objective_ms = job.chain_ms * queue.stretch + queue.allowance_s * _MS
    left_ms = step.step.estimate_ms
    deadline_ms = begin_ms + objective_ms
    if document.lasting or now_ms + left_ms <= deadline_ms:
        tier = 0
    elif now_ms + left_ms <= begin_ms + _LATE_FACTOR * objective_ms:
        tier = 1
    else:
        tier = 2
    return queue.priority, tier, deadline_ms, step.key


def _run_name(task: _state.TaskProgress, attempt: int) -> ports.RunName:
    return ports.RunName(task.name, attempt)
