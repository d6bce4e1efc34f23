"""Removes final jobs after their retention period."""

from __future__ import annotations

import typing

from walnutpoint_core import logs
from walnutpoint_core import ports as core_ports
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _state

__all__ = ('Retention',)

_LOG: typing.Final = logs.get_logger('retention')
_PERIOD_S: typing.Final = 5.0
# Three keys per job and one guard fit the 32 entries of a commit.
_JOBS_PER_COMMIT: typing.Final = 10


class Retention:
    """Removes the keys of old final jobs, to keep takeovers short."""

    __slots__ = ('_context', '_first_final_s', '_store')

    def __init__(
        self, context: _context.Context, store: core_ports.WatchableStore
    ) -> None:
        self._context = context
        self._store = store
        # When this term first saw each job as final.
        self._first_final_s: dict[str, float] = {}

    async def run(self) -> None:
        """Remove expired jobs until cancelled."""
        async for now_s in self._context.timer.subscribe(lambda: _PERIOD_S):
            expired = self._expired_jobs(now_s)
            for start in range(0, len(expired), _JOBS_PER_COMMIT):
                await self._remove(expired[start : start + _JOBS_PER_COMMIT])

    def _expired_jobs(self, now_s: float) -> list[_state.JobProgress]:
        context = self._context
        expired = []
        for job_id, job in context.jobs.items():
            if job.state.final and job.saved_changes >= job.changes:
                seen_s = self._first_final_s.setdefault(job_id, now_s)
                if now_s - seen_s > context.settings.keep_final_s:
                    expired.append(job)
        return expired

    async def _remove(self, jobs: list[_state.JobProgress]) -> None:
        context = self._context
        removed: list[str] = []
        for job in jobs:
            job_id = job.document.job_id
            removed.append(_keys.job_key(job_id))
            removed.append(_keys.cancel_key(job_id))
            removed.append(_keys.record_key(job_id))
        guard = core_ports.Guard(_keys.SCHEDULER, context.token)
        reply = await self._store.commit(
            core_ports.Batch((guard,), (), tuple(removed))
        )
        if reply.is_error() or not reply.ok.applied:
            _LOG.info('jobs.not_removed', count=len(jobs))
            return
        for job in jobs:
            context.jobs.pop(job.document.job_id, None)
            self._first_final_s.pop(job.document.job_id, None)
        _LOG.info('jobs.removed', count=len(jobs))
