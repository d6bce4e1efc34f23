"""Estimates the remaining time of runs and steps."""

from __future__ import annotations

import typing

from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import estimates

__all__ = (
    'expected_s',
    'run_s',
    'step_s',
)

_MS_PER_S: typing.Final = 1000.0
_FULL_PERCENT: typing.Final = 100.0
# From here on progress predicts the end better than the declared estimate,
# which is off by half.
_RELIABLE_PERCENT: typing.Final = 5.0


def expected_s(run: _run.Run, task: _state.TaskProgress) -> float:
    """Return the expected run time of a run on its worker."""
    if run.expected_s is not None:
        return run.expected_s
    return task.step.step.estimate_ms / _MS_PER_S


def run_s(run: _run.Run, task: _state.TaskProgress, now_s: float) -> float:
    """Return the estimated remaining time of a run."""
    estimate_s = expected_s(run, task)
    if run.started_s is None:
        return estimate_s
    observed_s = run.rate.remaining_s(now_s)
    if observed_s is not None:
        return observed_s
    elapsed_s = now_s - run.started_s
    if run.progress_percent < _RELIABLE_PERCENT:
        return max(estimate_s - elapsed_s, 0.0)
    return (
        elapsed_s
        * (_FULL_PERCENT - run.progress_percent)
        / run.progress_percent
    )


def step_s(
    step: _state.StepProgress, now_s: float, run_times: estimates.RunTimes
) -> float:
    """Return the estimated remaining time of a step."""
    if step.done:
        return 0.0
    remaining_s = 0.0
    for task in step.tasks:
        if task.state is _state.TaskState.DONE:
            continue
        if task.run is None or step.step.lasting:
            queue = step.job.document.queue
            task_s = run_times.task_s(queue, step.key, step.step)
            remaining_s = max(remaining_s, task_s)
        else:
            remaining_s = max(remaining_s, run_s(task.run, task, now_s))
    return remaining_s
