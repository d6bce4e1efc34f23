"""The store, through another process where this host can't reach it."""

from __future__ import annotations

import collections.abc
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import ports
from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import _store_calls

__all__ = ('RelayedStore',)

_LOG: typing.Final = logs.get_logger('store')
# After this many failures in a row other processes are asked first.
_FAILURES_MAX: typing.Final = 2
# How often the own way is tried again meanwhile.
_RETRY_S: typing.Final = 1.0
# Without an answer for this long, and with a failure, the store counts as
# down: longer than a call while it is slow, some 280 ms.
_DOWN_S: typing.Final = 0.35
# Between two questions in an outage, besides their timeouts: its end is
# noticed within some 0.1 s where it refuses, and 0.6 s where it is silent.
_OUTAGE_PROBE_S: typing.Final = 0.1
# Peers without a certain answer before an operation is given up on: each may
# take the whole timeout.
_RELAYS_MAX: typing.Final = 2
# Peers that are turned away as well: with half of the hosts turned away, one
# operation in 64 meets six of them first. In an outage each costs a call.
_REFUSALS_MAX: typing.Final = 6
_TIMEOUT_S: typing.Final = 0.7
# A process that has no way either is not asked again for this long.
_BLIND_S: typing.Final = 1.0
_AnswerT = typing.TypeVar('_AnswerT')


