"""Feeds the run time estimates from the reports of workers."""

from __future__ import annotations

import typing

from walnutpoint_core import metrics
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _progress
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import ports

__all__ = (
    'observe',
    'observe_end',
)

_MS_PER_S: typing.Final = 1000.0
_RUN_TIME_RATIO: typing.Final = metrics.Ratio(
    'run_time', 'Run time over the expected one, by priority of the queue.'
)
# A run that ended within a longer gap between reports may have ended long
# before the second.
_GAP_MAX_MS: typing.Final = 900


def observe(
    context: _context.Context,
    worker: _worker.WorkerState,
    report: ports.Report,
) -> None:
    """Update the rates of a worker's runs, and count those now known."""
    if context.observed is None:
        return
    now_s = context.timer.now_s()
    for reported in report.running:
        run = worker.runs.get(reported.run)
        if run is None or run.task is None:
            continue
        if run.expected_s is None and not run.task.step.step.lasting:
            run.expected_s = context.expected_s(run.task.step, worker)
        is_fresh = run.rate.started_clock_ms is not None
        if not _progress.depends_on_worker(run) or not (
            is_fresh or _progress.is_restored(run, now_s)
        ):
            run.rate.reset()
            continue
        run.rate.update(report.clock_ms, reported.progress_percent, now_s)
        predicted_s = run.rate.predicted_s
        if predicted_s is not None:
            _count(context, worker, run, predicted_s)
    context.observed.refresh(now_s)


def observe_end(
    context: _context.Context,
    worker: _worker.WorkerState,
    run: _run.Run,
    end: ports.End,
    report: ports.Report,
) -> None:
    """Count a run that a worker reports as done."""
    if context.observed is None or run.task is None:
        return
    rate = run.rate
    if end.kind is not ports.EndKind.DONE or rate.started_clock_ms is None:
        return
    seen_ms = typing.cast(int, rate.seen_clock_ms)
    if report.clock_ms - seen_ms > _GAP_MAX_MS:
        return
    if rate.has_clock_stepped(report.clock_ms, context.timer.now_s()):
        return
    if not _progress.depends_on_worker(run):
        return
    run_s = (report.clock_ms - rate.started_clock_ms) / _MS_PER_S
    if run.expected_s:
        priority = context.queue_of(run.task.step.job).priority
        _RUN_TIME_RATIO.observe(str(priority), run_s / run.expected_s)
    _count(context, worker, run, run_s)


def _count(
    context: _context.Context,
    worker: _worker.WorkerState,
    run: _run.Run,
    run_s: float,
) -> None:
    """Count a run's time once as evidence of its worker and its step.

    The members of a gang wait for each other. A run that resumed, or that an
    earlier term started, has no known start and is left out.
    """
    task = typing.cast(_state.TaskProgress, run.task)
    step = task.step
    if run.rate.is_counted or step.step.gang:
        return
    if context.observed is None:
        return
    run.rate.is_counted = True
    now_s = context.timer.now_s()
    context.observed.observe(
        worker.listed,
        context.queue_of(step.job).name,
        step.key,
        step.step.expected_s,
        run_s,
        now_s,
        is_slow=context.pace.is_slow(worker.worker_id, now_s),
    )
