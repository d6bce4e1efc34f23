"""Submissions of jobs by client accounts."""

from __future__ import annotations

import collections.abc
import enum
import typing

import anyio
import expression
import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_core import ports
from walnutpoint_core import resources
from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _leadership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _outages
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import _relay
from walnutpoint_scheduler import _term
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import admission
from walnutpoint_scheduler import document
from walnutpoint_scheduler.submission import _cancellations
from walnutpoint_scheduler.submission import _submit_call

__all__ = (
    'Submissions',
    'SubmitOutcome',
)

_LOG: typing.Final = logs.get_logger('submission')
_SUBMITTED: typing.Final = metrics.Counter(
    'submissions', 'Jobs handed in by outcome.'
)
# How long an in-doubt write is retried before its outcome is reported as
# unknown: callers wait for some 3 s, and may not retry after that answer.
_REPEAT_MAX_S: typing.Final = 2.5
_NO_RESOURCES: typing.Final = resources.Resources()
_TOO_LARGE: typing.Final = errors.ErrorKind.TOO_LARGE
_CANCELLED: typing.Final = errors.ErrorKind.CANCELLED
_RETRY_S: typing.Final = 0.05
# How long to look up whether a hopeless job is a repeat. A call to a slow
# store takes 0.3 s; the shortest objectives of a few seconds allow twice that.
_LOOKUP_MAX_S: typing.Final = 0.4
_PEER_TIMEOUT_S: typing.Final = 0.4
# How long a call is held near the end of an outage before it is refused, as a
# share of the caller's remaining time. The caller retries after as long again,
# so that half of the callers are held whenever the outage ends.
_HOLD_SHARE: typing.Final = 1 / 3
# Concurrently held calls, to bound memory.
_HELD_CALLS_MAX: typing.Final = 64


class SubmitOutcome(enum.Enum):
    """Outcome of an accepted submission: newly stored or repeated."""

    NEW = 'new'
    KNOWN = 'known'


