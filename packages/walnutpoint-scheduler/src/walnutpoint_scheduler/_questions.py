"""When to ask for advice, and about whom."""

from __future__ import annotations

import typing

from walnutpoint_scheduler import _choice
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _inquiry
from walnutpoint_scheduler import _roster
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import cell

__all__ = ('Questions',)

# Waiting steps that renew their tickets before there is room for them.
_REFRESH_STEPS_MAX: typing.Final = 10

# Two questions about the least number of workers, some 0.7 s each in the
# slowest queue: a step that still waits then has too few granted workers.
_STARVED_S: typing.Final = 1.5


class Questions:
    """Asks for the tickets that steps wait for, or will wait for."""

    __slots__ = ('_context', '_refreshed')

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        # Steps without room that renewed their tickets in this pass.
        self._refreshed = 0

    def begin(self) -> None:
        """Begin a pass."""
        self._refreshed = 0

    def ask(
        self,
        chooser: _choice.Chooser,
        queue: cell.Queue,
        step: _state.StepProgress,
        missing: int,
    ) -> None:
        """Ask where a ticket is what some tasks of a step wait for."""
        if queue.advice is None:
            return
        advice = self._context.advice
        able = chooser.able(step.step)
        granted = [w for w in able if advice.permits(step.key, w.worker_id)]

        def room(worker: _roster.WorkerState) -> int:
            return chooser.room_for(worker, step.step, step.key)

        granted_room = sum(room(worker) for worker in granted)
        if self.is_starved(step):
            granted_room = 0
        names: list[str] = []
        if granted_room < missing:
            unknown = [
                w
                for w in able
                if advice.permits(step.key, w.worker_id) is None
                # Where granted ones are full, others help with room only.
                and (not granted or room(w))
            ]
            names = _inquiry.choose(
                unknown,
                room,
                missing - granted_room,
                advice.granted_share(queue.advice),
            )
        if not advice.has_valid(step.key):
            if not names:
                if self._refreshed >= _REFRESH_STEPS_MAX:
                    return
                self._refreshed += 1
            names += _inquiry.choose(granted, room, missing, 1.0)
        if names:
            advice.ask(step.key, names, queue.advice)

    def is_starved(self, step: _state.StepProgress) -> bool:
        """Return whether a step waits in spite of the room that is counted.

        What counts as room here may be none for it: a gang needs all of its
        members' at once, and on sound workers. Others are then asked about,
        until every worker with room is known.
        """
        now_s = self._context.timer.now_s()
        return step.ready_s is not None and now_s - step.ready_s > _STARVED_S

    def ask_ahead(
        self, step: _state.StepProgress, terms: cell.AdviceTerms
    ) -> None:
        """Ask for a step that may start soon."""
        advice = self._context.advice
        pool = self._context.queue_of(step.job).pool
        label = step.step.required_label
        able = [
            worker
            for worker in self._context.roster.in_pool(pool)
            if worker.open_for_starts
            and advice.permits(step.key, worker.worker_id) is not False
            and worker.listed.capacity.covers(step.step.need)
            and (not label or label in worker.listed.labels)
        ]
        names = _inquiry.choose(
            able,
            lambda worker: _inquiry.fit(worker.free, step.step),
            step.step.task_count,
            advice.granted_share(terms),
        )
        advice.ask(step.key, names, terms)
