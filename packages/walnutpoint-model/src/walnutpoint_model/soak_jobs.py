"""The jobs of a soak: their run times and the states that they must reach."""

from __future__ import annotations

import math
import typing

from walnutpoint_model import cancelled_jobs
from walnutpoint_model import promised_jobs
from walnutpoint_model import uneven_speeds
from walnutpoint_model import unusual_jobs
from walnutpoint_model import worker_faults
from walnutpoint_model import workers
from walnutpoint_scheduler import ports

__all__ = (
    'LASTING_ID',
    'WIDE_ID',
    'expected_state',
    'run_time_of',
)

LASTING_ID: typing.Final = f'{0xB0000000:016x}'
# A job with a task on each worker.
WIDE_ID: typing.Final = f'{0xB0000001:016x}'
_TASK_RUN_TIME_S: typing.Final = 0.5
_LARGE_FACTOR: typing.Final = 7.0


def expected_state(job_id: str) -> str:
    """Return the state that an accepted job must have at the end."""
    if job_id == LASTING_ID:
        return 'running'
    if cancelled_jobs.is_cancelled_job(job_id):
        return 'cancelled'
    return 'failed' if worker_faults.is_crashing_job(job_id) else 'done'


def run_time_of(draw: int) -> workers.RunTime:
    """Return the run times of the tasks of a draw."""
    if draw > 6:
        return _promised_run_time_s
    return _uneven_run_time_s if draw > 4 else _run_time_s


def _run_time_s(task: ports.TaskName) -> float:
    return math.inf if task.job_id == LASTING_ID else _TASK_RUN_TIME_S


def _uneven_run_time_s(task: ports.TaskName) -> float:
    if cancelled_jobs.is_cancelled_job(task.job_id):
        return cancelled_jobs.run_time_s(task)
    run_time_s = _run_time_s(task)
    if task.job_id != WIDE_ID and uneven_speeds.is_large(task):
        return run_time_s * _LARGE_FACTOR
    return run_time_s


def _promised_run_time_s(task: ports.TaskName) -> float:
    if unusual_jobs.is_unusual_job(task.job_id):
        return unusual_jobs.run_time_s(task)
    if promised_jobs.is_promised_job(task.job_id):
        return promised_jobs.run_time_s(task)
    return _uneven_run_time_s(task)
