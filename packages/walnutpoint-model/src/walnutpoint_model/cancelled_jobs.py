"""Jobs that their callers cancel at once, and a check that they stop."""

from __future__ import annotations

import itertools
import math
import random
import typing

import anyio

from walnutpoint_model import cell_model
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports

__all__ = (
    'CancelledJobs',
    'is_cancelled_job',
    'run_time_s',
)

# Jobs with at least this ID are cancelled.
_FIRST_ID: typing.Final = 0xD0000000
_JOB_INTERVAL_S: typing.Final = 0.1
# The deadline of a caller's call, and the calls after which it gives up.
_CALL_TIMEOUT_S: typing.Final = 3.0
_CALLS_MAX: typing.Final = 5
# How long after its acknowledgement, or after the last fault, a cancel may
# take effect: the platform's bounds on cancels and stops.
_CANCEL_S: typing.Final = 3.0
_STOP_S: typing.Final = 0.4
_CHECK_INTERVAL_S: typing.Final = 0.1
_RUN_TIME_S: typing.Final = 2.0
_MILLICORES: typing.Final = 20
_MEMORY_MB: typing.Final = 10
_LASTING: typing.Final = document.Step(
    1, _MILLICORES, _MEMORY_MB, lasting=True
)
_FIRST: typing.Final = document.Step(
    1, _MILLICORES, _MEMORY_MB, estimate_ms=2000
)
_SECOND: typing.Final = document.Step(
    1, _MILLICORES, _MEMORY_MB, estimate_ms=2000, after=(0,)
)


def is_cancelled_job(job_id: str) -> bool:
    """Return whether a job is one that its caller cancels."""
    return int(job_id, 16) >= _FIRST_ID


def run_time_s(task: ports.TaskName) -> float:
    """Return how long a task of such a job runs unless it is stopped."""
    return math.inf if _is_lasting(task.job_id) else _RUN_TIME_S


def _is_lasting(job_id: str) -> bool:
    return bool(int(job_id, 16) % 2)


class CancelledJobs:
    """Submits jobs and cancels each as soon as it is accepted."""

    __slots__ = (
        '_cancelled_s',
        '_model',
        '_queue',
        '_random',
        '_violations',
        'calm_since_s',
    )

    def __init__(
        self,
        model: cell_model.CellModel,
        rng: random.Random,
        queue: cell.Queue,
    ) -> None:
        self._model = model
        self._random = rng
        self._queue = queue
        # When each cancel was acknowledged.
        self._cancelled_s: dict[str, float] = {}
        # When the last fault ended; infinite during one.
        self.calm_since_s = 0.0
        # A dictionary, so that each is reported once and in order.
        self._violations: dict[str, None] = {}
        model.fleet.ledger.add_start_listener(self._check_start)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Submit and cancel jobs, and check those that run."""
        tasks.start_soon(self._check_running)
        for number in itertools.count():
            tasks.start_soon(self._submit, f'{_FIRST_ID + number:016x}')
            await anyio.sleep(_JOB_INTERVAL_S)

    def lasting_job_ids(self) -> set[str]:
        """Return the jobs that must be cancelled now and can't be done."""
        due_s = self._model.timer.now_s() - _CANCEL_S
        return {
            job_id
            for job_id, cancelled_s in self._cancelled_s.items()
            if _is_lasting(job_id) and cancelled_s < due_s
        }

    def violations(self) -> list[str]:
        """Return the tasks that started or ran on after their cancel."""
        return list(self._violations)

    async def _submit(self, job_id: str) -> None:
        steps = (_LASTING,) if _is_lasting(job_id) else (_FIRST, _SECOND)
        job = document.Job(
            job_id,
            self._queue.name,
            'payload',
            steps,
            self._model.now_ms(),
            accepted_by=self._queue,
        )
        host = self._random_host()
        if host is None:
            return
        submissions = host.process.submissions
        reply = await host.call(
            lambda: submissions.submit(job, self._deadline_s())
        )
        if reply is not None and reply.is_ok():
            await self._cancel(job_id)

    async def _cancel(self, job_id: str) -> None:
        for _ in range(_CALLS_MAX):
            host = self._random_host()
            if host is None:
                return
            submissions = host.process.submissions
            reply = await host.call(
                lambda calls=submissions: calls.cancel(
                    job_id, '', self._deadline_s()
                )
            )
            if reply is not None and reply.is_ok():
                self._cancelled_s[job_id] = self._model.timer.now_s()
                if not reply.ok:
                    self._violations[f'{job_id} is unknown to its cancel'] = (
                        None
                    )
                return

    def _random_host(self) -> cell_model.ModelProcess | None:
        names = sorted(self._model.processes)
        if not names:
            return None
        return self._model.processes[self._random.choice(names)]

    def _deadline_s(self) -> float:
        return self._model.timer.now_s() + _CALL_TIMEOUT_S

    def _overdue_s(self, task: ports.TaskName) -> float:
        """Return for how long a task's cancel is known, without faults."""
        cancelled_s = self._cancelled_s.get(task.job_id, math.inf)
        since_s = max(cancelled_s, self.calm_since_s)
        return self._model.timer.now_s() - since_s

    def _check_start(self, task: ports.TaskName, worker: str) -> None:
        if self._overdue_s(task) > _CANCEL_S:
            self._violations[f'{task} starts on {worker} after its cancel'] = (
                None
            )

    async def _check_running(self) -> None:
        while True:
            for task in self._model.fleet.ledger.running:
                if self._overdue_s(task) > _CANCEL_S + _STOP_S:
                    self._violations[f'{task} runs on after its cancel'] = None
            await anyio.sleep(_CHECK_INTERVAL_S)
