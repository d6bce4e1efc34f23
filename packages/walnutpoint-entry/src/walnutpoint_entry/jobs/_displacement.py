"""Displacement of batch tasks in favour of work of higher priority."""

from __future__ import annotations

import collections
import typing

from walnutpoint_core import documents
from walnutpoint_core import timer as timers
from walnutpoint_entry.jobs import _batch
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry.jobs import _quota
from walnutpoint_entry.jobs import _shard
from walnutpoint_entry.jobs import _stopper
from walnutpoint_entry import tasks

__all__ = ('Displacer', 'borrowed_by_team')

_STOPPING_MAX: typing.Final = 64
_STOP_MODES: typing.Final = {
    'checkpoint': tasks.StopMode.CHECKPOINT,
    'throttle': tasks.StopMode.CHECKPOINT,
    'stop': tasks.StopMode.STOP,
}
_Phase = _model.Phase


class Displacer:
    """Stops batch tasks of this process's jobs, borrowed ones first."""

    __slots__ = ('_stopper', '_timer', '_defer_batch_until_s')

    def __init__(self, timer: timers.Timer, stopper: _stopper.Stopper) -> None:
        self._timer = timer
        self._stopper = stopper
        self._defer_batch_until_s = float('-inf')

    def defers_batch(self) -> bool:
        """Return whether batch starts wait while capacity is freed."""
        # Otherwise displaced tasks would restart in place, be displaced
        # again, and use up their preemptions_max.
        return self._timer.now_s() < self._defer_batch_until_s

    def displace(
        self,
        shards: tuple[_shard.Shard, ...],
        entitlements: _quota.Entitlements,
        policy: documents.BatchPolicy,
        count: int,
        only_borrowed: bool,
    ) -> int:
        """Stop up to a number of tasks and return how many were stopped."""
        mode = _STOP_MODES.get(policy.preemption)
        if mode is None:
            return 0
        candidates: list[tuple[_shard.Shard, _model.Job, _model.Task]] = []
        stopping = 0
        for shard in shards:
            for job in shard.jobs.values():
                if job.item.kind is not _model.JobKind.BATCH:
                    continue
                stopping += sum(
                    task.stop_reason == _batch.RECLAIMED
                    for task in job.in_phase(_Phase.STOPPING)
                )
                candidates.extend(
                    (shard, job, task)
                    for task in job.in_phase(_Phase.RUNNING)
                    if task.task_class is tasks.TaskClass.BATCH
                    and (task.is_borrowed or not only_borrowed)
                )
        borrowed = borrowed_by_team(shards)
        candidates.sort(
            key=lambda candidate: (
                candidate[2].is_borrowed,
                borrowed[candidate[1].item.team]
                / entitlements.weight(candidate[1].item.team),
                candidate[2].started_s,
            ),
            reverse=True,
        )
        stop_max = max(0, min(count, _STOPPING_MAX) - stopping)
        for shard, job, task in candidates[:stop_max]:
            stop = _policy.PlannedStop(task, mode, _batch.RECLAIMED)
            self._stopper.begin_stop(shard, job, stop)
        if candidates[:stop_max] and not only_borrowed:
            self._defer_batch_until_s = (
                self._timer.now_s() + policy.checkpoint_grace_s
            )
        return len(candidates[:stop_max])


def borrowed_by_team(
    shards: tuple[_shard.Shard, ...],
) -> collections.Counter[str]:
    """Return how many tasks of each team run beyond its quota."""
    return collections.Counter(
        job.item.team
        for shard in shards
        for job in shard.jobs.values()
        for task in job.in_phase(*_model.OCCUPYING_PHASES)
        if task.is_borrowed
    )
