"""Jobs that fail, and that callers cancel at every age, with their judge."""

from __future__ import annotations

import itertools
import math
import random
import typing

import anyio

from walnutpoint_model import cell_model
from walnutpoint_model import gang_runs
from walnutpoint_model import promises
from walnutpoint_model import run_recorder
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports

__all__ = (
    'PromisedJobs',
    'is_promised_job',
    'run_time_s',
)

# The range of these jobs' identifiers.
_FIRST_ID: typing.Final = 0xA0000000
_IDS_MAX: typing.Final = 0x10000000
_JOB_INTERVAL_S: typing.Final = 0.15
_POLL_INTERVAL_S: typing.Final = 0.1
_POLLED_JOBS: typing.Final = 4
# The deadline of a caller's call, and the calls after which it gives up.
_CALL_TIMEOUT_S: typing.Final = 3.0
_CALLS_MAX: typing.Final = 5
_RUN_TIME_S: typing.Final = 0.5
# A second step starts later than the bound of a cancel that is missed.
_LONG_RUN_TIME_S: typing.Final = 4.0
_MILLICORES: typing.Final = 1000
_MEMORY_MB: typing.Final = 100
# How many of a job's first attempts fail; the last stands for all.
_FAILED_ATTEMPTS: typing.Final = (0, 1, 2, 2, 0, 100)
_REPEATED_SHARE: typing.Final = 0.3
# From the submission to the cancel: before the job is stored, at once, while
# it runs, between two steps; None for jobs that are not cancelled.
_CANCEL_AGES_S: typing.Final[tuple[tuple[float, float] | None, ...]] = (
    (0.0, 0.02),
    (0.0, 0.5),
    (0.02, 3.0),
    (_RUN_TIME_S, _RUN_TIME_S + 0.2),
    (_LONG_RUN_TIME_S, _LONG_RUN_TIME_S + 0.2),
    None,
    None,
)
_KINDS: typing.Final = 6
_GANG: typing.Final = 1
_LASTING: typing.Final = 3
_WIDE: typing.Final = 5


def is_promised_job(job_id: str) -> bool:
    """Return whether a job is one of these."""
    return 0 <= int(job_id, 16) - _FIRST_ID < _IDS_MAX


def run_time_s(task: ports.TaskName) -> float:
    """Return how long a task of such a job runs unless it is stopped."""
    kind = _kind(task.job_id)
    if kind == _LASTING:
        return math.inf
    is_short = task.step or kind in (_GANG, _WIDE)
    return _RUN_TIME_S if is_short else _LONG_RUN_TIME_S


def _kind(job_id: str) -> int:
    return (int(job_id, 16) - _FIRST_ID) % _KINDS


def _is_gang(task: ports.TaskName) -> bool:
    is_first = is_promised_job(task.job_id) and not task.step
    return is_first and _kind(task.job_id) == _GANG


def _fails(run: ports.RunName) -> bool:
    """Return whether a run fails: members of a gang alike."""
    task = run.task
    if not is_promised_job(task.job_id) or task.step:
        return False
    if task.ordinal and not _is_gang(task):
        return False
    number = (int(task.job_id, 16) - _FIRST_ID) // _KINDS
    return run.attempt <= _FAILED_ATTEMPTS[number % len(_FAILED_ATTEMPTS)]


def _steps(job_id: str) -> tuple[document.Step, ...]:
    kind = _kind(job_id)
    count = 3 if kind in (_GANG, _WIDE) else 1
    if kind == _LASTING:
        return (document.Step(1, _MILLICORES, _MEMORY_MB, lasting=True),)
    return (
        document.Step(
            count, _MILLICORES, _MEMORY_MB, estimate_ms=500, gang=kind == _GANG
        ),
        document.Step(1, _MILLICORES, _MEMORY_MB, estimate_ms=500, after=(0,)),
    )


class PromisedJobs:
    """Submits and cancels jobs, and records what callers see."""

    __slots__ = (
        '_events',
        '_job_ids',
        '_model',
        '_queue',
        '_random',
        '_recorder',
        'is_stopped',
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
        self._events: list[promises.Event] = []
        self._job_ids: list[str] = []
        # Whether no more jobs are submitted.
        self.is_stopped = False
        self._recorder = run_recorder.RunRecorder(model.timer.now_s)
        model.fleet.fails_run = _fails
        model.fleet.ledger.observers += (
            self._recorder,
            gang_runs.GangRuns(model.fleet, _is_gang, rng),
        )

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Submit, cancel and look at jobs until stopped."""
        tasks.start_soon(self._poll)
        for number in itertools.count():
            if self.is_stopped:
                return
            job_id = f'{_FIRST_ID + number:016x}'
            self._job_ids.append(job_id)
            tasks.start_soon(self._use, job_id)
            await anyio.sleep(_JOB_INTERVAL_S)

    def note_submission(self, job_id: str) -> None:
        """Record that a job is sent."""
        gang_steps = (0,) if is_promised_job(job_id) else ()
        if gang_steps and _kind(job_id) != _GANG:
            gang_steps = ()
        self._events.append(
            promises.Submitted(
                self._now_s(), job_id, self._queue.attempts_max, gang_steps
            )
        )

    def note_state(self, job_id: str, state: str) -> None:
        """Record the state that a caller is shown."""
        self._events.append(promises.Shown(self._now_s(), job_id, state))

    def note_disturbance(self, since_s: float) -> None:
        """Record a disturbance that ends now."""
        self._events.append(promises.Disturbance(since_s, self._now_s()))

    def violations(self) -> list[str]:
        """Return the broken promises."""
        events = self._events + self._recorder.events
        return [str(breach) for breach in promises.judge(events)]

    async def _use(self, job_id: str) -> None:
        """Submit a job, and cancel it at its age."""
        ages_s = self._random.choice(_CANCEL_AGES_S)
        if ages_s is None and _kind(job_id) == _LASTING:
            ages_s = _CANCEL_AGES_S[0]
        is_repeated = self._random.random() < _REPEATED_SHARE
        self.note_submission(job_id)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._submit, job_id)
            if ages_s is not None:
                await anyio.sleep(self._random.uniform(*ages_s))
                await self._cancel(job_id)
                if is_repeated:
                    tasks.start_soon(self._submit, job_id)

    async def _submit(self, job_id: str) -> None:
        job = document.Job(
            job_id,
            self._queue.name,
            'payload',
            _steps(job_id),
            self._model.now_ms(),
            accepted_by=self._queue,
        )
        host = self._random_host()
        if host is not None:
            await host.call(
                lambda: host.process.submissions.submit(
                    job, self._deadline_s()
                )
            )

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
                self._events.append(
                    promises.CancelAcknowledged(self._now_s(), job_id)
                )
                return

    async def _poll(self) -> None:
        while True:
            await anyio.sleep(_POLL_INTERVAL_S)
            count = min(_POLLED_JOBS, len(self._job_ids))
            for job_id in self._random.sample(self._job_ids, count):
                await self._show(job_id)

    async def _show(self, job_id: str) -> None:
        host = self._random_host()
        if host is None:
            return
        answer = await host.call(
            lambda: host.process.job_status.state(job_id, '')
        )
        if answer is not None and answer.is_ok() and answer.ok is not None:
            self.note_state(job_id, answer.ok.state)

    def _random_host(self) -> cell_model.ModelProcess | None:
        names = sorted(self._model.processes)
        if not names:
            return None
        return self._model.processes[self._random.choice(names)]

    def _deadline_s(self) -> float:
        return self._now_s() + _CALL_TIMEOUT_S

    def _now_s(self) -> float:
        return self._model.timer.now_s()
