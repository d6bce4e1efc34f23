"""Jobs of shapes that few callers submit, and the number that is pending.

Jobs with many due occurrences, gangs that need nothing, and jobs whose tasks
all end at once on one worker, more than one report lists.
"""

from __future__ import annotations

import itertools
import math
import random
import typing

import anyio

from walnutpoint_core import resources
from walnutpoint_model import cell_model
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports

__all__ = (
    'UnusualJobs',
    'is_unusual_job',
    'need_of',
    'run_time_s',
)

# The range of these jobs' identifiers.
_FIRST_ID: typing.Final = 0x90000000
_IDS_MAX: typing.Final = 0x10000000
_JOB_INTERVAL_S: typing.Final = 0.5
# For how long jobs are submitted to workers that take no starts.
_SUBMITS_FOR_S: typing.Final = 1.6
_POLL_INTERVAL_S: typing.Final = 0.2
_CALL_TIMEOUT_S: typing.Final = 3.0
_MS_PER_S: typing.Final = 1000
_KINDS: typing.Final = 4
_RECURRING: typing.Final = 0
_GANG: typing.Final = 1
_MANY_TASKS: typing.Final = 2
_OCCURRENCES: typing.Final = 300
_TASKS: typing.Final = 560
_NOTHING: typing.Final = resources.Resources()
_SMALL: typing.Final = resources.Resources(10, 1)
_TASK_TIME_S: typing.Final = 0.3
_MANY_TASKS_TIME_S: typing.Final = 2.0
# When a job that has not begun must be among the pending ones, by the
# platform's bounds, and for how long hosts and store must have been well.
_COUNTED_AGE_S: typing.Final = 5.0
_CALM_S: typing.Final = 6.0


def is_unusual_job(job_id: str) -> bool:
    """Return whether a job is one of these."""
    return 0 <= int(job_id, 16) - _FIRST_ID < _IDS_MAX


def run_time_s(task: ports.TaskName) -> float:
    """Return how long a task of such a job runs."""
    is_wide = _kind(task.job_id) == _MANY_TASKS
    return _MANY_TASKS_TIME_S if is_wide else _TASK_TIME_S


def need_of(task: ports.TaskName) -> resources.Resources:
    """Return what a task of such a job books on its worker."""
    return _NOTHING if _kind(task.job_id) == _GANG else _SMALL


def _kind(job_id: str) -> int:
    return (int(job_id, 16) - _FIRST_ID) % _KINDS


def _small_step(
    count: int, estimate_ms: int, label: str = ''
) -> document.Step:
    return document.Step(
        count,
        _SMALL.cpu_millicores,
        _SMALL.memory_mb,
        estimate_ms=estimate_ms,
        required_label=label,
    )


class UnusualJobs:
    """Submits such jobs, and compares the number of pending jobs."""

    __slots__ = (
        '_accepted_s',
        '_label',
        '_model',
        '_queue',
        '_random',
        '_violations',
        'calm_since_s',
        'is_stopped',
        'starts_fail_since_s',
    )

    def __init__(
        self,
        model: cell_model.CellModel,
        rng: random.Random,
        queue: cell.Queue,
        label: str,
    ) -> None:
        """Create the jobs; label names the worker for those of one worker."""
        self._model = model
        self._random = rng
        self._queue = queue
        self._label = label
        self._accepted_s: dict[str, float] = {}
        self._violations: list[str] = []
        # Since when hosts and store are well; infinite during a fault.
        self.calm_since_s = model.timer.now_s()
        self.is_stopped = False
        # Since when workers take no starts; infinite while they do.
        self.starts_fail_since_s = math.inf

    @property
    def accepted_ids(self) -> set[str]:
        """Return the accepted jobs."""
        return set(self._accepted_s)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Submit jobs until stopped."""
        tasks.start_soon(self._poll)
        for number in itertools.count():
            if self.is_stopped:
                return
            # Later jobs would hide a number of pending ones that is too low.
            while self._failed_for_s() > _SUBMITS_FOR_S:
                await anyio.sleep(_JOB_INTERVAL_S)
            tasks.start_soon(self._submit, f'{_FIRST_ID + number:016x}')
            await anyio.sleep(_JOB_INTERVAL_S)

    def _failed_for_s(self) -> float:
        return self._model.timer.now_s() - self.starts_fail_since_s

    def violations(self) -> list[str]:
        """Return the numbers of pending jobs that were too low."""
        return self._violations

    async def _submit(self, job_id: str) -> None:
        host = self._random_host()
        if host is None:
            return
        job = self._job(job_id)
        deadline_s = self._model.timer.now_s() + _CALL_TIMEOUT_S
        reply = await host.call(
            lambda: host.process.submissions.submit(job, deadline_s)
        )
        if reply is not None and reply.is_ok():
            self._accepted_s[job_id] = self._model.timer.now_s()

    def _job(self, job_id: str) -> document.Job:
        kind = _kind(job_id)
        fields: dict[str, int] = {}
        now_ms = self._model.now_ms()
        if kind == _RECURRING:
            step = _small_step(1, 300)
            fields = {
                'occurrence_count': _OCCURRENCES,
                'first_due_ms': now_ms - _OCCURRENCES * _MS_PER_S,
                'interval_ms': _MS_PER_S,
            }
        elif kind == _GANG:
            step = document.Step(4, gang=True, fills=True, estimate_ms=300)
        elif kind == _MANY_TASKS:
            step = _small_step(_TASKS, 2000, self._label)
        else:
            step = _small_step(1, 300, self._label)
        return document.Job(
            job_id,
            self._queue.name,
            'payload',
            (step,),
            now_ms,
            accepted_by=self._queue,
            **fields,
        )

    async def _poll(self) -> None:
        while True:
            await anyio.sleep(_POLL_INTERVAL_S)
            if self.is_stopped:
                continue
            host = self._random_host()
            if host is None:
                continue
            waiting = self._waiting_since(self._model.timer.now_s())
            answer = await host.call(
                lambda process=host.process: process.job_status.pending(
                    self._queue.name
                )
            )
            now_s = self._model.timer.now_s()
            if now_s - self.calm_since_s < _CALM_S:
                continue
            if answer is None or answer.is_error():
                continue
            still_waiting = waiting & self._waiting_since(now_s)
            if answer.ok < len(still_waiting):
                self._violations.append(
                    f'{answer.ok} jobs were given as pending, and '
                    f'{len(still_waiting)} had not begun'
                )

    def _waiting_since(self, now_s: float) -> set[str]:
        """Return the jobs that must count as pending at a time."""
        begun = {task.job_id for task in self._model.fleet.ledger.starts}
        return {
            job_id
            for job_id, accepted_s in self._accepted_s.items()
            if now_s - accepted_s > _COUNTED_AGE_S
            and _kind(job_id) != _RECURRING
            and job_id not in begun
        }

    def _random_host(self) -> cell_model.ModelProcess | None:
        names = sorted(self._model.processes)
        if not names:
            return None
        return self._model.processes[self._random.choice(names)]
