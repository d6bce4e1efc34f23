"""The link to one peer: heartbeats, and calls while it answers them."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

import expression
import grpc
import grpc.aio

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import model
from walnutpoint_core import settings as settings_module
from walnutpoint_core import timer as timers
from walnutpoint_entry import ownership
from walnutpoint_entry.peers import _channel
from walnutpoint_entry.peers import _codec
from walnutpoint_entry.peers._generated import peer_pb2
from walnutpoint_entry.peers._generated import peer_pb2_grpc

__all__ = (
    'Link',
    'LinkObserver',
)

_RETIRED_PROBE_PERIOD_S: typing.Final = 0.5
_RETIRED_FAILED_PROBES_MAX: typing.Final = 4
_CALL_GRACE_S: typing.Final = 1.0
_HANDOVER_TIMEOUT_S: typing.Final = 1.0
_REFUSALS_TO_REPORT: typing.Final = 2

_LOG = logs.get_logger(__name__)

# The stubs are generated without types.
_Call: typing.TypeAlias = 'grpc.aio.UnaryUnaryCall[typing.Any, typing.Any]'


class LinkObserver(typing.Protocol):
    """The interface through which a link gets state and reports events."""

    def own_state(self) -> ownership.PeerState:
        """Return the state to send with a heartbeat."""

    def observe_heartbeat_reply(
        self, state: ownership.PeerState, sent_s: float
    ) -> None:
        """Record the reply to a heartbeat that was sent at sent_s."""

    def observe_connection_refused(self, member: ownership.Member) -> None:
        """Record that a peer's address refuses connections."""

    def observe_free_slots(
        self, member: ownership.Member, free_slots: int
    ) -> None:
        """Record the free slots that a peer reported with a result."""


