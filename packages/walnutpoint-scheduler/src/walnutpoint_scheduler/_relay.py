"""The store, through another process where this host can't reach it."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

import anyio
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
from walnutpoint_scheduler import _store_peers

__all__ = ('RelayedStore',)

_LOG: typing.Final = logs.get_logger('store')
# After this many failures in a row other processes are asked first.
_FAILURES_MAX: typing.Final = 2
# Without an answer for this long, and with a failure, the store counts as
# down: longer than a call while it is slow, some 280 ms.
_DOWN_S: typing.Final = 0.35
# Between two questions in an outage, besides their timeouts: its end is
# noticed within some 0.1 s where it refuses, and 0.6 s where it is silent.
_OUTAGE_PROBE_S: typing.Final = 0.1
# An own call without an answer for this many usual ones is put through a peer
# as well: its timeout is 0.45 to 0.9 s, of some 0.9 s that a short job has to
# spare. Calls twice as late as that are rare while the store is well.
_LATE_FACTOR: typing.Final = 2.0
# The same before the first answer: longer than a call to a slow store.
_FIRST_LATE_S: typing.Final = 0.35
_AnswerT = typing.TypeVar('_AnswerT')
_Call = collections.abc.Callable[
    [],
    collections.abc.Coroutine[
        typing.Any, typing.Any, expression.Result[_AnswerT, errors.Failure]
    ],
]


class RelayedStore:
    """Carries out each operation directly, or else through a peer.

    The platform may turn away single hosts for seconds while it serves the
    others, or a host may be cut off from it. Repeating a commit another way is
    safe: its guards let it take effect once, and who commits compares what it
    finds. While the own way fails, only watch_outages() tries it: one of a
    hundred hosts takes a job in some two seconds, and each such job would wait
    for a timeout.
    """

    __slots__ = (
        '_carried_since_s',
        '_direct',
        '_doubted_s',
        '_failed_s',
        '_failures',
        '_returned',
        '_round_trips',
        '_running',
        '_through',
        '_timer',
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
        self._through = _store_peers.StorePeers(members, peers, clock)
        self._timer = clock
        self._failures = 0
        self._round_trips = web.RoundTrips()
        # Own calls that a peer was faster than; their outcome still tells.
        self._running: set[asyncio.Task[typing.Any]] = set()
        # Since when peers have carried out what this host could not, and when
        # the newest own call began that failed.
        self._carried_since_s = 0.0
        self._failed_s = 0.0
        # When the store was last said not to answer.
        self._doubted_s = 0.0
        # Set at each answer, and then replaced.
        self._returned = asyncio.Event()
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

    async def comes_back(self, within_s: float) -> bool:
        """Return whether the store answers within a time, and once it does."""
        with anyio.move_on_after(within_s):
            while self.is_down:
                await self._returned.wait()
            return True
        return False

    async def watch_outages(self) -> None:
        """Ask again and again while the store does not answer.

        In an outage callers are refused without a call, so that nobody
        else would notice its end.
        """
        question = _messages.StoreQuestion('get', _keys.SCHEDULER)
        async for _ in self._timer.subscribe(lambda: _OUTAGE_PROBE_S):
            if not self._failures:
                continue
            answer = await self._begin(
                lambda: self._direct.get(_keys.SCHEDULER), question
            )
            if answer.is_error():
                await self._relay(question)

    @property
    def reaches_directly(self) -> bool:
        """Return whether the newest direct calls were answered."""
        return self._failures < _FAILURES_MAX

    @property
    def is_carried(self) -> bool:
        """Return whether peers reach the store, and this host does not.

        Not where the own way was last tried before a peer's: when an outage
        of the store ends, some are answered earlier.
        """
        if self.reaches_directly or self.silent_s > _DOWN_S:
            return False
        return self._failed_s > self._carried_since_s > 0.0

    async def reaches_now(self) -> bool:
        """Return whether the own way works, by one call."""
        if not self.reaches_directly:
            return False
        question = _messages.StoreQuestion('get', _keys.SCHEDULER)
        with anyio.move_on_after(_DOWN_S):
            answer = await self._begin(
                lambda: self._direct.get(_keys.SCHEDULER), question
            )
            return answer.is_ok()
        return False

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
        direct: _Call[_AnswerT],
        question: _messages.StoreQuestion,
    ) -> expression.Result[_AnswerT, errors.Failure] | _messages.StoreAnswer:
        own = self._begin(direct, question) if self.reaches_directly else None
        try:
            if own is not None:
                await asyncio.wait({own}, timeout=self._late_s(question))
                if own.done() and own.result().is_ok():
                    return own.result()
            relayed = await self._relay(question, own)
            if isinstance(relayed, _messages.StoreAnswer):
                return relayed
            # No other process has a way either: the own one is the last.
            own = own or self._begin(direct, question)
            answer = await own
        except asyncio.CancelledError:
            if own is not None:
                own.cancel()
            raise
        if answer.is_ok():
            return answer
        failure = answer.error
        kind = errors.ErrorKind.STORE_UNAVAILABLE
        if question.operation == 'commit' and (relayed or _may_apply(failure)):
            kind = errors.ErrorKind.STORE_ANSWER_LOST
        return expression.Error(errors.Failure(kind, failure.detail))

    def _late_s(self, question: _messages.StoreQuestion) -> float | None:
        """Return how long an own call is waited for alone."""
        if question.operation == 'read':
            # Pages take long on a weak link, and would on a peer's as well.
            return None
        usual_s = self._round_trips.usual_s
        if usual_s is None:
            return _FIRST_LATE_S
        return usual_s * _LATE_FACTOR

    def _begin(
        self,
        direct: _Call[_AnswerT],
        question: _messages.StoreQuestion,
    ) -> asyncio.Task[expression.Result[_AnswerT, errors.Failure]]:
        """Begin an own call, which goes on also where a peer is faster."""
        began_s = self._timer.now_s()

        async def carry_out() -> expression.Result[_AnswerT, errors.Failure]:
            answer = await direct()
            if answer.is_ok() and question.operation != 'read':
                self._round_trips.observe(self._timer.now_s() - began_s)
            elif answer.is_error():
                self._failed_s = began_s
            self._note(answer)
            return answer

        task = asyncio.create_task(carry_out())
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task

    async def _relay(
        self,
        question: _messages.StoreQuestion,
        own: asyncio.Task[typing.Any] | None = None,
    ) -> _messages.StoreAnswer | bool:
        """Return a peer's answer, or whether a commit may have applied.

        An own call on its way that succeeds meanwhile ends the wait.
        """
        through = asyncio.create_task(self._through.ask(question))
        waiting: set[asyncio.Task[typing.Any]] = {through}
        if own is not None and not own.done():
            waiting.add(own)
        try:
            while through in waiting:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                if own in done and own.result().is_ok():
                    return True
        finally:
            through.cancel()
        answer = through.result()
        if isinstance(answer, _messages.StoreAnswer):
            self.relayed += 1
            self._note_answer()
            self._carried_since_s = self._carried_since_s or self.answered_s
        else:
            self._carried_since_s = 0.0
        return answer

    def _note(
        self, answer: expression.Result[typing.Any, errors.Failure]
    ) -> None:
        if answer.is_ok():
            if self._failures >= _FAILURES_MAX:
                _LOG.info('store.regained', failures=self._failures)
            self._failures = 0
            self._carried_since_s = 0.0
            self._note_answer()
            return
        self._failures += 1
        if self._failures == _FAILURES_MAX:
            _LOG.warning(
                'store.lost',
                silent_s=round(self.silent_s, 3),
                kind=answer.error.kind.value,
                detail=answer.error.detail,
            )

    def _note_answer(self) -> None:
        self.answered_s = self._timer.now_s()
        self._returned.set()
        self._returned = asyncio.Event()


def _may_apply(failure: errors.Failure) -> bool:
    return failure.kind is errors.ErrorKind.STORE_ANSWER_LOST
