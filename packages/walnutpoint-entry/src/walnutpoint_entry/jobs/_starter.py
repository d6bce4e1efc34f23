"""Starts of single tasks, limited per worker owner."""

from __future__ import annotations

import collections
import collections.abc
import typing

import anyio.abc

from walnutpoint_core import errors
from walnutpoint_core import timer as timers
from walnutpoint_entry.jobs import _estimate
from walnutpoint_entry.jobs import _journal
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _owners
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry.jobs import _ports
from walnutpoint_entry.jobs import _shard
from walnutpoint_entry.jobs import _stopper
from walnutpoint_entry import tasks

__all__ = ('Starter', 'is_freeing_capacity')

_Phase = _model.Phase
# A refusal wakes the loop, which would repeat the start at once and use up
# the CPU with refused calls until there is capacity.
_REFUSED_BACKOFF_S: typing.Final = 0.2
_DISPLACE_RETRY_S: typing.Final = 1.0


class Starter:
    """Sends tasks to worker owners that have or can free capacity."""

    __slots__ = (
        '_estimator',
        '_in_flight',
        '_journal',
        '_on_change',
        '_owners',
        '_settings',
        '_stopper',
        '_tasks',
        '_timer',
    )

    def __init__(
        self,
        timer: timers.Timer,
        settings: _ports.JobSettings,
        owners: _owners.Owners,
        stopper: _stopper.Stopper,
        estimator: _estimate.SizeEstimator,
        journal: _journal.JobJournal,
        task_group: anyio.abc.TaskGroup,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._timer = timer
        self._settings = settings
        self._owners = owners
        self._stopper = stopper
        self._estimator = estimator
        self._journal = journal
        self._tasks = task_group
        self._on_change = on_change
        self._in_flight: collections.Counter[str] = collections.Counter()

    def spec(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        task: _model.Task,
        task_class: tasks.TaskClass,
        may_displace: bool = False,
    ) -> tasks.TaskSpec:
        """Return the specification of a task's newest attempt."""
        item = job.item
        size = item.item.size
        if task_class is not tasks.TaskClass.GANG:
            # A promoted task keeps its size: a larger one may fit nowhere.
            size = self._estimator.reserved_size(item.family, size)
        return tasks.TaskSpec(
            key=tasks.TaskKey(item.key, task.index),
            attempt=task.attempt,
            shard=shard.index,
            shard_epoch=shard.epoch,
            team=item.team,
            task_class=task_class,
            size=size,
            command=item.item.command,
            expected_run_s=self._estimator.expected_run_s(
                item.family, item.declared_run_s
            ),
            is_checkpointable=getattr(item.item, 'checkpointable', False),
            checkpoint=task.checkpoint,
            may_displace=may_displace,
        )

    def begin_start(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        start: _policy.PlannedStart,
        may_displace: bool,
    ) -> bool:
        """Send a task to owners with capacity; return whether any has some.

        If none has, owners that can displace batch tasks are tried.
        """
        task = start.task
        now_s = self._timer.now_s()
        spec = self.spec(shard, job, task, start.task_class)
        clients = self._rank_clients(spec, self._free, job.item.kind)
        displaces = (
            not clients and may_displace and now_s >= job.next_displacement_s
        )
        if displaces:
            clients = self._rank_clients(
                spec, self._displaceable, job.item.kind
            )
        if not clients:
            return False
        task.attempt = shard.next_attempt()
        task.task_class = start.task_class
        task.is_borrowed = start.is_borrowed
        task.stop_reason = ''
        task.owner = clients[0].owner
        job.move(task, _Phase.STARTING, now_s)
        self._in_flight[task.owner] += 1
        self._tasks.start_soon(
            self._start, shard, job, start, clients, displaces
        )
        return True

    def _free(self, client: tasks.OwnerClient, spec: tasks.TaskSpec) -> int:
        """Return how many such tasks may start at an owner now."""
        return self._sendable(client, client.free_tasks(spec))

    def _displaceable(
        self, client: tasks.OwnerClient, spec: tasks.TaskSpec
    ) -> int:
        """Return how many such tasks may displace others there now."""
        return self._sendable(client, client.displaceable_tasks(spec))

    def _sendable(self, client: tasks.OwnerClient, capacity: int) -> int:
        # Starts in flight will use part of the free capacity. More would be
        # refused and delayed, although other owners may have capacity.
        in_flight = self._in_flight[client.owner]
        allowed = self._settings.starts_in_flight - in_flight
        return max(0, min(allowed, capacity - in_flight))

    def _rank_clients(
        self,
        spec: tasks.TaskSpec,
        capacity_at: collections.abc.Callable[
            [tasks.OwnerClient, tasks.TaskSpec], int
        ],
        kind: _model.JobKind,
    ) -> list[tasks.OwnerClient]:
        """Return owners with capacity; fullest first to pack batch tasks."""
        ranked = [
            (capacity_at(client, spec), client)
            for client in self._owners.clients()
        ]
        ranked = [pair for pair in ranked if pair[0] > 0]
        is_batch = kind is _model.JobKind.BATCH
        ranked.sort(key=lambda pair: pair[0] if is_batch else -pair[0])
        return [client for _, client in ranked]

    async def _start(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        start: _policy.PlannedStart,
        clients: list[tasks.OwnerClient],
        displaces: bool,
    ) -> None:
        spec = self.spec(shard, job, start.task, start.task_class, displaces)
        owner = clients[0].owner
        is_settled = False
        for client in clients:
            self._in_flight[owner] -= 1
            owner = client.owner
            self._in_flight[owner] += 1
            if not self._owners.may_act(shard):
                break
            is_settled = await self._start_at(shard, job, start, spec, client)
            if is_settled:
                break
        self._in_flight[owner] -= 1
        if displaces and not is_settled:
            # Every owner refused to displace; a retry at each tick would
            # overload them with calls that are refused again.
            job.next_displacement_s = self._timer.now_s() + _DISPLACE_RETRY_S
        self._finish_start(shard, job, start.task, spec.attempt)

    async def _start_at(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        start: _policy.PlannedStart,
        spec: tasks.TaskSpec,
        client: tasks.OwnerClient,
    ) -> bool:
        """Start a task at an owner; return whether no other may be tried."""
        task = start.task
        task.owner = client.owner
        sent_s = self._timer.now_s()
        reply = await client.start(spec, start.avoid_domains)
        if reply.is_ok() and task.attempt == spec.attempt:
            # An inventory may have reported the task before this reply.
            self._journal.record(job, task, start.rank.name.lower(), 'started')
        if not self._is_starting(shard, task, spec.attempt):
            return True
        if reply.is_ok():
            shard.apply_report(
                client.owner, reply.ok, sent_s, self._timer.now_s()
            )
            return True
        if reply.error.outcome is errors.Outcome.NOT_RUN:
            # If the owner is freeing capacity, the task retries there; the
            # next owner would displace more tasks for the same one.
            return is_freeing_capacity(reply.error)
        # The answer was lost and the task may run: it may start elsewhere
        # only after the stop is confirmed.
        self._journal.record(job, task, reply.error.kind.value, 'unknown')
        stop = _policy.PlannedStop(task, tasks.StopMode.STOP, 'start_unknown')
        self._stopper.begin_stop(shard, job, stop)
        return True

    def _finish_start(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        task: _model.Task,
        attempt: int,
    ) -> None:
        if self._is_starting(shard, task, attempt):
            now_s = self._timer.now_s()
            job.move(task, _Phase.READY, now_s)
            task.owner = ''
            job.not_before_s = max(
                job.not_before_s, now_s + _REFUSED_BACKOFF_S
            )
            self._journal.record(job, task, 'no_room', 'refused')
        self._on_change()

    @staticmethod
    def _is_starting(
        shard: _shard.Shard, task: _model.Task, attempt: int
    ) -> bool:
        return (
            shard.is_open
            and task.phase is _Phase.STARTING
            and task.attempt == attempt
        )


def is_freeing_capacity(failure: errors.Failure) -> bool:
    """Return whether a refusal says that capacity is being freed."""
    return (
        failure.kind is errors.ErrorKind.NO_FREE_SLOT
        and failure.retry_after_s is not None
    )
