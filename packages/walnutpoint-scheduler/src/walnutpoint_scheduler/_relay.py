"""Store calls, relayed by other processes if direct ones fail."""

from __future__ import annotations

import asyncio
import typing

import anyio
import expression

from walnutpoint_core import errors
from walnutpoint_core import ports
from walnutpoint_core import timer
from walnutpoint_scheduler import _direct_calls
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import _store_availability
from walnutpoint_scheduler import _store_calls
from walnutpoint_scheduler import _store_peers

__all__ = ('RelayedStore',)

# Interval of store probes in an outage, and how many may be pending.
_OUTAGE_PROBE_S: typing.Final = 0.1
_OUTAGE_PROBES_MAX: typing.Final = 3
_ReplyT = typing.TypeVar('_ReplyT')


class RelayedStore:
    """Executes each operation directly, or else through a peer.

    The platform may refuse single hosts for seconds while it serves others,
    or a host may be disconnected from it. Repeating a commit through a peer is
    safe: its guards let it apply once, and callers compare what is stored.
    While direct calls fail, only watch_outages() makes them: each of a hundred
    hosts accepts a job every two seconds or so, and each such job would wait
    for a timeout.
    """

    __slots__ = (
        '_availability',
        '_direct',
        '_direct_calls',
        '_is_relaying',
        '_peers',
        '_probes_pending',
        '_relayed_since_s',
        '_suspected_s',
        '_timer',
        'calls',
        'relayed',
    )

    def __init__(
        self,
        direct: ports.WatchableStore,
        members: _membership.Membership,
        peers: _peers.Peers,
        clock: timer.Timer,
    ) -> None:
        self._direct = direct
        self._peers = _store_peers.StorePeers(members, peers, clock)
        self._timer = clock
        self._availability = _store_availability.StoreAvailability(clock)
        self._direct_calls = _direct_calls.DirectCalls(
            clock, self._note_outcome
        )
        # When peers began to execute what this host could not.
        self._relayed_since_s = 0.0
        # When the store was last reported not to answer.
        self._suspected_s = 0.0
        # Direct probes of the store that are pending in an outage.
        self._probes_pending = 0
        self._is_relaying = False
        self.relayed = 0
        self.calls = _store_calls.StoreCalls(clock)

    @property
    def is_down(self) -> bool:
        """Return whether the store answered neither directly nor relayed."""
        return self._availability.is_down

    @property
    def silent_s(self) -> float:
        """Return the time since the last answer of the store."""
        return self._availability.silent_s

    @property
    def answered_s(self) -> float:
        """Return when the store last answered, directly or relayed."""
        return self._availability.answered_s

    def note_suspicion(self) -> None:
        """Record a report that the store does not answer."""
        self._suspected_s = self._timer.now_s()

    async def check_available(self) -> bool:
        """Return whether the store answers; call it if suspected."""
        if self.is_down:
            return False
        if self.answered_s >= self._suspected_s:
            return True
        reply = await self.get(_keys.SCHEDULER)
        return reply.is_ok()

    async def wait_available(self, within_s: float) -> bool:
        """Wait until the store answers; return False after the timeout."""
        return await self._availability.wait_available(within_s)

    async def watch_outages(self) -> None:
        """Probe the store while it does not answer.

        In an outage callers are refused without a call, so nothing else
        would detect its end.
        """
        async with anyio.create_task_group() as probes:
            async for _ in self._timer.subscribe(lambda: _OUTAGE_PROBE_S):
                if (
                    self._availability.has_failed
                    and self._probes_pending < _OUTAGE_PROBES_MAX
                ):
                    self._probes_pending += 1
                    probes.start_soon(self._probe)

    async def _probe(self) -> None:
        """Probe the store directly; relay one probe at a time as well."""
        request = _messages.StoreRequest('get', _keys.SCHEDULER)
        reply = await self._direct_calls.begin(
            lambda: self._direct.get(_keys.SCHEDULER), request
        )
        self._probes_pending -= 1
        if reply.is_error() and not self._is_relaying:
            self._is_relaying = True
            await self._relay(request)
            self._is_relaying = False

    @property
    def reaches_directly(self) -> bool:
        """Return whether recent direct calls succeeded."""
        return self._availability.reaches_directly

    @property
    def is_relayed_only(self) -> bool:
        """Return whether peers reach the store, but this host does not.

        Requires a direct failure after the first relayed reply: when an
        outage of the store ends, some hosts are answered earlier.
        """
        if self.reaches_directly or self.is_down:
            return False
        return (
            self._direct_calls.failed_call_began_s
            > self._relayed_since_s
            > 0.0
        )

    async def check_direct(self) -> bool:
        """Return whether a direct call succeeds now."""
        if not self.reaches_directly:
            return False
        request = _messages.StoreRequest('get', _keys.SCHEDULER)
        with anyio.move_on_after(_direct_calls.SLOW_CALL_S):
            reply = await self._direct_calls.begin(
                lambda: self._direct.get(_keys.SCHEDULER), request
            )
            return reply.is_ok()
        return False

    async def get(
        self, key: str
    ) -> expression.Result[ports.StoredValue | None, errors.Failure]:
        """Read one key."""
        self.calls.note('get', key)
        reply = await self._execute(
            lambda: self._direct.get(key),
            _messages.StoreRequest('get', key),
        )
        if isinstance(reply, _messages.StoreReply):
            return expression.Ok(reply.value)
        return reply

    async def read(
        self, prefix: str
    ) -> expression.Result[ports.Snapshot, errors.Failure]:
        """Read every key below a prefix."""
        self.calls.note('read', prefix)
        reply = await self._execute(
            lambda: self._direct.read(prefix),
            _messages.StoreRequest('read', prefix),
        )
        if isinstance(reply, _messages.StoreReply):
            return expression.Ok(typing.cast(ports.Snapshot, reply.snapshot))
        return reply

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> expression.Result[ports.Changes | None, errors.Failure]:
        """Wait for changes; watches are never relayed."""
        self.calls.note('watch', prefix)
        reply = await self._direct.watch(prefix, after_revision, wait_s)
        # A watch may be cut, or time out, while the store serves calls: its
        # failure is no evidence against the direct path.
        if reply.is_ok():
            self._availability.note_answer()
        return reply

    async def commit(
        self, batch: ports.Batch
    ) -> expression.Result[ports.CommitReply, errors.Failure]:
        """Apply a batch; after STORE_ANSWER_LOST it may still apply."""
        self.calls.note_commit(batch)
        reply = await self._execute(
            lambda: self._direct.commit(batch),
            _messages.StoreRequest('commit', batch=batch),
        )
        if isinstance(reply, _messages.StoreReply):
            return expression.Ok(typing.cast(ports.CommitReply, reply.reply))
        return reply

    async def _execute(
        self,
        direct: _direct_calls.Call[_ReplyT],
        request: _messages.StoreRequest,
    ) -> expression.Result[_ReplyT, errors.Failure] | _messages.StoreReply:
        direct_call: asyncio.Task[typing.Any] | None = None
        try:
            if self.reaches_directly:
                direct_call = self._direct_calls.begin(direct, request)
                hedge_delay_s = self._direct_calls.hedge_delay_s(request)
                await asyncio.wait({direct_call}, timeout=hedge_delay_s)
                if direct_call.done() and direct_call.result().is_ok():
                    return direct_call.result()
            return await self._fall_back(direct, request, direct_call)
        except asyncio.CancelledError:
            if direct_call is not None:
                direct_call.cancel()
            raise

    async def _fall_back(
        self,
        direct: _direct_calls.Call[_ReplyT],
        request: _messages.StoreRequest,
        direct_call: asyncio.Task[typing.Any] | None,
    ) -> expression.Result[_ReplyT, errors.Failure] | _messages.StoreReply:
        """Relay, then call directly; retry when an outage ends.

        A request sent during a silent outage is lost, and would wait for a
        peer's timeout and the direct one: up to a second. A commit may be
        repeated: its guards let it apply once.
        """
        attempt = asyncio.create_task(
            self._relay_then_direct(direct, request, direct_call)
        )
        recovery = asyncio.create_task(self._availability.wait_recovery())
        try:
            await asyncio.wait(
                {attempt, recovery}, return_when=asyncio.FIRST_COMPLETED
            )
            if not attempt.done():
                retry = await self._direct_calls.begin(direct, request)
                if retry.is_ok():
                    return retry
            return await attempt
        finally:
            attempt.cancel()
            recovery.cancel()
            await asyncio.wait({attempt, recovery})

    async def _relay_then_direct(
        self,
        direct: _direct_calls.Call[_ReplyT],
        request: _messages.StoreRequest,
        direct_call: asyncio.Task[typing.Any] | None,
    ) -> expression.Result[_ReplyT, errors.Failure] | _messages.StoreReply:
        relayed = await self._relay(request, direct_call)
        if isinstance(relayed, _messages.StoreReply):
            return relayed
        # No peer reaches the store either: the direct call is the last resort.
        direct_call = direct_call or self._direct_calls.begin(direct, request)
        try:
            reply = await direct_call
        except asyncio.CancelledError:
            direct_call.cancel()
            raise
        if reply.is_ok():
            return reply
        failure = reply.error
        kind = errors.ErrorKind.STORE_UNAVAILABLE
        if request.operation == 'commit' and (
            relayed or _may_be_applied(failure)
        ):
            kind = errors.ErrorKind.STORE_ANSWER_LOST
        return expression.Error(errors.Failure(kind, failure.detail))

    async def _relay(
        self,
        request: _messages.StoreRequest,
        direct_call: asyncio.Task[typing.Any] | None = None,
    ) -> _messages.StoreReply | bool:
        """Return a peer's reply, or whether a commit may have applied.

        A pending direct call that succeeds meanwhile ends the wait.
        """
        relayed_call = asyncio.create_task(self._peers.request(request))
        waiting: set[asyncio.Task[typing.Any]] = {relayed_call}
        if direct_call is not None and not direct_call.done():
            waiting.add(direct_call)
        try:
            while relayed_call in waiting:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                if direct_call in done and direct_call.result().is_ok():
                    return True
        finally:
            relayed_call.cancel()
        reply = relayed_call.result()
        if isinstance(reply, _messages.StoreReply):
            self.relayed += 1
            self._availability.note_answer()
            self._relayed_since_s = self._relayed_since_s or self.answered_s
        else:
            self._relayed_since_s = 0.0
        return reply

    def _note_outcome(
        self, reply: expression.Result[typing.Any, errors.Failure]
    ) -> None:
        if reply.is_ok():
            self._relayed_since_s = 0.0
            self._availability.note_direct_answer()
        else:
            self._availability.note_failure(reply.error)


def _may_be_applied(failure: errors.Failure) -> bool:
    return failure.kind is errors.ErrorKind.STORE_ANSWER_LOST
