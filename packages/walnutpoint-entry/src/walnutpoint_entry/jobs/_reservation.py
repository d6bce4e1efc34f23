"""Reservation of a whole gang, then its start, or the release of all.

Owners are asked in the order of their names, and a gang that misses any task
releases what it holds instead of waiting for the rest: nobody holds and
waits, so gangs never block each other for longer than one attempt. What an
owner that died holds expires. The wait before the next attempt is random, so
that gangs which met once do not meet each time.
"""

from __future__ import annotations

import collections.abc
import random
import typing

import anyio
import anyio.abc

from walnutpoint_core import documents
from walnutpoint_core import errors
from walnutpoint_core import timer as timers
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry.jobs import _shard
from walnutpoint_entry.jobs import _starter
from walnutpoint_entry import tasks

__all__ = ('Reservations',)

_Phase = _model.Phase
_BACKOFF_S: typing.Final = 0.25
_BACKOFF_MAX_S: typing.Final = 2.0
# A start has to reach a worker before its hold has expired there.
_USABLE_SHARE: typing.Final = 0.7
_INCOMPLETE: typing.Final = 'gang_incomplete'


class Reservations:
    """Hold room for all tasks of a gang, and start all or none."""

    __slots__ = (
        '_boards',
        '_on_change',
        '_random',
        '_starter',
        '_tasks',
        '_timer',
    )

    def __init__(
        self,
        timer: timers.Timer,
        boards: tasks.Boards,
        starter: _starter.Starter,
        rng: random.Random,
        task_group: anyio.abc.TaskGroup,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._timer = timer
        self._boards = boards
        self._starter = starter
        self._random = rng
        self._tasks = task_group
        self._on_change = on_change

    def begin(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        task_class: tasks.TaskClass,
        policy: documents.GangPolicy,
    ) -> None:
        """Try once to reserve and start a gang."""
        job.is_reserving = True
        hold_s = min(job.item.item.hold_s, policy.hold_max_s)
        self._tasks.start_soon(self._run, shard, job, task_class, hold_s)

    async def _run(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        task_class: tasks.TaskClass,
        hold_s: float,
    ) -> None:
        until_s = self._timer.now_s() + hold_s * _USABLE_SHARE
        all_held = await self._hold_all(shard, job, task_class, hold_s)
        is_usable = all_held and self._timer.now_s() < until_s
        if is_usable and self._is_current(shard, job):
            is_started = await self._start_all(shard, job, task_class)
        else:
            is_started = False
        job.is_reserving = False
        if shard.is_open:
            if is_started:
                job.refusals = 0
                job.missing = 0
                job.reason = ''
            else:
                self._release(shard, job)
        self._on_change()

    async def _hold_all(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        task_class: tasks.TaskClass,
        hold_s: float,
    ) -> bool:
        boards = sorted(self._boards.boards(), key=lambda one: one.owner)
        for board in boards:
            waiting = job.in_phase(_Phase.READY)
            if not waiting:
                break
            if not self._is_current(shard, job):
                return False
            spec = self._starter.spec(shard, job, waiting[0], task_class)
            count = min(board.free_tasks(spec), len(waiting))
            async with anyio.create_task_group() as group:
                for task in waiting[:count]:
                    task.attempt = shard.next_attempt()
                    task.task_class = task_class
                    task.is_borrowed = task_class is tasks.TaskClass.BATCH
                    task.board = board.owner
                    task.stop_reason = ''
                    job.move(task, _Phase.HELD, self._timer.now_s())
                    group.start_soon(
                        self._hold, shard, job, task, board, hold_s
                    )
        held = job.in_phase(_Phase.HELD)
        return len(held) == len(job.tasks) and all(
            task.worker for task in held
        )

    async def _hold(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        task: _model.Task,
        board: tasks.Board,
        hold_s: float,
    ) -> None:
        spec = self._starter.spec(shard, job, task, task.task_class)
        reply = await board.hold(spec, hold_s)
        if not shard.is_open or task.phase is not _Phase.HELD:
            return
        if reply.is_ok():
            task.worker = reply.ok.worker
            task.domain = reply.ok.domain
        elif reply.error.outcome is errors.Outcome.NOT_RUN:
            task.board = ''
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
        board = self._starter.board(task.board)
        sent_s = self._timer.now_s()
        if board is None or not self._starter.may_act(shard):
            return
        reply = await board.start(spec)
        is_current = (
            shard.is_open
            and task.phase is _Phase.STARTING
            and task.attempt == spec.attempt
        )
        if is_current and reply.is_ok():
            shard.take(board.owner, reply.ok, sent_s, self._timer.now_s())
            self._starter.record(job, task, 'gang', 'started')
        elif is_current:
            self._starter.record(
                job, task, reply.error.kind.value, 'not_started'
            )

    def _release(self, shard: _shard.Shard, job: _model.Job) -> None:
        job.missing = job.count(_Phase.READY)
        # What was asked to start without a known answer may run: it is
        # stopped like the rest, and nothing starts until that is confirmed.
        for task in job.in_phase(_Phase.HELD, _Phase.STARTING, _Phase.RUNNING):
            wish = _policy.StopWish(task, tasks.StopMode.STOP, _INCOMPLETE)
            self._starter.begin_stop(shard, job, wish)
        if job.count(_Phase.DONE):
            job.restarts_all = True
        wait_s = min(_BACKOFF_S * 2.0**job.refusals, _BACKOFF_MAX_S)
        job.refusals = min(job.refusals + 1, 16)
        job.not_before_s = self._timer.now_s() + self._random.uniform(
            0.0, wait_s
        )
        job.reason = 'no room for all'

    def _is_current(self, shard: _shard.Shard, job: _model.Job) -> bool:
        return (
            self._starter.may_act(shard)
            and not job.item.is_cancelled
            and not job.is_gone
        )
