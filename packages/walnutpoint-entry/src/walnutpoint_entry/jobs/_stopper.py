"""Stops of single tasks, requested until they are confirmed."""

from __future__ import annotations

import collections.abc
import typing

import anyio.abc

from walnutpoint_core import errors
from walnutpoint_core import timer as timers
from walnutpoint_entry.jobs import _journal
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _owners
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry.jobs import _reports
from walnutpoint_entry.jobs import _shard
from walnutpoint_entry import tasks

__all__ = ('Stopper',)

_Phase = _model.Phase
_STOP_RETRY_S: typing.Final = 1.0


class Stopper:
    """Requests stops of tasks from worker owners."""

    __slots__ = (
        '_journal',
        '_on_change',
        '_owners',
        '_strays_in_flight',
        '_tasks',
        '_timer',
    )

    def __init__(
        self,
        timer: timers.Timer,
        owners: _owners.Owners,
        journal: _journal.JobJournal,
        task_group: anyio.abc.TaskGroup,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._timer = timer
        self._owners = owners
        self._journal = journal
        self._tasks = task_group
        self._on_change = on_change
        self._strays_in_flight: set[tuple[str, tasks.TaskKey, int]] = set()

    def begin_stop(
        self, shard: _shard.Shard, job: _model.Job, stop: _policy.PlannedStop
    ) -> None:
        """Move a task to STOPPING and request its stop."""
        task = stop.task
        task.stop_reason = stop.reason
        task.stop_mode = stop.mode
        job.move(task, _Phase.STOPPING, self._timer.now_s())
        self.request_stop(shard, job, task)

    def request_stop(
        self, shard: _shard.Shard, job: _model.Job, task: _model.Task
    ) -> None:
        """Request the stop of a stopping task unless done recently."""
        now_s = self._timer.now_s()
        was_sent = task.stop_sent_s >= task.phase_since_s
        is_too_early = was_sent and now_s < task.stop_sent_s + _STOP_RETRY_S
        if task.is_stop_in_flight or is_too_early:
            return
        client = self._owners.client(task.owner)
        if client is None:
            if self._owners.has_left(task.owner):
                # The owner left the table, so others own its workers now.
                job.move(task, _Phase.DOUBTFUL, now_s)
            return
        task.is_stop_in_flight = True
        task.stop_sent_s = now_s
        self._tasks.start_soon(self._stop, shard, job, task, client)

    def begin_stop_of_stray(
        self, shard: _shard.Shard, stray: _reports.StrayAttempt
    ) -> None:
        """Request the stop of a stray attempt."""
        key = (stray.owner, stray.key, stray.attempt)
        if key in self._strays_in_flight:
            return
        self._strays_in_flight.add(key)
        self._tasks.start_soon(self._stop_stray, shard, stray)

    async def _stop(
        self,
        shard: _shard.Shard,
        job: _model.Job,
        task: _model.Task,
        client: tasks.OwnerClient,
    ) -> None:
        key = tasks.TaskKey(job.item.key, task.index)
        attempt = task.attempt
        reason = task.stop_reason
        sent_s = self._timer.now_s()
        if not self._owners.may_act(shard):
            task.is_stop_in_flight = False
            return
        reply = await client.stop(key, attempt, task.stop_mode)
        is_current = (
            shard.is_open
            and task.phase is _Phase.STOPPING
            and task.attempt == attempt
        )
        if not is_current:
            return
        task.is_stop_in_flight = False
        report = reply.ok if reply.is_ok() else None
        if report is None:
            if reply.error.kind is not errors.ErrorKind.NOT_FOUND:
                return
            report = _stopped_report(key, attempt, task)
        shard.apply_report(client.owner, report, sent_s, self._timer.now_s())
        if task.phase is not _Phase.STOPPING:
            self._journal.record(
                job, task, reason, report.state.value, attempt
            )
        self._on_change()

    async def _stop_stray(
        self, shard: _shard.Shard, stray: _reports.StrayAttempt
    ) -> None:
        key = (stray.owner, stray.key, stray.attempt)
        client = self._owners.client(stray.owner)
        if client is not None and self._owners.may_act(shard):
            reply = await client.stop(
                stray.key, stray.attempt, tasks.StopMode.STOP
            )
            if reply.is_ok() and reply.ok.state in _model.ENDED_STATES:
                shard.stray_attempts.pop(key, None)
                now_s = self._timer.now_s()
                shard.apply_report(stray.owner, reply.ok, now_s, now_s)
            elif reply.is_error():
                if reply.error.kind is errors.ErrorKind.NOT_FOUND:
                    shard.stray_attempts.pop(key, None)
        elif self._owners.has_left(stray.owner):
            shard.stray_attempts.pop(key, None)
        self._strays_in_flight.discard(key)
        self._on_change()


def _stopped_report(
    key: tasks.TaskKey, attempt: int, task: _model.Task
) -> tasks.TaskReport:
    return tasks.TaskReport(
        key=key,
        attempt=attempt,
        worker=task.worker,
        domain=task.domain,
        state=tasks.TaskState.STOPPED,
    )
