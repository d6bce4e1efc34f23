"""Writes of progress and ended jobs, followed by acknowledgements."""

from __future__ import annotations

import collections
import collections.abc
import typing

import anyio.abc

from walnutpoint_core import logs
from walnutpoint_core import timer as timers
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _owners
from walnutpoint_entry.jobs import _ports
from walnutpoint_entry.jobs import _reports
from walnutpoint_entry.jobs import _shard
from walnutpoint_entry.jobs import _writer
from walnutpoint_entry import tasks

__all__ = ('Flusher',)

_LOG = logs.get_logger(__name__)
_RETRY_MAX_S: typing.Final = 10.0
_JOBS_PER_WRITE_MAX: typing.Final = 2000


class Flusher:
    """Batches all changes into at most one write per period."""

    __slots__ = (
        '_configurations',
        '_failures',
        '_is_writing',
        '_next_s',
        '_owners',
        '_settings',
        '_tasks',
        '_timer',
        '_writer',
    )

    def __init__(
        self,
        timer: timers.Timer,
        settings: _ports.JobSettings,
        configurations: _ports.ConfigurationSource,
        writer: _writer.ProgressWriter,
        owners: _owners.Owners,
        task_group: anyio.abc.TaskGroup,
    ) -> None:
        self._timer = timer
        self._settings = settings
        self._configurations = configurations
        self._writer = writer
        self._owners = owners
        self._tasks = task_group
        self._next_s = 0.0
        self._failures = 0
        self._is_writing = False

    def flush_if_due(
        self, shards: collections.abc.Iterable[_shard.Shard]
    ) -> None:
        """Start a write if one is due."""
        now_s = self._timer.now_s()
        owned = tuple(shards)
        for shard in owned:
            self._pass_changes(shard, now_s)
        if self._is_writing or now_s < self._next_s:
            return
        ended = _ended_unrecorded(owned)
        has_acknowledgeable = any(
            not ended_attempt.must_record
            for shard in owned
            for ended_attempt in shard.ended_attempts.values()
        )
        if (
            not ended
            and not has_acknowledgeable
            and not self._writer.is_due(now_s)
        ):
            return
        self._is_writing = True
        self._next_s = now_s + self._settings.write_period_s
        self._tasks.start_soon(self._run, owned, ended)

    def _pass_changes(self, shard: _shard.Shard, now_s: float) -> None:
        changes = shard.changes
        if changes.has_urgent or changes.has_deferrable:
            self._writer.mark_changed(shard.index, now_s, changes.has_urgent)
            changes.has_urgent = False
            changes.has_deferrable = False

    async def _run(
        self,
        shards: tuple[_shard.Shard, ...],
        ended: tuple[_model.Job, ...],
    ) -> None:
        try:
            await self._write(shards, ended)
        finally:
            self._is_writing = False

    async def _write(
        self,
        shards: tuple[_shard.Shard, ...],
        ended: tuple[_model.Job, ...],
    ) -> None:
        now_s = self._timer.now_s()
        ended_before = {
            shard.index: dict(shard.ended_attempts) for shard in shards
        }
        is_ok = True
        if ended:
            is_ok = await self._finish(ended)
        # Jobs recorded as ended need no progress entry any more.
        written: frozenset[int] = frozenset()
        if self._writer.is_due(now_s):
            reply = await self._writer.flush(now_s)
            is_ok = is_ok and reply.is_ok()
            written = reply.ok if reply.is_ok() else written
        self._back_off(is_ok)
        for shard in shards:
            await self._acknowledge(
                shard, ended_before[shard.index], shard.index in written
            )

    async def _finish(self, ended: tuple[_model.Job, ...]) -> bool:
        names = tuple(job.item.name for job in ended)
        reply = await self._configurations.finish(names)
        if reply.is_error():
            _LOG.warning(
                'jobs_not_finished',
                jobs=len(names),
                kind=reply.error.failure.kind.value,
            )
            return False
        for job in ended:
            job.is_end_recorded = True
        return True

    def _back_off(self, is_ok: bool) -> None:
        self._failures = 0 if is_ok else self._failures + 1
        if is_ok:
            return
        wait_s = self._settings.write_period_s * 2.0 ** min(self._failures, 10)
        self._next_s = self._timer.now_s() + min(wait_s, _RETRY_MAX_S)

    async def _acknowledge(
        self,
        shard: _shard.Shard,
        ended: dict[tuple[str, tasks.TaskKey, int], _reports.EndedAttempt],
        is_written: bool,
    ) -> None:
        by_owner = collections.defaultdict(list)
        for key, ended_attempt in ended.items():
            job = shard.jobs.get(ended_attempt.report.key.job)
            is_end_recorded = job is None or job.is_end_recorded
            if is_written or is_end_recorded or not ended_attempt.must_record:
                by_owner[ended_attempt.owner].append(
                    (key, ended_attempt.report)
                )
        for owner, pairs in by_owner.items():
            client = self._owners.client(owner)
            if not self._owners.may_act(shard):
                continue
            if client is None:
                if self._owners.has_left(owner):
                    for key, _ in pairs:
                        shard.ended_attempts.pop(key, None)
                continue
            reply = await client.acknowledge(
                shard.index, [report for _, report in pairs]
            )
            if reply.is_ok():
                for key, _ in pairs:
                    shard.ended_attempts.pop(key, None)


def _ended_unrecorded(
    shards: tuple[_shard.Shard, ...],
) -> tuple[_model.Job, ...]:
    found = [
        job
        for shard in shards
        for job in shard.jobs.values()
        if job.ending is not None and not job.is_end_recorded
    ]
    return tuple(found[:_JOBS_PER_WRITE_MAX])
