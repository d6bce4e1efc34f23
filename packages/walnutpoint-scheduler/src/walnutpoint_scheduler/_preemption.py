"""Room for urgent tasks, taken from batch that loses nothing by it."""

from __future__ import annotations

import typing

from walnutpoint_core import amount
from walnutpoint_scheduler import _choice
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _inquiry
from walnutpoint_scheduler import _orders
from walnutpoint_scheduler import _remaining
from walnutpoint_scheduler import _roster
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import cell

__all__ = ('Preemption',)

# Room that runs give back by themselves within this time is waited for: a
# stop takes up to 0.4 s, and its end 0.1 s to be seen.
_SOON_S: typing.Final = 0.6
# A run is left alone until it has done this much since its start: it has read
# its state back by then (0.6 s at most) and gone on.
_SETTLED_S: typing.Final = 1.5
# Between two rounds: the stops of one have ended, or are booked as coming.
_ROUND_S: typing.Final = 0.1
# The most runs that one round stops. A burst of urgent jobs takes several
# rounds; a wrong estimate is noticed before it has emptied the cell.
_VICTIMS_MAX: typing.Final = 24


class Preemption:
    """Stops batch runs that save their state where urgent tasks wait.

    A run that saves its state gives it out at a stop, and goes on from there
    elsewhere: it loses its restart, some 0.25 to 0.6 s of an objective of
    15 s, and an urgent task wins the rest of a batch task's time, some 3 s
    of an objective of 1.8 s.
    """

    __slots__ = (
        '_context',
        '_desk',
        '_left',
        '_lowest',
        '_round_s',
        'stopped',
    )

    def __init__(
        self, context: _context.Context, desk: _orders.OrderDesk
    ) -> None:
        self._context = context
        self._desk = desk
        self._round_s = 0.0
        # How many more runs this round may stop.
        self._left = 0
        # The number of the least urgent priority that any queue has.
        self._lowest = 0
        self.stopped = 0

    def begin(self) -> None:
        """Begin a pass, and a round where one is due."""
        now_s = self._context.timer.now_s()
        self._left = 0
        if now_s - self._round_s >= _ROUND_S:
            self._left = _VICTIMS_MAX
            queues = self._context.cell.queues
            self._lowest = max((q.priority for q in queues), default=0)

    def make_room(
        self,
        chooser: _choice.Chooser,
        queue: cell.Queue,
        step: _state.StepProgress,
        missing: int,
    ) -> None:
        """Stop what stands in the way of some tasks, if it may."""
        if not self._left or step.step.gang or step.step.fills:
            return
        if queue.priority >= self._lowest:
            return
        permitted = [
            worker
            for worker in chooser.able(step.step)
            if self._permits(queue, step, worker)
        ]
        for worker in permitted:
            if missing <= 0:
                return
            coming = chooser.free(worker) + _leaving(worker)
            missing -= _inquiry.fit(coming, step.step)
        for worker in permitted:
            if missing <= 0 or not self._left:
                return
            if self._clear(chooser, queue, step, worker):
                missing -= 1

    def _permits(
        self,
        queue: cell.Queue,
        step: _state.StepProgress,
        worker: _roster.WorkerState,
    ) -> bool:
        if not self._context.health.may_start(worker.worker_id):
            return False
        if queue.advice is None:
            return True
        advice = self._context.advice
        return advice.ticket(step.key, worker.worker_id) is not None

    def _clear(
        self,
        chooser: _choice.Chooser,
        queue: cell.Queue,
        step: _state.StepProgress,
        worker: _roster.WorkerState,
    ) -> bool:
        """Make room for one task on a worker, or leave it alone."""
        limit = step.step.per_worker_max
        if limit and worker.step_counts[step.key] >= limit:
            return False
        room = chooser.free(worker) + _leaving(worker)
        victims: list[_state.Run] = []
        for run in self._victims(worker, queue.priority):
            if room.covers(step.step.need):
                break
            victims.append(run)
            room += run.need
        if not victims or not room.covers(step.step.need):
            return False
        if len(victims) > self._left:
            return False
        for run in victims:
            self._desk.stop(run, 'makes room for urgent work')
        self._left -= len(victims)
        self.stopped += len(victims)
        self._round_s = self._context.timer.now_s()
        return True

    def _victims(
        self, worker: _roster.WorkerState, priority: int
    ) -> list[_state.Run]:
        """Return the runs that may be stopped, largest first."""
        now_s = self._context.timer.now_s()
        runs = [
            run
            for run in worker.runs.values()
            if run.task is not None
            and self._may_stop(run, run.task, priority, now_s)
        ]
        runs.sort(key=lambda run: run.need.cpu_millicores, reverse=True)
        return runs

    def _may_stop(
        self,
        run: _state.Run,
        task: _state.TaskProgress,
        priority: int,
        now_s: float,
    ) -> bool:
        step = task.step.step
        if not step.checkpoints or step.gang or step.lasting or step.fills:
            return False
        if run.phase is not _state.RunPhase.RUNNING or task.copy is not None:
            return False
        if self._context.queue_of(task.step.job).priority <= priority:
            return False
        if run.started_s is None or now_s - run.started_s < _SETTLED_S:
            return False
        return _remaining.run_s(run, task, now_s) > _SOON_S


def _leaving(worker: _roster.WorkerState) -> amount.Amount:
    """Return the room of what is being stopped on a worker."""
    return sum(
        (
            run.need
            for run in worker.runs.values()
            if run.phase is _state.RunPhase.STOPPING
        ),
        amount.Amount(),
    )
