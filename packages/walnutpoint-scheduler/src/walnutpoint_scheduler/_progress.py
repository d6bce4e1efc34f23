"""Derives worker pace from the task progress in reports."""

from __future__ import annotations

import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _run_rate
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import ports
from walnutpoint_scheduler import worker_pace

__all__ = (
    'depends_on_worker',
    'is_restored',
    'observe',
)

_LOG: typing.Final = logs.get_logger('links')
_MS_PER_S: typing.Final = 1000.0
_FULL_PERCENT: typing.Final = 100.0
# A resumed task makes no progress while it reads its checkpoint, and shows up
# to one report late. Counted, each preempted run would make its next worker
# look slow.
_RESUME_S: typing.Final = 1.2


def observe(
    context: _context.Context,
    worker: _worker.WorkerState,
    report: ports.Report,
) -> None:
    """Update a worker's pace from its tasks' progress since a report.

    Uses the worker's clock, as a busy scheduler reads reports late.
    """
    relative_paces = []
    paces_here: list[float] = []
    now_s = context.timer.now_s()
    slowdown = context.pace.expected_slowdown(worker.worker_id)
    for reported in report.running:
        run = worker.runs.get(reported.run)
        if run is None or run.task is None:
            continue
        # Without a declared time any progress would look infinitely slow.
        is_declared = run.task.step.step.estimate_ms > 0
        if not (
            is_declared and depends_on_worker(run) and is_restored(run, now_s)
        ):
            run.pace_sample = None
            continue
        before, run.pace_sample = (
            run.pace_sample,
            (report.clock_ms, reported.progress_percent, now_s),
        )
        if before is None:
            continue
        since_ms, percent, since_s = before
        span_s = (report.clock_ms - since_ms) / _MS_PER_S
        if _run_rate.has_clock_stepped(span_s, now_s - since_s):
            continue
        if not context.pace.is_long_enough(span_s):
            run.pace_sample = before
            continue
        step = run.task.step
        expected_s = step.step.estimate_ms / _MS_PER_S
        done_s = (
            (reported.progress_percent - percent) / _FULL_PERCENT * expected_s
        )
        job_id = reported.run.task.job_id
        is_observed = run.expected_s is not None
        relative = context.pace.observe(
            job_id,
            step.key,
            done_s / span_s * slowdown,
            reported.run if is_observed else None,
        )
        if is_observed:
            pace = _pace_here(run, relative, done_s / span_s)
            context.pace.note(worker.worker_id, run.name, pace, now_s)
            paces_here.append(pace)
        relative_paces.append(relative)
    was_slow = context.pace.is_slow(worker.worker_id, now_s)
    if context.pace.large_share is None:
        context.pace.update(worker.worker_id, relative_paces, now_s)
    else:
        share = context.pace.large_share(worker.listed.pool)
        context.pace.update_likely(worker.worker_id, paces_here, share, now_s)
    is_slow = context.pace.is_slow(worker.worker_id, now_s)
    if is_slow == was_slow:
        return
    fields = {
        'worker': worker.worker_id,
        'paces': ','.join(
            f'{relative.pace:.2f}' for relative in relative_paces
        ),
        'jobs': len({relative.job for relative in relative_paces}),
        'slowdown': round(slowdown, 2),
        'token': context.token,
    }
    if is_slow:
        _LOG.info('worker.slow', **fields)
    else:
        _LOG.info('worker.as_usual', **fields)


def _pace_here(
    run: _run.Run, relative: worker_pace.RelativePace, declared_pace: float
) -> float:
    """Return a run's pace relative to its step, or else to expectation."""
    task = typing.cast(_state.TaskProgress, run.task)
    declared_s = task.step.step.expected_s
    if relative.has_peers or declared_s <= 0.0:
        return relative.pace
    return declared_pace * (run.expected_s or declared_s) / declared_s


def depends_on_worker(run: _run.Run) -> bool:
    """Return whether a run's progress depends on its worker alone."""
    task = typing.cast(_state.TaskProgress, run.task)
    step = task.step.step
    if step.lasting or step.fills or run.pace_percent < _FULL_PERCENT:
        return False
    if run.phase is not _run.RunPhase.RUNNING:
        return False
    # Not all members of a gang may have started yet.
    return not step.gang or run.progress_percent > 0.0


def is_restored(run: _run.Run, now_s: float) -> bool:
    """Return whether a run has read any checkpoint that it resumes from."""
    task = typing.cast(_state.TaskProgress, run.task)
    age_s = 0.0 if run.started_s is None else now_s - run.started_s
    return age_s > _RESUME_S or not task.checkpoint