class RelayedStore:
    """Carries out each operation directly, or else through a peer.

    The platform may turn away single hosts for seconds while it serves the
    others. Repeating a commit another way is safe: its guards let it take
    effect once, and who commits compares what it finds.
    """

    __slots__ = (
        '_blind_until_s',
        '_direct',
        '_doubted_s',
        '_failures',
        '_members',
        '_peers',
        '_timer',
        '_tried_s',
        'answered_s',
        'calls',
        'relayed',
    )

    def __init__(
        self,
        direct: ports.WatchedStore,
        members: _membership.Membership,
        peers: _peers.Peers,
        clock: timer.Timer,
    ) -> None:
        self._direct = direct
        self._members = members
        self._peers = peers
        self._timer = clock
        self._failures = 0
        self._tried_s = 0.0
        # When the store was last said not to answer.
        self._doubted_s = 0.0
        self._blind_until_s: dict[str, float] = {}
        # When the store last answered, whichever way.
        self.answered_s = 0.0
        self.relayed = 0
        self.calls = _store_calls.StoreCalls(clock)

    @property
    def is_down(self) -> bool:
        """Return whether no way to the store has answered for a while."""
        return self._failures > 0 and self.silent_s > _DOWN_S

    @property
    def silent_s(self) -> float:
        """Return how long the store has not answered."""
        return self._timer.now_s() - self.answered_s

    def doubt(self) -> None:
        """Take another process's word that the store does not answer."""
        self._doubted_s = self._timer.now_s()

    async def is_certain(self) -> bool:
        """Return whether the store answers, asking it where in doubt."""
        if self.is_down:
            return False
        if self.answered_s >= self._doubted_s:
            return True
        answer = await self.get(_keys.SCHEDULER)
        return answer.is_ok()

    async def watch_outages(self) -> None:
        """Ask again and again while the store does not answer.

        In an outage callers are refused without a call, so that nobody
        else would notice its end.
        """
        question = _messages.StoreQuestion('get', _keys.SCHEDULER)
        async for _ in self._timer.subscribe(lambda: _OUTAGE_PROBE_S):
            if not self._failures:
                continue
            answer = await self._direct.get(_keys.SCHEDULER)
            self._note(answer)
            if answer.is_error():
                await self._relay(question)

    @property
    def reaches_directly(self) -> bool:
        """Return whether the newest direct calls were answered."""
        return self._failures < _FAILURES_MAX

    async def get(
        self, key: str
    ) -> expression.Result[ports.StoredValue | None, errors.Failure]:
        """Read one key."""
        self.calls.note('get', key)
        answer = await self._carry_out(
            lambda: self._direct.get(key),
            _messages.StoreQuestion('get', key),
        )
        if isinstance(answer, _messages.StoreAnswer):
            return expression.Ok(answer.value)
        return answer

    async def read(
        self, prefix: str
    ) -> expression.Result[ports.Snapshot, errors.Failure]:
        """Read every key below a prefix."""
        self.calls.note('read', prefix)
        answer = await self._carry_out(
            lambda: self._direct.read(prefix),
            _messages.StoreQuestion('read', prefix),
        )
        if isinstance(answer, _messages.StoreAnswer):
            return expression.Ok(typing.cast(ports.Snapshot, answer.snapshot))
        return answer

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> expression.Result[ports.Changes | None, errors.Failure]:
        """Wait for changes; a watch is never relayed."""
        self.calls.note('watch', prefix)
        answer = await self._direct.watch(prefix, after_revision, wait_s)
        # A watch may be cut, or hear nothing, while the store serves calls:
        # its failure says nothing of the way there.
        if answer.is_ok():
            self.answered_s = self._timer.now_s()
        return answer

    async def commit(
        self, batch: ports.Batch
    ) -> expression.Result[ports.CommitReply, errors.Failure]:
        """Apply a batch; STORE_ANSWER_LOST says that it may yet apply."""
        self.calls.note_commit(batch)
        answer = await self._carry_out(
            lambda: self._direct.commit(batch),
            _messages.StoreQuestion('commit', batch=batch),
        )
        if isinstance(answer, _messages.StoreAnswer):
            return expression.Ok(typing.cast(ports.CommitReply, answer.reply))
        return answer

    async def _carry_out(
        self,
        direct: collections.abc.Callable[
            [],
            collections.abc.Awaitable[
                expression.Result[_AnswerT, errors.Failure]
            ],
        ],
        question: _messages.StoreQuestion,
    ) -> expression.Result[_AnswerT, errors.Failure] | _messages.StoreAnswer:
        now_s = self._timer.now_s()
        maybe_applied = False
        failure: errors.Failure | None = None
        tried = self.reaches_directly or now_s - self._tried_s > _RETRY_S
        if tried:
            self._tried_s = now_s
            answer = await direct()
            self._note(answer)
            if answer.is_ok():
                return answer
            failure = answer.error
            maybe_applied = _may_apply(failure)
        relayed = await self._relay(question)
        if isinstance(relayed, _messages.StoreAnswer):
            return relayed
        maybe_applied = maybe_applied or relayed
        if not tried:
            # No other process has a way either: the own one is the last.
            self._tried_s = self._timer.now_s()
            answer = await direct()
            self._note(answer)
            if answer.is_ok():
                return answer
            failure = answer.error
            maybe_applied = maybe_applied or _may_apply(failure)
        kind = errors.ErrorKind.STORE_UNAVAILABLE
        if maybe_applied and question.operation == 'commit':
            kind = errors.ErrorKind.STORE_ANSWER_LOST
        detail = failure.detail if failure else 'no way to the store'
        return expression.Error(errors.Failure(kind, detail))

    async def _relay(
        self, question: _messages.StoreQuestion
    ) -> _messages.StoreAnswer | bool:
        """Return a peer's answer, or whether a commit may have applied."""
        maybe_applied = False
        # How many peers gave no answer, or none that is certain, and how many
        # have no way either.
        silent = refused = 0
        for member in self._members.others(self._timer.now_s()):
            now_s = self._timer.now_s()
            if self._blind_until_s.get(member.address, 0.0) > now_s:
                continue
            if self._members.is_shunned(member, now_s):
                continue
            if silent >= _RELAYS_MAX or refused >= _REFUSALS_MAX:
                break
            answer = await self._peers.ask(
                member.address,
                _peers.STORE_PATH,
                question,
                _messages.StoreAnswer,
                _TIMEOUT_S,
            )
            if isinstance(answer, web.Loss):
                self._members.shun(member.address, self._timer.now_s())
                maybe_applied = maybe_applied or answer.maybe_sent
                silent += 1
            elif answer.failure_kind:
                # The store turns that host away as well, which it says
                # within some ms. With half of the hosts turned away, two
                # such answers in a row are no reason to refuse a caller.
                self._blind_until_s[member.address] = (
                    self._timer.now_s() + _BLIND_S
                )
                lost = errors.ErrorKind.STORE_ANSWER_LOST.value
                is_lost = answer.failure_kind == lost
                maybe_applied = maybe_applied or is_lost
                silent += is_lost
                refused += not is_lost
            else:
                self.relayed += 1
                self.answered_s = self._timer.now_s()
                return answer
        return maybe_applied

    def _note(
        self, answer: expression.Result[typing.Any, errors.Failure]
    ) -> None:
        if answer.is_ok():
            if self._failures >= _FAILURES_MAX:
                _LOG.info('store.regained', failures=self._failures)
            self._failures = 0
            self.answered_s = self._timer.now_s()
            return
        self._failures += 1
        if self._failures == _FAILURES_MAX:
            _LOG.warning(
                'store.lost',
                kind=answer.error.kind.value,
                detail=answer.error.detail,
            )


def _may_apply(failure: errors.Failure) -> bool:
    return failure.kind is errors.ErrorKind.STORE_ANSWER_LOST


async def serve(
    store: ports.WatchedStore, question: _messages.StoreQuestion
) -> _messages.StoreAnswer:
    """Carry out an operation for a process without a way of its own."""
    if question.operation == 'get':
        got = await store.get(question.key)
        if got.is_ok():
            return _messages.StoreAnswer(value=got.ok)
        return _failed(got.error)
    if question.operation == 'read':
        read = await store.read(question.key)
        if read.is_ok():
            return _messages.StoreAnswer(snapshot=read.ok)
        return _failed(read.error)
    if question.batch is None:
        return _messages.StoreAnswer(
            errors.ErrorKind.BAD_REQUEST.value, 'no batch'
        )
    reply = await store.commit(question.batch)
    if reply.is_ok():
        return _messages.StoreAnswer(reply=reply.ok)
    return _failed(reply.error)


def _failed(failure: errors.Failure) -> _messages.StoreAnswer:
    return _messages.StoreAnswer(failure.kind.value, failure.detail)
