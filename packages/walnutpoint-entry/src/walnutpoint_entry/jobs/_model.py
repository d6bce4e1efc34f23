"""The job owner's model of jobs, services and their tasks."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import hashlib
import re
import typing

from walnutpoint_core import documents
from walnutpoint_entry import tasks

__all__ = (
    'ENDED_STATES',
    'Ending',
    'Job',
    'JobItem',
    'JobKind',
    'Outcome',
    'Phase',
    'Task',
    'items_of',
    'job_family',
    'job_shard',
)

_DIGITS: typing.Final = re.compile(r'\d+')

ENDED_STATES: typing.Final = frozenset(
    {
        tasks.TaskState.FINISHED,
        tasks.TaskState.FAILED,
        tasks.TaskState.STOPPED,
        tasks.TaskState.LAPSED,
    }
)


class JobKind(enum.Enum):
    """Which policy a job follows."""

    SERVICE = 'service'
    GANG = 'gang'
    BATCH = 'batch'


class Phase(enum.Enum):
    """State of a task as far as the job owner knows it."""

    READY = 'ready'
    HELD = 'held'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    DOUBTFUL = 'doubtful'
    DONE = 'done'
    FAILED = 'failed'


class Outcome(enum.Enum):
    """How a job ended."""

    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """How and why a job ended."""

    outcome: Outcome
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobItem:
    """A service or job of the configuration, named TEAM/NAME."""

    name: str
    kind: JobKind
    item: typing.Any
    created: int
    is_cancelled: bool

    @property
    def team(self) -> str:
        """Return the team's name."""
        return self.name.partition('/')[0]

    @property
    def family(self) -> str:
        """Return the name that similar jobs share."""
        return job_family(self.name)

    @property
    def tasks_count(self) -> int:
        """Return the configured number of tasks or instances."""
        if self.kind is JobKind.SERVICE:
            return int(self.item.instances)
        return int(self.item.tasks)

    @property
    def declared_run_s(self) -> float:
        """Return the declared run time, 0.0 for a service."""
        return float(getattr(self.item, 'declared_run_s', 0.0))

    @property
    def key(self) -> str:
        """Return the job of its task keys; distinct for services."""
        if self.kind is JobKind.SERVICE:
            return f'{self.team}/services/{self.name.partition("/")[2]}'
        return self.name


@dataclasses.dataclass(slots=True)
class Task:
    """One task with the known state of its newest attempt.

    Reports requested before phase_since_s are ignored. The owner is the
    process that owns the task's worker. The counted attempt is the last one
    whose end was counted; each is counted once.
    """

    index: int
    phase: Phase
    phase_since_s: float
    waiting_since_s: float
    attempt: int = 0
    counted_attempt: int = 0
    owner: str = ''
    worker: str = ''
    domain: str = ''
    task_class: tasks.TaskClass = tasks.TaskClass.BATCH
    is_borrowed: bool = False
    started_s: float = 0.0
    not_before_s: float = 0.0
    failures: int = 0
    preemptions: int = 0
    checkpoint: str | None = None
    stop_reason: str = ''
    stop_mode: tasks.StopMode = tasks.StopMode.STOP
    is_stop_in_flight: bool = False
    stop_sent_s: float = 0.0


class Job:
    """One job or service with its tasks, indexed by phase.

    For a gang, failed_reservations counts consecutive failures, and
    unplaced_count the tasks that the last reservation could not place.
    """

    __slots__ = (
        '_phases',
        'accepted_unix_s',
        'next_displacement_s',
        'ending',
        'failures',
        'is_end_recorded',
        'is_removed',
        'is_reserving',
        'item',
        'unplaced_count',
        'not_before_s',
        'reason',
        'failed_reservations',
        'restarts_all',
        'shard',
        'tasks',
    )

    def __init__(
        self, item: JobItem, shard: int, accepted_unix_s: float
    ) -> None:
        self.item = item
        self.shard = shard
        self.accepted_unix_s = accepted_unix_s
        self.tasks: dict[int, Task] = {}
        self.ending: Ending | None = None
        self.reason = ''
        self.failures = 0
        self.failed_reservations = 0
        self.unplaced_count = 0
        self.next_displacement_s = 0.0
        self.not_before_s = 0.0
        self.is_end_recorded = False
        self.is_removed = False
        self.is_reserving = False
        self.restarts_all = False
        self._phases: dict[Phase, dict[int, Task]] = {
            phase: {} for phase in Phase
        }

    def add(self, index: int, phase: Phase, now_s: float) -> Task:
        """Add a task."""
        task = Task(index, phase, now_s, now_s)
        self.tasks[index] = task
        self._phases[phase][index] = task
        return task

    def remove(self, index: int) -> None:
        """Remove a task that is not needed and does not run."""
        task = self.tasks.pop(index)
        del self._phases[task.phase][index]

    def move(self, task: Task, phase: Phase, now_s: float) -> None:
        """Move a task to a phase."""
        del self._phases[task.phase][task.index]
        if phase is Phase.READY and task.phase is not Phase.READY:
            task.waiting_since_s = now_s
        task.phase = phase
        task.phase_since_s = now_s
        task.is_stop_in_flight = False
        self._phases[phase][task.index] = task

    def in_phase(self, *phases: Phase) -> tuple[Task, ...]:
        """Return the tasks in any of the phases."""
        return tuple(
            task for phase in phases for task in self._phases[phase].values()
        )

    def first(self, phase: Phase, count: int) -> tuple[Task, ...]:
        """Return the tasks that entered a phase first, at most count."""
        found: list[Task] = []
        for task in self._phases[phase].values():
            if len(found) == count:
                break
            found.append(task)
        return tuple(found)

    def count(self, *phases: Phase) -> int:
        """Return how many tasks are in any of the phases."""
        return sum(len(self._phases[phase]) for phase in phases)

    @property
    def occupying_count(self) -> int:
        """Return how many tasks hold capacity or may be running."""
        return self.count(*OCCUPYING_PHASES)


OCCUPYING_PHASES: typing.Final = (
    Phase.HELD,
    Phase.STARTING,
    Phase.RUNNING,
    Phase.STOPPING,
    Phase.DOUBTFUL,
)


def job_family(name: str) -> str:
    """Return a job's name without digits, shared by similar jobs."""
    return _DIGITS.sub('', name)


def job_shard(name: str, shards: int) -> int:
    """Return the shard whose owner is responsible for a job."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest) % shards


def items_of(
    configuration: documents.Configuration,
) -> collections.abc.Iterator[JobItem]:
    """Return every service and unfinished job of a configuration."""
    sections = (
        ('services', JobKind.SERVICE),
        ('gang_jobs', JobKind.GANG),
        ('batch_jobs', JobKind.BATCH),
    )
    for team, part in configuration.teams.items():
        for section, kind in sections:
            for name, entry in getattr(part, section).items():
                yield JobItem(
                    f'{team}/{name}',
                    kind,
                    entry.item,
                    entry.created,
                    bool(entry.cancelled),
                )
