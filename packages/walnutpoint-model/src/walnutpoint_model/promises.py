"""Judges two promises by what clients and workers see on their sockets.

No task of a job starts after its cancel has been acknowledged for longer than
the platform's bound, without a disturbance meanwhile. A job is shown as failed
only if one of its tasks or gangs has used up its attempts, or if one of its
tasks was at work on two workers as they crashed.
"""

from __future__ import annotations

import collections
import collections.abc
import enum
import math
import typing

import msgspec

__all__ = (
    'CANCEL_BOUND_S',
    'Breach',
    'CancelAcknowledged',
    'Disturbance',
    'Event',
    'Judge',
    'Kind',
    'RunFailed',
    'Shown',
    'Started',
    'Submitted',
    'Task',
    'WorkerCrashed',
    'judge',
)

# How long a cancel may take to be applied, and a disturbance to pass.
CANCEL_BOUND_S: typing.Final = 3.0
_CRASHES_MIN: typing.Final = 2
_FAILED: typing.Final = 'failed'


class Task(typing.NamedTuple):
    """A task, as workers name it."""

    job_id: str
    occurrence: int
    step: int
    ordinal: int


class Submitted(msgspec.Struct, frozen=True, tag=True):
    """A client has begun to send a job."""

    at_s: float
    job_id: str
    attempts_max: int
    gang_steps: tuple[int, ...] = ()


class CancelAcknowledged(msgspec.Struct, frozen=True, tag=True):
    """A client's cancel was answered with success, or as of no such job."""

    at_s: float
    job_id: str


class Shown(msgspec.Struct, frozen=True, tag=True):
    """A client was answered with a job's state."""

    at_s: float
    job_id: str
    state: str


class Started(msgspec.Struct, frozen=True, tag=True):
    """A worker has started a task."""

    at_s: float
    task: Task
    worker: str = ''


class RunFailed(msgspec.Struct, frozen=True, tag=True):
    """An attempt of a task has ended failed on its worker."""

    at_s: float
    task: Task
    attempt: int


class WorkerCrashed(msgspec.Struct, frozen=True, tag=True):
    """A worker has crashed with the tasks that were at work there."""

    at_s: float
    worker: str
    tasks: tuple[Task, ...]


class Disturbance(msgspec.Struct, frozen=True, tag=True):
    """Hosts, their links or the store were disturbed until a time."""

    at_s: float
    until_s: float = math.inf


Event = (
    Submitted
    | CancelAcknowledged
    | Shown
    | Started
    | RunFailed
    | WorkerCrashed
    | Disturbance
)


class Kind(enum.Enum):
    """Which promise is broken."""

    STARTED_AFTER_CANCEL = 'started after its cancel'
    FAILED_WITHOUT_ATTEMPTS = 'failed without its attempts'


class Breach(typing.NamedTuple):
    """A broken promise."""

    kind: Kind
    at_s: float
    job_id: str
    details: str

    def __str__(self) -> str:
        """Format the breach for reports."""
        return (
            f'{self.job_id} {self.kind.value} at {self.at_s:.3f} s '
            f'({self.details})'
        )


class Judge:
    """Applies events in the order of their times, and collects breaches."""

    __slots__ = (
        '_cancelled_s',
        '_crashes',
        '_failed_attempts',
        '_jobs',
        '_shown_failed',
        '_undisturbed_since_s',
        'breaches',
    )

    def __init__(self) -> None:
        self.breaches: list[Breach] = []
        self._jobs: dict[str, Submitted] = {}
        # When the first cancel of each submitted job was acknowledged.
        self._cancelled_s: dict[str, float] = {}
        # Infinite until the end of the last disturbance is known.
        self._undisturbed_since_s = 0.0
        # Attempts that failed; those of a gang are kept by its first task.
        self._failed_attempts: collections.defaultdict[Task, set[int]] = (
            collections.defaultdict(set)
        )
        self._crashes: collections.Counter[Task] = collections.Counter()
        # Each job is reported once.
        self._shown_failed: set[str] = set()

    def apply(self, event: Event) -> None:
        """Apply an event that is no earlier than the former one."""
        match event:
            case Submitted():
                self._jobs.setdefault(event.job_id, event)
            case CancelAcknowledged():
                if event.job_id in self._jobs:
                    self._cancelled_s.setdefault(event.job_id, event.at_s)
            case Disturbance():
                self._undisturbed_since_s = max(
                    self._undisturbed_since_s, event.until_s
                )
            case Started():
                self._check_start(event)
            case RunFailed():
                self._failed_attempts[self._counted(event.task)].add(
                    event.attempt
                )
            case WorkerCrashed():
                self._crashes.update(event.tasks)
            case Shown():
                self._check_state(event)

    def _counted(self, task: Task) -> Task:
        """Return the task that keeps the failed attempts of a task."""
        job = self._jobs.get(task.job_id)
        if job is not None and task.step in job.gang_steps:
            return task._replace(ordinal=0)
        return task

    def _check_start(self, start: Started) -> None:
        cancelled_s = self._cancelled_s.get(start.task.job_id)
        if cancelled_s is None:
            return
        since_s = max(cancelled_s, self._undisturbed_since_s)
        if start.at_s - since_s <= CANCEL_BOUND_S:
            return
        self.breaches.append(
            Breach(
                Kind.STARTED_AFTER_CANCEL,
                start.at_s,
                start.task.job_id,
                f'step {start.task.step}, task {start.task.ordinal} on '
                f'{start.worker}; cancelled at {cancelled_s:.3f}, undisturbed '
                f'since {self._undisturbed_since_s:.3f}',
            )
        )

    def _check_state(self, shown: Shown) -> None:
        job = self._jobs.get(shown.job_id)
        if shown.state != _FAILED or job is None:
            return
        if shown.job_id in self._shown_failed:
            return
        self._shown_failed.add(shown.job_id)
        failures = max(
            (
                len(attempts)
                for task, attempts in self._failed_attempts.items()
                if task.job_id == shown.job_id
            ),
            default=0,
        )
        crashes = max(
            (
                count
                for task, count in self._crashes.items()
                if task.job_id == shown.job_id
            ),
            default=0,
        )
        if failures >= job.attempts_max or crashes >= _CRASHES_MIN:
            return
        self.breaches.append(
            Breach(
                Kind.FAILED_WITHOUT_ATTEMPTS,
                shown.at_s,
                shown.job_id,
                f'{failures} of {job.attempts_max} attempts failed, '
                f'{crashes} crashes',
            )
        )


def judge(events: collections.abc.Iterable[Event]) -> list[Breach]:
    """Return the breaches in events of any order."""
    verdict = Judge()
    for event in sorted(events, key=lambda e: e.at_s):
        verdict.apply(event)
    return verdict.breaches
