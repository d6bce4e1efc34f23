"""Reservation of all tasks of a gang, then their start or release.

Worker owners are called in order of name. A gang that cannot hold all tasks
releases its holds instead of waiting, so gangs block each other no longer
than one reservation takes. Holds of a job owner that died expire. The backoff
is random, so that colliding gangs do not collide again each time. If the
missing tasks would fit without batch tasks, these are displaced, and worker
owners keep the freed capacity for a later reservation of the gang.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import typing

import anyio
import anyio.abc

from walnutpoint_core import documents
from walnutpoint_core import errors
from walnutpoint_core import timer as timers
from walnutpoint_entry.jobs import _journal
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _owners
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry.jobs import _shard
from walnutpoint_entry.jobs import _starter
from walnutpoint_entry.jobs import _stopper
from walnutpoint_entry import tasks

__all__ = ('Reservations',)

_Phase = _model.Phase
_BACKOFF_S: typing.Final = 0.25
_BACKOFF_MAX_S: typing.Final = 2.0
# A start must reach the worker before its hold expires there.
_USABLE_HOLD_SHARE: typing.Final = 0.7
_INCOMPLETE: typing.Final = 'gang_incomplete'


@dataclasses.dataclass(frozen=True, slots=True)
class _Reservation:
    """One reservation, with the tasks for which batch is displaced."""

    shard: _shard.Shard
    job: _model.Job
    task_class: tasks.TaskClass
    hold_s: float
    awaiting_displacement: set[int] = dataclasses.field(default_factory=set)

    def unplaced(self) -> list[_model.Task]:
        """Return the tasks neither held nor awaiting displacement."""
        return [
            task
            for task in self.job.in_phase(_Phase.READY)
            if task.index not in self.awaiting_displacement
        ]


class Reservations:
    """Holds capacity for all tasks of a gang, and starts all or none."""

    __slots__ = (
        '_journal',
        '_on_change',
        '_owners',
        '_random',
        '_starter',
        '_stopper',
        '_tasks',
        '_timer',
    )

    def __init__(
        self,
        timer: timers.Timer,
        owners: _owners.Owners,
        starter: _starter.Starter,
        stopper: _stopper.Stopper,
        journal: _journal.JobJournal,
        rng: random.Random,
        task_group: anyio.abc.TaskGroup,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._timer = timer
        self._owners = owners
        self._starter = starter
        self._stopper = stopper
        self._journal = journal
        self._random = rng
        self._tasks = task_group
        self._on_change = on_change

    def begin_reservation(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        task_class: tasks.TaskClass,
        policy: documents.GangPolicy,
        may_displace: bool,
    ) -> None:
        """Make one attempt to reserve and start a gang."""
        job.is_reserving = True
        hold_s = min(job.item.item.hold_s, policy.hold_max_s)
        reservation = _Reservation(shard, job, task_class, hold_s)
        self._tasks.start_soon(self._run, reservation, may_displace)

    async def _run(
        self, reservation: _Reservation, may_displace: bool
    ) -> None:
        shard, job = reservation.shard, reservation.job
        until_s = self._timer.now_s() + reservation.hold_s * _USABLE_HOLD_SHARE
        all_held = await self._hold_all(reservation, may_displace)
        is_usable = all_held and self._timer.now_s() < until_s
        if is_usable and self._is_current(shard, job):
            is_started = await self._start_all(
                shard, job, reservation.task_class
            )
        else:
            is_started = False
        job.is_reserving = False
        if shard.is_open:
            if is_started:
                job.failed_reservations = 0
                job.unplaced_count = 0
                job.reason = ''
            else:
                self._release(reservation)
        self._on_change()

    async def _hold_all(
        self, reservation: _Reservation, may_displace: bool
    ) -> bool:
        clients = sorted(
            self._owners.clients(), key=lambda client: client.owner
        )
        await self._hold_at(reservation, clients, displaces=False)
        if may_displace and self._can_displace(reservation, clients):
            await self._hold_at(reservation, clients, displaces=True)
        job = reservation.job
        held = job.in_phase(_Phase.HELD)
        return len(held) == len(job.tasks) and all(
            task.worker for task in held
        )

    def _can_displace(
        self, reservation: _Reservation, clients: list[tasks.OwnerClient]
    ) -> bool:
        """Return whether all unplaced tasks would fit without batch."""
        missing = reservation.unplaced()
        if not missing:
            return False
        # A gang that does not fit even then must not stop batch tasks.
        capacity = sum(
            self._capacity(reservation, client, True) for client in clients
        )
        return capacity >= len(missing)

    def _capacity(
        self,
        reservation: _Reservation,
        client: tasks.OwnerClient,
        displaces: bool,
    ) -> int:
        spec = self._starter.spec(
            reservation.shard,
            reservation.job,
            reservation.unplaced()[0],
            reservation.task_class,
            displaces,
        )
        if displaces:
            return client.displaceable_tasks(spec)
        return client.free_tasks(spec)

    async def _hold_at(
        self,
        reservation: _Reservation,
        clients: list[tasks.OwnerClient],
        displaces: bool,
    ) -> None:
        job = reservation.job
        for client in clients:
            waiting = reservation.unplaced()
            if not waiting or not self._is_current(reservation.shard, job):
                return
            count = min(
                self._capacity(reservation, client, displaces), len(waiting)
            )
            async with anyio.create_task_group() as group:
                for task in waiting[:count]:
                    task.attempt = reservation.shard.next_attempt()
                    task.task_class = reservation.task_class
                    task.is_borrowed = (
                        reservation.task_class is tasks.TaskClass.BATCH
                    )
                    task.owner = client.owner
                    task.stop_reason = ''
                    job.move(task, _Phase.HELD, self._timer.now_s())
                    group.start_soon(
                        self._hold, reservation, task, client, displaces
                    )

    async def _hold(
        self,
        reservation: _Reservation,
        task: _model.Task,
        client: tasks.OwnerClient,
        displaces: bool,
    ) -> None:
        shard, job = reservation.shard, reservation.job
        spec = self._starter.spec(
            shard, job, task, reservation.task_class, displaces
        )
        reply = await client.hold(spec, reservation.hold_s)
        if not shard.is_open or task.phase is not _Phase.HELD:
            return
        if reply.is_ok():
            task.worker = reply.ok.worker
            task.domain = reply.ok.domain
        elif reply.error.outcome is errors.Outcome.NOT_RUN:
            if _starter.is_freeing_capacity(reply.error):
                reservation.awaiting_displacement.add(task.index)
            task.owner = ''
            job.move(task, _Phase.READY, self._timer.now_s())

    async def _start_all(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        task_class: tasks.TaskClass,
    ) -> bool:
        async with anyio.create_task_group() as group:
            for task in job.in_phase(_Phase.HELD):
                job.move(task, _Phase.STARTING, self._timer.now_s())
                group.start_soon(self._start, shard, job, task, task_class)
        if not shard.is_open:
            return False
        started = job.count(_Phase.RUNNING, _Phase.DONE)
        return started == len(job.tasks)

    async def _start(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        task: _model.Task,
        task_class: tasks.TaskClass,
    ) -> None:
        spec = self._starter.spec(shard, job, task, task_class)
        client = self._owners.client(task.owner)
        sent_s = self._timer.now_s()
        if client is None or not self._owners.may_act(shard):
            return
        reply = await client.start(spec)
        is_current = (
            shard.is_open
            and task.phase is _Phase.STARTING
            and task.attempt == spec.attempt
        )
        if is_current and reply.is_ok():
            shard.apply_report(
                client.owner, reply.ok, sent_s, self._timer.now_s()
            )
            self._journal.record(job, task, 'gang', 'started')
        elif is_current:
            self._journal.record(
                job, task, reply.error.kind.value, 'not_started'
            )

    def _release(self, reservation: _Reservation) -> None:
        shard, job = reservation.shard, reservation.job
        # Tasks awaiting displacement are not counted, or they would also
        # displace batch tasks of this process's jobs.
        job.unplaced_count = len(reservation.unplaced())
        # A start without an answer may have taken effect, so it is stopped
        # too, and no new attempt starts until the stop is confirmed.
        for task in job.in_phase(_Phase.HELD, _Phase.STARTING, _Phase.RUNNING):
            stop = _policy.PlannedStop(task, tasks.StopMode.STOP, _INCOMPLETE)
            self._stopper.begin_stop(shard, job, stop)
        if job.count(_Phase.DONE):
            job.restarts_all = True
        wait_s = min(_BACKOFF_S * 2.0**job.failed_reservations, _BACKOFF_MAX_S)
        job.failed_reservations = min(job.failed_reservations + 1, 16)
        job.not_before_s = self._timer.now_s() + self._random.uniform(
            0.0, wait_s
        )
        job.reason = 'no room for all'

    def _is_current(self, shard: _shard.Shard, job: _model.Job) -> bool:
        return (
            self._owners.may_act(shard)
            and not job.item.is_cancelled
            and not job.is_removed
        )
