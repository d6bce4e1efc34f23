"""One pass over the waiting steps: who starts where."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_scheduler import _choice
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _delay
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _order
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


class Placer:
    """Plans runs in the order of what their callers lose by waiting."""

    __slots__ = (
        '_choosers',
        '_context',
        '_desk',
        '_preemption',
        '_questions',
        'longest_wait_s',
        'passes',
        'placed',
    )

    def __init__(
        self, context: _context.Context, desk: _orders.OrderDesk
    ) -> None:
        self._context = context
        self._desk = desk
        # By pool, for one pass.
        self._choosers: dict[str, _choice.Chooser] = {}
        self._preemption = _preemption.Preemption(context, desk)
        self._questions = _questions.Questions(context)
        self.passes = 0
        self.placed = 0
        # The longest that a step waits now which some worker may run.
        self.longest_wait_s = 0.0

    @property
    def displaced(self) -> int:
        """Return how many runs were stopped to make room."""
        return self._preemption.stopped

    def run(self) -> None:
        """Place every waiting task that has a place."""
        self.passes += 1
        self._questions.begin()
        self._preemption.begin()
        self._choosers.clear()
        rows = self._ordered()
        self.longest_wait_s = self._longest_wait_s(rows)
        promoted = self._promoted(rows)
        for row in promoted:
            self._place(row, 1)
        for row in rows:
            if row not in promoted:
                self._place(row)
        self._place_copies()

    def _place(
        self, row: _order.Waiting, tasks_max: int | None = None
    ) -> None:
        chooser = self._chooser(row.queue)
        if row.step.step.gang:
            self._place_gang(chooser, row.queue, row.step)
        else:
            self._place_step(chooser, row.queue, row.step, tasks_max)

    def _chooser(self, queue: cell.Queue) -> _choice.Chooser:
        """Return the pass's chooser of a queue's pool."""
        chooser = self._choosers.get(queue.pool)
        if chooser is None:
            context = self._context
            chooser = self._choosers[queue.pool] = _choice.Chooser(
                context.roster.in_pool(queue.pool),
                context.health,
                context.timer.now_s(),
                context.settings.policies,
            )
        return chooser

    def _ordered(self) -> list[_order.Waiting]:
        context = self._context
        now_ms = context.now_ms()
        has_tiers = context.settings.policies.late_tiers
        rows = []
        for job in context.open_jobs.values():
            queue = context.queue_of(job)
            if not job.unsettled and not job.document.occurrence_count:
                continue
            job.unsettled = False
            for step in self._ready(job, now_ms):
                job.unsettled = True
                place = _order.rank(queue, step, now_ms, has_tiers)
                rows.append(_order.Waiting(place, queue, step))
        rows.sort(key=lambda row: row.rank)
        return rows

    def _promoted(
        self, rows: collections.abc.Sequence[_order.Waiting]
    ) -> list[_order.Waiting]:
        context = self._context
        if not context.settings.policies.promotion:
            return []
        now_s = context.timer.now_s()
        return _order.promote(
            rows, now_s - context.settings.patience_s, self._may_start
        )

    def _longest_wait_s(
        self, rows: collections.abc.Iterable[_order.Waiting]
    ) -> float:
        now_s = self._context.timer.now_s()
        return max(
            (
                now_s - row.step.idle_since_s
                for row in rows
                if row.step.idle_since_s is not None
                and row.step.waits_for != _delay.Cause.DENIED.value
            ),
            default=0.0,
        )

    def _may_start(self, row: _order.Waiting) -> bool:
        """Return whether some worker that is up may run a step."""
        advice = self._context.advice
        chooser = self._chooser(row.queue)
        return any(
            row.queue.advice is None
            or advice.permits(row.step.key, worker.worker_id)
            for worker in chooser.able(row.step.step)
        )

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
        tasks_max: int | None,
    ) -> None:
        if chooser.blocked >= _BLOCKED_MAX:
            # What room there is, earlier steps wait for. Advice is asked
            # for all the same: it takes longer than the wait.
            self._questions.ask(chooser, queue, step, len(step.waiting()))
            _delay.tell(step, queue, _delay.Cause.BEHIND, len(step.waiting()))
            return
        waiting = step.waiting()[:tasks_max]
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
            self._preemption.make_room(chooser, queue, step, missing)
            self._wait(chooser, queue, step, missing)

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

    def _place_copies(self) -> None:
        """Start second runs with what room is left."""
        context = self._context
        wanted = list(context.copies_wanted.values())
        context.copies_wanted.clear()
        for task in wanted:
            job, run = task.step.job, task.run
            if job.state.final or run is None or task.copy is not None:
                continue
            queue = context.queue_of(job)
            chooser = self._chooser(queue)
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
        self._wait(chooser, queue, step, len(step.tasks))

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
        # The fullest first: whole workers stay open for those who need them.
        for worker in chooser.fullest(group):
            if is_sound and chooser.is_suspect(worker):
                continue
            if not chooser.may_start(worker):
                continue
            if not self._ticketed(queue, step, [worker]):
                continue
            free = chooser.free(worker, step.step.expected_s)
            count = free.times(need)
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
        now_s = context.timer.now_s()
        task.step.placed_s = now_s
        task.step.waits_for = ''
        # A copy of a run that an earlier term started was never seen ready.
        ready_s = task.step.ready_s
        waited_s = 0.0 if ready_s is None else now_s - ready_s
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

    def _wait(
        self,
        chooser: _choice.Chooser,
        queue: cell.Queue,
        step: _state.StepProgress,
        missing: int,
    ) -> None:
        """Hold room for tasks that wait, and have tickets when it comes."""
        advice = self._context.advice
        chooser.blocked += 1
        places = chooser.hold(
            step.step,
            missing,
            lambda worker_id: (
                queue.advice is None
                or bool(advice.permits(step.key, worker_id))
            ),
        )
        self._questions.ask(chooser, queue, step, missing, places)
        cause = _delay.find(chooser, advice, queue, step, places)
        _delay.tell(step, queue, cause, missing)


def _run_name(task: _state.TaskProgress, attempt: int) -> ports.RunName:
    return ports.RunName(task.name, attempt)