class Submissions:
    """Stores jobs and cancellations, and reports only certain outcomes."""

    __slots__ = (
        '_account',
        '_cancellations',
        '_capacities',
        '_gate',
        '_held',
        '_leadership',
        '_peers',
        '_spawn',
        '_store',
        '_term',
        '_timer',
    )

    def __init__(
        self,
        store: _relay.RelayedStore,
        leadership: _leadership.Leadership,
        peers: _peers.Peers,
        clock: timer.Timer,
        term: collections.abc.Callable[[], _term.Term | None],
        spawn: collections.abc.Callable[..., None],
        account: collections.abc.Callable[[str], accounts.Account | None],
        gate: admission.AdmissionGate,
    ) -> None:
        self._account = account
        self._gate = gate
        self._store = store
        self._leadership = leadership
        self._peers = peers
        self._timer = clock
        # The term of this process while it is the scheduler.
        self._term = term
        # Notifies the scheduler, which may be paused, in a separate task.
        self._spawn = spawn
        self._cancellations = _cancellations.Cancellations(
            store, clock, self._notify_cancel
        )
        # Number of calls that wait for the store to recover.
        self._held = 0
        # Every worker capacity ever seen, by pool: no job is refused because
        # a worker is away for a while.
        self._capacities: dict[str, set[resources.Resources]] = {}
        leadership.on_capacities = self.add_capacities
        leadership.on_backlog = gate.note

    def add_capacities(
        self, pools: collections.abc.Iterable[_messages.PoolCapacities]
    ) -> None:
        """Record worker capacities by pool."""
        for pool_capacities in pools:
            known = self._capacities.setdefault(pool_capacities.pool, set())
            known.update(pool_capacities.capacities)

    def _fits_no_worker(self, job: document.Job) -> bool:
        """Return whether a task needs more than any known worker has."""
        term = self._term()
        if term is not None:
            self.add_capacities(term.pool_capacities())
        pool = job.accepted_by.pool if job.accepted_by else ''
        known = self._capacities.get(pool)
        if not known:
            return False
        return any(
            not any(capacity.covers(step.need) for capacity in known)
            for step in job.steps
        )

    def _exceeds_limit(self, job: document.Job) -> bool:
        """Return whether a step can never start within its account's limit."""
        account = self._account(job.account)
        limit = None if account is None else account.remaining(_NO_RESOURCES)
        if limit is None:
            return False
        return any(
            not limit.covers(
                step.charge.scaled(step.task_count)
                if step.gang
                else step.charge
            )
            for step in job.steps
        )

    def _with_terms(self, job: document.Job) -> document.Job:
        """Return a job with a copy of its account's terms."""
        account = self._account(job.account)
        if account is None:
            return job
        terms = accounts.Terms.of(account)
        return msgspec.structs.replace(job, accepted_for=terms)

    async def submit(
        self, job: document.Job, deadline_s: float
    ) -> expression.Result[SubmitOutcome, errors.Failure]:
        """Store a job exactly once, and accept it only when stored.

        An unanswered write may take effect seconds later. It is repeated
        until its outcome is certain; its guard lets it take effect once. If
        that takes too long the outcome is unknown, never a refusal. The
        answer precedes the caller's deadline even while a store call, which
        may take 2 s over all its routes, is pending.
        """
        job = self._with_terms(job)
        call = _submit_call.SubmitCall(job, self._timer.now_s(), deadline_s)
        if self._fits_no_worker(job):
            return self._refuse(call, errors.Failure(_TOO_LARGE))
        if self._exceeds_limit(job):
            detail = 'a step needs more at once than its account may have'
            return self._refuse(call, errors.Failure(_TOO_LARGE, detail))
        key = _keys.job_key(job.job_id)
        batch = ports.Batch(
            (ports.Guard(key, 0),),
            (ports.Put(key, document.encode_job(job)),),
        )
        if not await self._is_reachable(call):
            return self._refuse(call, self._outage_failure())
        refusal = await self._refusal_for_load(call)
        if refusal is not None:
            return self._refuse(call, refusal.failure, **refusal.fields)
        left_s = (
            deadline_s - _submit_call.ANSWER_RESERVE_S - self._timer.now_s()
        )
        reply: ports.CommitReply | None = None
        with anyio.move_on_after(min(left_s, _REPEAT_MAX_S)):
            reply = await self._store_job(batch)
            if reply is None:
                return self._refuse(call, self._outage_failure())
        if reply is None:
            lost = errors.ErrorKind.STORE_ANSWER_LOST
            return self._refuse(call, errors.Failure(lost))
        return await self._handle_reply(call, reply)

    async def _is_reachable(self, call: _submit_call.SubmitCall) -> bool:
        """Return whether the store answers now or within a short wait.

        While no host reaches the store, no other process can accept the job.
        Near the end of an outage, a refused caller would retry after a third
        of its remaining time, some 1 s, which urgent jobs can't spare.
        """
        if await self._store.check_available():
            return True
        if (
            _outages.is_recent(self._store.silent_s)
            or self._held >= _HELD_CALLS_MAX
        ):
            return False
        self._held += 1
        try:
            left_s = call.left_s(self._timer.now_s())
            return await self._store.wait_available(left_s * _HOLD_SHARE)
        finally:
            self._held -= 1

    async def _refusal_for_load(
        self, call: _submit_call.SubmitCall
    ) -> admission.Refusal | None:
        """Return why a job is hopeless, or None to store it.

        A repeat of a stored job is answered by the usual path, which also
        decides while the store can't tell whether it is one.
        """
        term = self._term()
        if term is not None:
            now_s = self._timer.now_s()
            self._gate.note(term.token, *term.backlog(), now_s)
        refusal = self._gate.refusal(call.job)
        if refusal is None:
            return None
        left_s = (
            call.left_s(self._timer.now_s()) - _submit_call.ANSWER_RESERVE_S
        )
        with anyio.move_on_after(min(_LOOKUP_MAX_S, left_s)):
            stored = await self._store.get(_keys.job_key(call.job.job_id))
            if stored.is_ok() and stored.ok is None:
                return refusal
        return None

    async def _store_job(self, batch: ports.Batch) -> ports.CommitReply | None:
        """Return the reply to a write, or None if it certainly failed.

        Retries without limit while the outcome is in doubt.
        """
        maybe_stored = False
        while True:
            reply = await self._store.commit(batch)
            if reply.is_ok():
                return reply.ok
            lost = errors.ErrorKind.STORE_ANSWER_LOST
            maybe_stored = maybe_stored or reply.error.kind is lost
            if not maybe_stored:
                return None
            await self._timer.sleep(_RETRY_S)

    def _outage_failure(self) -> errors.Failure:
        return _outages.failure(self._store.silent_s)

    def _refuse(
        self,
        call: _submit_call.SubmitCall,
        failure: errors.Failure,
        **inputs: object,
    ) -> expression.Result[SubmitOutcome, errors.Failure]:
        _SUBMITTED.add(failure.kind.value)
        _LOG.warning(
            'job.refused',
            **call.fields(self._timer.now_s()),
            kind=failure.kind.value,
            detail=failure.detail,
            **inputs,
        )
        return expression.Error(failure)

    async def cancel(
        self, job_id: str, caller: str, deadline_s: float
    ) -> expression.Result[bool, errors.Failure]:
        """Store a cancellation; return False where there is no such job.

        An account can't cancel jobs of another.
        """
        return await self._cancellations.cancel(job_id, caller, deadline_s)

    async def _handle_reply(
        self, call: _submit_call.SubmitCall, reply: ports.CommitReply
    ) -> expression.Result[SubmitOutcome, errors.Failure]:
        job = call.job
        fields = call.fields(self._timer.now_s())
        _SUBMITTED.add('accepted' if reply.applied else 'known')
        if reply.applied:
            _LOG.info('job.accepted', **fields, revision=reply.revision)
            self._notify_job(job)
            return expression.Ok(SubmitOutcome.NEW)
        for item in reply.conflicts:
            if document.is_reserved_marker(item.value):
                return self._refuse(call, errors.Failure(_CANCELLED))
            if not _is_same(item, job):
                return expression.Error(
                    errors.Failure(
                        errors.ErrorKind.KEY_MISMATCH,
                        'the identifier belongs to another job',
                    )
                )
        _LOG.info('job.known', **fields)
        if not any(
            document.is_final_marker(item.value) for item in reply.conflicts
        ):
            self._notify_job(job)
        return expression.Ok(SubmitOutcome.KNOWN)

    def _notify_job(self, job: document.Job) -> None:
        """Notify the scheduler at once, ahead of its watch."""
        term = self._term()
        if term is not None:
            term.add(job)
            return
        self._spawn(self._notify, _peers.JOB_PATH, document.encode_job(job))

    def _notify_cancel(self, job_id: str) -> None:
        term = self._term()
        if term is not None:
            term.cancel(job_id)
            return
        self._spawn(self._notify, _peers.CANCEL_PATH, job_id.encode())

    async def _notify(self, path: str, body: bytes) -> None:
        scheduler = self._leadership.scheduler
        if scheduler is None:
            return
        answer = await self._peers.post(
            scheduler.address, path, body, _PEER_TIMEOUT_S
        )
        if isinstance(answer, web.NoResponse):
            _LOG.info(
                'scheduler.not_told',
                path=path,
                scheduler=scheduler.name,
                detail=answer.detail,
            )


def _is_same(item: ports.StoredValue, job: document.Job) -> bool:
    """Return whether a stored document is the submitted job."""
    try:
        if document.is_final_marker(item.value):
            return document.owner(item.value) == job.account
        stored = document.decode_job(item.value)
    except decoding.UnreadableError:
        # The identifier is taken by an invalid document, which the scheduler
        # logs; the submitted job does not run.
        return False
    return (
        stored.account == job.account
        and stored.queue == job.queue
        and stored.steps == job.steps
    )
