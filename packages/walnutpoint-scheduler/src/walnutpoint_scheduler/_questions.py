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
        room = sum(_inquiry.fit(chooser.free(w), step.step) for w in granted)
        names: list[str] = []
        if room < missing:
            names = _inquiry.choose(
                self._unknown(chooser, step, able, bool(granted)),
                chooser.free,
                step.step,
                missing - room,
                advice.granted_share(queue.advice),
            )
        if not advice.has_valid(step.key):
            if not names:
                if self._refreshed >= _REFRESH_STEPS_MAX:
                    return
                self._refreshed += 1
            names += _inquiry.choose(
                granted, chooser.free, step.step, missing, 1.0
            )
        if names:
            advice.ask(step.key, names, queue.advice)

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
            lambda worker: worker.free,
            step.step,
            step.step.task_count,
            advice.granted_share(terms),
        )
        advice.ask(step.key, names, terms)

    def _unknown(
        self,
        chooser: _choice.Chooser,
        step: _state.StepProgress,
        able: list[_roster.WorkerState],
        some_granted: bool,
    ) -> list[_roster.WorkerState]:
        """Return the workers to be named for the first time."""
        advice = self._context.advice
        unknown = [
            w for w in able if advice.permits(step.key, w.worker_id) is None
        ]
        if not some_granted:
            return unknown
        # The granted ones are full: others help if they have room now.
        return [w for w in unknown if _inquiry.fit(chooser.free(w), step.step)]
