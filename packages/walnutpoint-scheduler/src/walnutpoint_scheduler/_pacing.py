"""Throttles filling tasks that slow down serving tasks."""

from __future__ import annotations

import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import ports

__all__ = (
    'Pacer',
    'next_percent',
)

_LOG: typing.Final = logs.get_logger('pacing')
# Filling tasks slow down from this share of a latency target on: a reading
# covers 0.5 s, and load changes within seconds.
_SLOW_DOWN_SHARE: typing.Final = 0.85
_SPEED_UP_SHARE: typing.Final = 0.6
# A quarter per reading stops filling tasks within three readings (1.5 s); a
# missed target counts after 4 s.
_DECREASE_FACTOR: typing.Final = 0.25
_STOP_BELOW_PERCENT: typing.Final = 10
_INCREASE_PERCENT: typing.Final = 15
# One reading; a shorter interval would react twice to the same one.
_REACTION_S: typing.Final = 0.5
_FULL_PERCENT: typing.Final = 100


class Pacer:
    """Slows filling tasks at once and speeds them up in small steps.

    An order without an answer may have been carried out. It is repeated at
    the next check even if the pace need not change: otherwise a task that
    seems to run at full pace may in fact be stopped for good.
    """

    __slots__ = ('_changed_s', '_context')

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._changed_s: dict[str, float] = {}

    def check(self, worker: _worker.WorkerState, now_s: float) -> None:
        """Adjust the pace on a worker to the tail latencies there."""
        filling = [
            run
            for run in worker.runs.values()
            if run.fills and run.phase is _run.RunPhase.RUNNING
        ]
        if not filling:
            return
        if now_s - self._changed_s.get(worker.worker_id, 0.0) < _REACTION_S:
            return
        worst_share = max(
            (_target_share(run) for run in worker.serving_runs()), default=0.0
        )
        for run in filling:
            percent = next_percent(run.pace_percent, worst_share)
            if percent != run.pace_percent or run.is_pace_uncertain:
                self._changed_s[worker.worker_id] = now_s
                self._set_pace(worker, run, percent, worst_share)

    def _set_pace(
        self,
        worker: _worker.WorkerState,
        run: _run.Run,
        percent: int,
        worst_share: float,
    ) -> None:
        _LOG.info(
            'run.paced',
            run=_ends.run_text(run.name),
            worker=worker.worker_id,
            percent=percent,
            was=run.pace_percent,
            target_share=round(worst_share, 2),
        )
        run.pace_percent = percent
        run.is_pace_uncertain = True
        run.progress_changed_s = self._context.timer.now_s()
        self._context.spawn(self._send, worker, run, percent)

    async def _send(
        self, worker: _worker.WorkerState, run: _run.Run, percent: int
    ) -> None:
        context = self._context
        reply = await context.orders.pace(
            worker.listed,
            run.name,
            percent,
            worker.fencing_token(context.token),
        )
        if worker.gone:
            return
        if reply.outcome is ports.OrderOutcome.FENCED:
            context.on_deposed(
                f'worker {worker.worker_id} knows a newer token'
            )
        elif reply.outcome is ports.OrderOutcome.DONE:
            # In doubt while a later order is in flight.
            run.is_pace_uncertain = run.pace_percent != percent


def _target_share(run: _run.Run) -> float:
    """Return a serving task's tail latency as a share of its target."""
    task = run.task
    if task is None or run.progress_percent < _FULL_PERCENT:
        return 0.0
    return run.load / task.step.step.latency_target_ms


def next_percent(percent: int, worst_share: float) -> int:
    """Return the next pace, given the worst share of a target."""
    if worst_share >= _SLOW_DOWN_SHARE:
        slower = int(percent * _DECREASE_FACTOR)
        return slower if slower >= _STOP_BELOW_PERCENT else 0
    if worst_share < _SPEED_UP_SHARE:
        return min(_FULL_PERCENT, percent + _INCREASE_PERCENT)
    return percent
