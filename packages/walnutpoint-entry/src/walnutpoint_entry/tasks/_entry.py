"""The worker owner's record of an attempt of a task."""

from __future__ import annotations

import dataclasses
import enum
import math

from walnutpoint_core import documents
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _resources
from walnutpoint_entry.tasks import _wire

__all__ = (
    'Entry',
    'Phase',
)


class Phase(enum.Enum):
    """The phase of an attempt; a DOUBTFUL one may or may not run."""

    HELD = 'held'
    STARTING = 'starting'
    DOUBTFUL = 'doubtful'
    RUNNING = 'running'


@dataclasses.dataclass(slots=True, eq=False)
class Entry:
    """An attempt that uses resources of a worker."""

    key: _model.TaskKey
    attempt: int
    worker: str
    domain: str
    size: documents.Size
    note: _wire.TaskNote
    phase: Phase
    hold_until_s: float = math.inf
    started_s: float = 0.0
    lease_sent_s: float = -math.inf
    stop_mode: _model.StopMode | None = None
    checkpoint_until_s: float = math.inf
    repeat_stop_at_s: float = -math.inf
    is_stop_in_progress: bool = False
    is_trial_over: bool = True
    is_for_requests: bool = False
    reserved_until_s: float = -math.inf
    run_s: float = 0.0
    checkpoint: str | None = None
    used_cpu_cores: float | None = None
    used_memory_mb: int | None = None

    @property
    def name(self) -> _wire.Attempt:
        """Return the attempt's name."""
        return _wire.Attempt(self.key, self.attempt)

    @property
    def need(self) -> _resources.Resources:
        """Return the resources that the attempt uses."""
        return _resources.of_size(self.size)

    @property
    def state(self) -> _model.TaskState:
        """Return the state to report; RUNNING if it may run."""
        if self.phase is Phase.HELD:
            return _model.TaskState.HELD
        if self.stop_mode is not None:
            return _model.TaskState.STOPPING
        return _model.TaskState.RUNNING

    def report(
        self, state: _model.TaskState | None = None
    ) -> _model.TaskReport:
        """Return a report of the attempt's latest known state."""
        return _model.TaskReport(
            key=self.key,
            attempt=self.attempt,
            worker=self.worker,
            domain=self.domain,
            state=state or self.state,
            run_s=self.run_s,
            checkpoint=self.checkpoint,
            used_cpu_cores=self.used_cpu_cores,
            used_memory_mb=self.used_memory_mb,
        )

    def update_usage(self, task: _wire.WorkerTask, now_s: float) -> None:
        """Update run time, checkpoint and usage from a worker's report."""
        self.run_s = task.run_s
        self.started_s = now_s - task.run_s
        self.checkpoint = task.checkpoint or self.checkpoint
        self.used_cpu_cores = task.used_cpu_cores
        self.used_memory_mb = task.used_memory_mb


def from_spec(spec: _model.TaskSpec, worker: str, domain: str) -> Entry:
    """Return the entry of a held attempt."""
    return Entry(
        key=spec.key,
        attempt=spec.attempt,
        worker=worker,
        domain=domain,
        size=spec.size,
        note=_wire.TaskNote(
            shard=spec.shard,
            shard_epoch=spec.shard_epoch,
            team=spec.team,
            task_class=spec.task_class,
            expected_run_s=spec.expected_run_s,
            is_checkpointable=spec.is_checkpointable,
        ),
        phase=Phase.HELD,
        checkpoint=spec.checkpoint,
    )
