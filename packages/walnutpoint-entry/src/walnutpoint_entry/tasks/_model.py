"""Tasks as job owners and endpoint owners speak of them."""

from __future__ import annotations

import enum

import msgspec

from walnutpoint_core import documents

__all__ = (
    'Inventory',
    'StopMode',
    'TaskClass',
    'TaskKey',
    'TaskReport',
    'TaskSpec',
    'TaskState',
)


class TaskClass(enum.IntEnum):
    """The class of a task; a lower value may displace batch tasks."""

    SERVICE = 0
    GANG = 1
    BATCH = 2


class TaskState(enum.Enum):
    """What the owner of its worker knows of one attempt of a task."""

    HELD = 'held'
    RUNNING = 'running'
    STOPPING = 'stopping'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'


class StopMode(enum.Enum):
    """How a running task is ended."""

    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


class TaskKey(msgspec.Struct, frozen=True, array_like=True):
    """One task of a job or instance of a service, named team/name."""

    job: str
    index: int


class TaskSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a task, and on whose word it may start.

    The shard's epoch fences a job owner that has been replaced. A task of a
    class below BATCH displaces batch tasks unless the job owner forbids it.
    """

    key: TaskKey
    attempt: int
    shard: int
    shard_epoch: int
    team: str
    task_class: TaskClass
    size: documents.Size
    command: tuple[str, ...]
    expected_run_s: float
    is_checkpointable: bool = False
    checkpoint: str | None = None
    may_displace: bool = True


class TaskReport(msgspec.Struct, frozen=True, kw_only=True):
    """The newest knowledge of one attempt of a task."""

    key: TaskKey
    attempt: int
    worker: str
    domain: str
    state: TaskState
    run_s: float = 0.0
    exit_code: int | None = None
    checkpoint: str | None = None
    used_cpu_cores: float | None = None
    used_memory_mb: int | None = None


class Inventory(msgspec.Struct, frozen=True, kw_only=True):
    """The tasks of one shard on the workers of one owner.

    It is complete when the owner knows what each of its workers runs; a
    task that no complete inventory shows is not running.
    """

    is_complete: bool
    reports: tuple[TaskReport, ...]
