"""Messages between owners and workers about tasks; see worker-api.md."""

from __future__ import annotations

import typing

import msgspec

from walnutpoint_core import documents
from walnutpoint_entry.tasks import _model

__all__ = (
    'Attempt',
    'RenewOrder',
    'StartOrder',
    'StopOrder',
    'TaskNote',
    'WorkerReply',
    'WorkerTask',
)

WorkerState = typing.Literal[
    'running',
    'stopping',
    'finished',
    'failed',
    'stopped',
    'lapsed',
    'unknown',
]


class TaskNote(msgspec.Struct, frozen=True):
    """Opaque task metadata that a worker stores for its next owner."""

    shard: int
    shard_epoch: int
    team: str
    task_class: _model.TaskClass
    expected_run_s: float
    is_checkpointable: bool


class Attempt(msgspec.Struct, frozen=True):
    """The name of one attempt of a task."""

    key: _model.TaskKey
    attempt: int


class StartOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Start one attempt; the lease begins at a time of the worker's clock.

    If it began at the arrival of a delayed order, the lease would outlast
    what its owner computes.
    """

    key: _model.TaskKey
    attempt: int
    lease_s: float
    clock_s: float
    epoch: int
    size: documents.Size
    command: tuple[str, ...]
    checkpoint: str | None
    note: TaskNote


class RenewOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Renew the leases of the listed attempts, and report every task."""

    lease_s: float
    clock_s: float | None
    epoch: int
    tasks: tuple[Attempt, ...]
    acknowledge: tuple[Attempt, ...]


class StopOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Stop one attempt; in CHECKPOINT mode, save one within grace_s."""

    key: _model.TaskKey
    attempt: int
    mode: _model.StopMode
    grace_s: float
    epoch: int


class WorkerTask(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's report of one attempt."""

    key: _model.TaskKey
    attempt: int
    state: WorkerState
    size: documents.Size | None = None
    note: TaskNote | None = None
    run_s: float = 0.0
    exit_code: int | None = None
    checkpoint: str | None = None
    used_cpu_cores: float | None = None
    used_memory_mb: int | None = None


class WorkerReply(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's clock and the tasks that an order queried."""

    clock_s: float
    tasks: tuple[WorkerTask, ...]
