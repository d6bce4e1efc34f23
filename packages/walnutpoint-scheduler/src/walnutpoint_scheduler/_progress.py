"""How fast the tasks on a worker get on, from its reports."""

from __future__ import annotations

import typing

from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _roster
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import ports

__all__ = ('observe',)

_MS: typing.Final = 1000.0
_WHOLE: typing.Final = 100.0


def observe(
    context: _context.Context,
    worker: _roster.WorkerState,
    report: ports.Report,
) -> None:
    """Judge a worker's pace by what its tasks have done since a report.

    Times are the worker's: a scheduler that is busy reads reports late.
    """
    shares = []
    for row in report.running:
        run = worker.runs.get(row.run)
        if run is None or run.task is None or not _is_telling(run):
            continue
        before, run.sample = run.sample, (report.clock_ms, row.percent)
        if before is None:
            continue
        since_ms, percent = before
        span_s = (report.clock_ms - since_ms) / _MS
        if not context.pace.is_telling(span_s):
            run.sample = before
            continue
        step = run.task.step
        expected_s = step.step.estimate_ms / _MS
        done_s = (row.percent - percent) / _WHOLE * expected_s
        job_id = row.run.task.job_id
        shares.append(context.pace.observe(job_id, step.key, done_s / span_s))
    context.pace.judge(worker.worker_id, shares, context.timer.now_s())


def _is_telling(run: _state.Run) -> bool:
    """Return whether a run's progress depends on its worker alone."""
    task = typing.cast(_state.TaskProgress, run.task)
    step = task.step.step
    if step.lasting or step.fills or run.pace_percent < _WHOLE:
        return False
    if run.phase is not _state.RunPhase.RUNNING:
        return False
    # A gang waits for its members, and a resumed task for its state.
    return not (step.gang and run.percent <= 0.0) and not (
        task.checkpoint and run.percent <= 0.0
    )
