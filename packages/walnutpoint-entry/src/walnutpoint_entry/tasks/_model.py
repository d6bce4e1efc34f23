"""Task structures shared by job owners and endpoint owners."""

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
    """The state of an attempt as known to its worker's owner."""

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
    """An attempt of a task, to be held or started.

    The shard's epoch fences a replaced job owner. A class below BATCH may
    displace batch tasks unless the job owner forbids it.
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
    """The latest known state of an attempt."""

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

    It is complete once each worker has reported its tasks. A task that is
    in none of the owners' complete inventories is not running.
    """

    is_complete: bool
    reports: tuple[TaskReport, ...]