class Link:
    """The channel to one peer, which is replaced when it falls silent."""

    __slots__ = (
        '_calls',
        '_channel',
        '_is_responsive',
        '_member',
        '_message_size_bytes',
        '_metadata',
        '_observer',
        '_refusals',
        '_retired',
        '_settings',
        '_stub',
        '_timer',
    )

    def __init__(
        self,
        member: ownership.Member,
        timer: timers.Timer,
        settings: settings_module.OwnershipSettings,
        message_size_bytes: int,
        token: str,
        observer: LinkObserver,
    ) -> None:
        self._member = member
        self._timer = timer
        self._settings = settings
        self._message_size_bytes = message_size_bytes
        self._metadata = ((_channel.TOKEN_HEADER, token),)
        self._observer = observer
        self._is_responsive = False
        self._refusals = 0
        self._retired: dict[asyncio.Task[None], grpc.aio.Channel] = {}
        self._open_channel()

    @property
    def member(self) -> ownership.Member:
        """Return the peer."""
        return self._member

    def is_responsive(self) -> bool:
        """Return whether the peer answered the last heartbeat."""
        return self._is_responsive

    async def run(self, ticks: collections.abc.AsyncIterable[float]) -> None:
        """Send a heartbeat at each tick until cancelled."""
        async for sent_s in ticks:
            await self._exchange_heartbeat(sent_s)

    async def drain(self) -> None:
        """Close the link, after its open calls if the peer is responsive."""
        # A member in a planned shutdown still completes its requests; their
        # outcome would be unknown if the calls were cut here. A silent member
        # won't answer any more, so its calls fail at once.
        try:
            if self._is_responsive:
                self._replace_channel()
                await asyncio.gather(*self._retired)
        finally:
            # A task cancelled before its first step runs none of its code.
            # So the channels are closed here; otherwise a caller would wait
            # until its deadline if the peer has just fallen silent.
            retired = dict(self._retired)
            for task in retired:
                task.cancel()
            for channel in (self._channel, *retired.values()):
                await channel.close()

    async def place(
        self, request: model.Request
    ) -> expression.Result[model.Answer, errors.Failure]:
        """Ask the peer to place a request on an endpoint that it owns."""
        return await self._send_request(
            request, 'Place', request.late_answer_s
        )

    async def serve(
        self, request: model.Request
    ) -> expression.Result[model.Answer, errors.Failure]:
        """Ask the peer to serve a request as the home of its key."""
        return await self._send_request(request, 'Serve')

    async def call(
        self,
        stub: collections.abc.Callable[[grpc.aio.Channel], typing.Any],
        method: str,
        message: typing.Any,
        timeout_s: float,
    ) -> expression.Result[typing.Any, errors.Failure]:
        """Call a method of another service of the peer."""
        if not self._is_responsive:
            return _unreachable(self._member)
        call = getattr(stub(self._channel), method)(
            message, timeout=timeout_s, metadata=self._metadata
        )
        reply = await self._await_call(call)
        return reply.map_error(self._answer_lost)

    async def release(self, message: peer_pb2.ReleaseMessage) -> bool:
        """Send released assets and return whether they were accepted."""
        return await self._send_handover('Release', message)

    async def import_keys(self, message: peer_pb2.KeyBatch) -> bool:
        """Send a batch of a shard's keys; return whether it was accepted."""
        return await self._send_handover('ImportKeys', message)

    def _open_channel(self) -> None:
        self._channel = _channel.dial(
            self._member.address, self._message_size_bytes
        )
        self._stub = peer_pb2_grpc.PeerStub(self._channel)
        self._calls: set[_Call] = set()

    async def _exchange_heartbeat(self, sent_s: float) -> None:
        reply = await _result_of(self._heartbeat(self._stub))
        if reply.is_error():
            if self._is_responsive:
                _LOG.warning(
                    'peer_silent',
                    peer=self._member.name,
                    address=self._member.address,
                    code=reply.error,
                )
            self._is_responsive = False
            self._count_refusal(reply.error)
            self._replace_channel()
            return
        if not self._is_responsive:
            _LOG.info(
                'peer_heard',
                peer=self._member.name,
                address=self._member.address,
            )
        self._is_responsive = True
        self._refusals = 0
        state = _codec.decode_state(reply.ok)
        self._observer.observe_heartbeat_reply(state, sent_s)

    def _count_refusal(self, code: str) -> None:
        # The first refusal may concern the old connection only; the second
        # one is of a new connection, and so of the address.
        is_refused = code == grpc.StatusCode.UNAVAILABLE.name
        self._refusals = self._refusals + 1 if is_refused else 0
        if self._refusals == _REFUSALS_TO_REPORT:
            self._observer.observe_connection_refused(self._member)

    def _heartbeat(self, stub: peer_pb2_grpc.PeerStub) -> _Call:
        return stub.Heartbeat(
            _codec.encode_state(self._observer.own_state()),
            timeout=self._settings.heartbeat_timeout_s,
            metadata=self._metadata,
        )

    def _replace_channel(self) -> None:
        # A middlebox may have lost the state of this connection: nothing on
        # it would be answered any more, while a new one works. The heartbeat
        # timeout detects this long before the kernel does.
        channel, calls = self._channel, self._calls
        self._open_channel()
        task = asyncio.ensure_future(self._retire_channel(channel, calls))
        self._retired[task] = channel
        task.add_done_callback(self._discard_retired)

    def _discard_retired(self, task: asyncio.Task[None]) -> None:
        self._retired.pop(task, None)

    async def _retire_channel(
        self,
        channel: grpc.aio.Channel,
        calls: set[_Call],
    ) -> None:
        """Close an old channel once its calls ended or can't be answered."""
        stub = peer_pb2_grpc.PeerStub(channel)
        failed_probes = 0
        try:
            while calls and failed_probes < _RETIRED_FAILED_PROBES_MAX:
                await self._timer.sleep(_RETIRED_PROBE_PERIOD_S)
                reply = await _result_of(self._heartbeat(stub))
                failed_probes = 0 if reply.is_ok() else failed_probes + 1
        finally:
            await channel.close()

    async def _send_request(
        self, request: model.Request, method: str, late_answer_s: float = 0.0
    ) -> expression.Result[model.Answer, errors.Failure]:
        if not self._is_responsive:
            return _unreachable(self._member)
        now_s = self._timer.now_s()
        call = getattr(self._stub, method)(
            _codec.encode_request(request, now_s),
            timeout=(
                request.deadline_at_s - now_s + late_answer_s + _CALL_GRACE_S
            ),
            metadata=self._metadata,
        )
        reply = await self._await_call(call)
        if reply.is_ok():
            self._observer.observe_free_slots(
                self._member, reply.ok.free_slots
            )
            return _codec.decode_result(reply.ok)
        return expression.Error(self._answer_lost(reply.error))

    def _answer_lost(self, code: str) -> errors.Failure:
        return errors.Failure(
            errors.ErrorKind.PEER_ANSWER_LOST,
            f'{self._member.name}: {code}',
        )

    async def _await_call(
        self, call: _Call
    ) -> expression.Result[typing.Any, str]:
        """Await a call, for which its channel stays open if retired."""
        calls = self._calls
        calls.add(call)
        try:
            return await _result_of(call)
        finally:
            calls.discard(call)

    async def _send_handover(
        self,
        method: str,
        message: peer_pb2.ReleaseMessage | peer_pb2.KeyBatch,
    ) -> bool:
        call = getattr(self._stub, method)(
            message, timeout=_HANDOVER_TIMEOUT_S, metadata=self._metadata
        )
        reply = await self._await_call(call)
        return reply.is_ok() and reply.ok.accepted


async def _result_of(call: _Call) -> expression.Result[typing.Any, str]:
    """Return the reply to a call, or the status code of its failure."""
    try:
        return expression.Ok(await call)
    except grpc.aio.AioRpcError as error:
        return expression.Error(error.code().name)
    except asyncio.CancelledError:
        # Closing a channel cancels its calls, which then raise as if the
        # calling task were cancelled: one silent peer would end the process.
        # Only a cancellation of this task itself is passed on.
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
        return expression.Error('CONNECTION_SILENT')


def _unreachable(
    member: ownership.Member,
) -> expression.Result[typing.Any, errors.Failure]:
    return expression.Error(
        errors.Failure(
            errors.ErrorKind.PEER_UNREACHABLE,
            f'{member.name} does not answer heartbeats',
        )
    )
