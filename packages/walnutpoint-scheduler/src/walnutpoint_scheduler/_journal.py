"""The journal: job records, committed in batches under the term's token."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

import anyio
import anyio.abc

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import ports
from walnutpoint_core import timer
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _record
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import document
from walnutpoint_scheduler import leases

__all__ = ('Journal',)

_LOG: typing.Final = logs.get_logger('journal')
# The platform's store accepts 32 entries a call: a guard and up to two puts
# for each job, and one guard for the token.
_JOBS_PER_COMMIT: typing.Final = 10
# Concurrent commits: enough for a burst of jobs while the store is slow.
_COMMITS_MAX: typing.Final = 12
# How long a change waits for others to share its commit.
_GROUP_DELAY_S: typing.Final = 0.005
# How long a deferrable change may wait: a small part of the slack of the
# shortest objective.
_DEFER_S: typing.Final = 0.08
# With slow commits a deferrable change waits for this many: a job's commits
# are serial, and a step's last end would wait for the commit of an earlier
# one.
_DEFER_COMMITS: typing.Final = 2.0
# Two commits to the slowest store; longer only in an outage.
_DEFER_MAX_S: typing.Final = 0.6
# How long a change waits for a commit of any other job.
_LATER_S: typing.Final = 1.0
# Weight of the newest commit in the moving average of commit times.
_COMMIT_TIME_GAIN: typing.Final = 0.25
# Pause after a failed commit: a dozen attempts in an outage of seconds.
_RETRY_S: typing.Final = 0.15


class Journal:
    """Writes records while the scheduler's key has the token's revision.

    A deposed scheduler's write fails on that guard, however late it arrives.
    A record's own revision is guarded as well: a write whose reply was lost
    may be applied seconds later, and would otherwise replace a newer record
    by an old one.
    """

    __slots__ = (
        '_commit_time_s',
        '_commits_in_flight',
        '_confirmation',
        '_dirty',
        '_flush_timer',
        '_in_flight',
        '_now_ms',
        '_on_lost',
        '_store',
        '_timer',
        '_token',
        '_waiters',
        '_wake_event',
        'commits',
        'failing_since_s',
        'rows',
    )

    def __init__(
        self,
        store: ports.WatchableStore,
        token: int,
        now_ms: collections.abc.Callable[[], int],
        clock: timer.Timer,
        on_lost: collections.abc.Callable[[str], None],
        confirmation: leases.Confirmation,
    ) -> None:
        """Create a journal; on_lost is called once the token is lost."""
        self._store = store
        self._token = token
        self._now_ms = now_ms
        self._timer = clock
        self._on_lost = on_lost
        self._confirmation = confirmation
        self._dirty: dict[str, _state.JobProgress] = {}
        self._flush_timer: asyncio.TimerHandle | None = None
        self._in_flight: set[str] = set()
        self._waiters: dict[str, list[tuple[int, asyncio.Future[None]]]] = {}
        self._wake_event = asyncio.Event()
        self._commits_in_flight = 0
        # Moving average of the commit time.
        self._commit_time_s = 0.0
        self.failing_since_s: float | None = None
        self.rows = 0
        self.commits = 0

    def note(self, job: _state.JobProgress, *, urgent: bool = True) -> None:
        """Write the job's record, at once or with later changes.

        If one of several tasks in a step ends, only the acknowledgement waits
        for the write: batched with the others it saves calls.
        """
        job.changes += 1
        self._dirty[job.document.job_id] = job
        if urgent:
            self._wake_event.set()
        else:
            defer_s = max(_DEFER_S, self._commit_time_s * _DEFER_COMMITS)
            self._flush_within(min(defer_s, _DEFER_MAX_S))

    def note_later(self, job: _state.JobProgress) -> None:
        """Write the job's record with the next commit of any job.

        For what workers tell again to a later term, so that it is worth no
        call of its own.
        """
        job.changes += 1
        self._dirty[job.document.job_id] = job
        self._flush_within(_LATER_S)

    def _flush_within(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        flush_s = loop.time() + delay_s
        if self._flush_timer is not None:
            if self._flush_timer.when() <= flush_s:
                return
            self._flush_timer.cancel()
        self._flush_timer = loop.call_at(flush_s, self._wake)

    def _wake(self) -> None:
        self._flush_timer = None
        self._wake_event.set()

    def saved(self, job: _state.JobProgress) -> asyncio.Future[None]:
        """Return a future that completes once the changes are stored."""
        future = asyncio.get_running_loop().create_future()
        if job.saved_changes >= job.changes:
            future.set_result(None)
        else:
            waiters = self._waiters.setdefault(job.document.job_id, [])
            waiters.append((job.changes, future))
        return future

    @property
    def pending(self) -> int:
        """Return the number of jobs with unsaved changes."""
        return len(self._dirty) + len(self._in_flight)

    async def run(self) -> None:
        """Write changed records until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wake_event.wait()
                self._wake_event.clear()
                await asyncio.sleep(_GROUP_DELAY_S)
                while self._commits_in_flight < _COMMITS_MAX:
                    jobs = self._take_batch()
                    if not jobs:
                        break
                    self._commits_in_flight += 1
                    tasks.start_soon(self._write, jobs)

    def _take_batch(self) -> list[_state.JobProgress]:
        jobs = []
        for job_id, job in self._dirty.items():
            if job_id not in self._in_flight:
                jobs.append(job)
                if len(jobs) == _JOBS_PER_COMMIT:
                    break
        for job in jobs:
            del self._dirty[job.document.job_id]
            self._in_flight.add(job.document.job_id)
        return jobs

    async def _write(self, jobs: list[_state.JobProgress]) -> None:
        changes = [(job.changes, job.state.value) for job in jobs]
        batch = self._batch(jobs)
        began_s = self._timer.now_s()
        reply = await self._store.commit(batch)
        took_s = self._timer.now_s() - began_s
        self._commit_time_s += _COMMIT_TIME_GAIN * (
            took_s - self._commit_time_s
        )
        self._commits_in_flight -= 1
        for job in jobs:
            self._in_flight.discard(job.document.job_id)
        revision = (
            self._stored_revision(batch, reply.ok) if reply.is_ok() else 0
        )
        if revision:
            self.commits += 1
            self.rows += len(jobs)
            if self.failing_since_s is not None:
                _LOG.info('journal.regained', pending=self.pending)
            self.failing_since_s = None
            self._confirmation.note_store(began_s)
            for job, (count, state) in zip(jobs, changes, strict=True):
                job.saved_state = state
                if (
                    _state.JobState(state).final
                    and not job.is_document_dropped
                ):
                    job.is_document_dropped = True
                    self._log_final(job)
                self._mark_saved(job, count, revision)
            self._wake_event.set()
            return
        for job in jobs:
            self._dirty[job.document.job_id] = job
        if reply.is_ok():
            self._refresh_revisions(jobs, reply.ok)
        else:
            self._note_failure(reply.error)
            await asyncio.sleep(_RETRY_S)
        self._wake_event.set()

    def _log_final(self, job: _state.JobProgress) -> None:
        """Log the time from which on callers see the job's end."""
        _LOG.info(
            'job.final',
            job=job.document.job_id,
            queue=job.document.queue,
            state=job.saved_state,
            after_ms=self._now_ms() - job.document.accepted_ms,
        )

    def _batch(self, jobs: list[_state.JobProgress]) -> ports.Batch:
        guards = [ports.Guard(_keys.SCHEDULER, self._token)]
        puts = []
        now_ms = self._now_ms()
        for job in jobs:
            key = _keys.record_key(job.document.job_id)
            guards.append(ports.Guard(key, job.record_revision))
            puts.append(ports.Put(key, _record.encode_record(job, now_ms)))
            if job.state.final and not job.is_document_dropped:
                # The next term reads all documents first: a final job's is
                # cut down to what still answers a late repeat.
                puts.append(
                    ports.Put(
                        _keys.job_key(job.document.job_id),
                        document.encode_final_marker(job.document.account),
                    )
                )
        return ports.Batch(tuple(guards), tuple(puts))

    def _mark_saved(
        self, job: _state.JobProgress, changes: int, revision: int
    ) -> None:
        job.record_revision = revision
        job.saved_changes = max(job.saved_changes, changes)
        waiters = self._waiters.get(job.document.job_id)
        if waiters is None:
            return
        waiting = []
        for count, future in waiters:
            if count > job.saved_changes:
                waiting.append((count, future))
            elif not future.done():
                future.set_result(None)
        if waiting:
            self._waiters[job.document.job_id] = waiting
        else:
            del self._waiters[job.document.job_id]

    def _stored_revision(
        self, batch: ports.Batch, reply: ports.CommitReply
    ) -> int:
        """Return the revision at which a batch is stored, or zero.

        A commit that is repeated after its reply was lost conflicts with
        itself. Another write would cost a call, whose reply may be lost in
        turn; comparing the stored records shows that they are its own.
        """
        if reply.applied:
            return reply.revision
        current = {item.key: item for item in reply.conflicts}
        claim = current.get(_keys.SCHEDULER)
        if claim is None or claim.revision != self._token:
            return 0
        written = {put.key: put.value for put in batch.puts}
        revisions = set()
        for guard in batch.guards:
            if guard.key == _keys.SCHEDULER:
                continue
            item = current.get(guard.key)
            if item is None:
                return 0
            if not _record.same_but_for_time(item.value, written[guard.key]):
                return 0
            revisions.add(item.revision)
        return revisions.pop() if len(revisions) == 1 else 0

    def _refresh_revisions(
        self, jobs: list[_state.JobProgress], reply: ports.CommitReply
    ) -> None:
        """Update the guards to the stored revisions.

        Only the holder of the token writes records, so another revision
        under the same token is an own write whose reply was lost. The
        record is then written over it.
        """
        current = {item.key: item.revision for item in reply.conflicts}
        token = current.get(_keys.SCHEDULER, 0)
        if token != self._token:
            self._on_lost(f'the scheduler key has revision {token}')
            return
        for job in jobs:
            key = _keys.record_key(job.document.job_id)
            job.record_revision = current.get(key, 0)

    def _note_failure(self, failure: errors.Failure) -> None:
        if self.failing_since_s is None:
            self.failing_since_s = self._timer.now_s()
            _LOG.warning(
                'journal.failing',
                kind=failure.kind.value,
                detail=failure.detail,
            )
