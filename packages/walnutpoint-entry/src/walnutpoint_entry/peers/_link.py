"""The link to one peer: heartbeats, and calls on a proven channel."""

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

_RETIRED_PROBE_S: typing.Final = 0.5
_RETIRED_SILENT_PROBES: typing.Final = 4
_CALL_GRACE_S: typing.Final = 1.0
_RELEASE_TIMEOUT_S: typing.Final = 1.0

_LOG = logs.get_logger(__name__)


class LinkObserver(typing.Protocol):
    """The parts that a link asks for its heartbeats and tells of answers."""

    def own_state(self) -> ownership.PeerState:
        """Return the state to send."""

    def observe_answer(
        self, state: ownership.PeerState, sent_s: float
    ) -> None:
        """Take the answer to a heartbeat."""


class Link:
    """One peer's channel; a silent one is replaced by a new one."""

    __slots__ = (
        '_calls',
        '_channel',
        '_heard',
        '_member',
        '_message_size_bytes',
        '_metadata',
        '_observer',
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
        self._heard = False
        self._retired: set[asyncio.Task[None]] = set()
        self._dial()

    @property
    def member(self) -> ownership.Member:
        """Return the peer."""
        return self._member

    def is_heard(self) -> bool:
        """Tell whether the last heartbeat on this channel was answered."""
        return self._heard

    async def run(self, ticks: collections.abc.AsyncIterable[float]) -> None:
        """Send heartbeats for ever."""
        try:
            async for sent_s in ticks:
                await self._beat(sent_s)
        finally:
            await self._close()

    async def place(
        self, request: model.Request
    ) -> expression.Result[model.Answer, errors.Failure]:
        """Ask the peer to place a request on an endpoint that it owns."""
        return await self._send_request(request, 'Place')

    async def serve(
        self, request: model.Request
    ) -> expression.Result[model.Answer, errors.Failure]:
        """Ask the peer to serve a request as the home of its key."""
        return await self._send_request(request, 'Serve')

    async def release(self, message: peer_pb2.ReleaseMessage) -> bool:
        """Send released assets and tell whether they were taken."""
        return await self._send_release('Release', message)

    async def import_keys(self, message: peer_pb2.KeyBatch) -> bool:
        """Send a part of a shard's key memory."""
        return await self._send_release('ImportKeys', message)

    def _dial(self) -> None:
        self._channel = _channel.dial(
            self._member.address, self._message_size_bytes
        )
        self._stub = peer_pb2_grpc.PeerStub(self._channel)
        self._calls: set[asyncio.Task[peer_pb2.ResultMessage]] = set()

    async def _beat(self, sent_s: float) -> None:
        try:
            answer = await self._stub.Heartbeat(
                _codec.encode_state(self._observer.own_state()),
                timeout=self._settings.heartbeat_timeout_s,
                metadata=self._metadata,
            )
        except grpc.aio.AioRpcError as error:
            if self._heard:
                _LOG.warning(
                    'peer_silent',
                    peer=self._member.name,
                    address=self._member.address,
                    code=error.code().name,
                )
            self._heard = False
            self._replace()
            return
        if not self._heard:
            _LOG.info(
                'peer_heard',
                peer=self._member.name,
                address=self._member.address,
            )
        self._heard = True
        self._observer.observe_answer(_codec.decode_state(answer), sent_s)

    def _replace(self) -> None:
        # Something between the two ends may have lost track of this
        # connection: nothing on it would ever be answered, while a new one
        # works. The application's own time-out notices it long before the
        # kernel does.
        channel, calls = self._channel, self._calls
        self._dial()
        task = asyncio.ensure_future(self._retire(channel, calls))
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)

    async def _retire(
        self,
        channel: grpc.aio.Channel,
        calls: set[asyncio.Task[peer_pb2.ResultMessage]],
    ) -> None:
        """Keep an old channel while its calls may still be answered."""
        stub = peer_pb2_grpc.PeerStub(channel)
        silent_probes = 0
        try:
            while calls and silent_probes < _RETIRED_SILENT_PROBES:
                await self._timer.sleep(_RETIRED_PROBE_S)
                silent_probes += 1
                try:
                    await stub.Heartbeat(
                        _codec.encode_state(self._observer.own_state()),
                        timeout=self._settings.heartbeat_timeout_s,
                        metadata=self._metadata,
                    )
                    silent_probes = 0
                except grpc.aio.AioRpcError:
                    continue
        finally:
            await channel.close()

    async def _send_request(
        self, request: model.Request, method: str
    ) -> expression.Result[model.Answer, errors.Failure]:
        if not self._heard:
            return _unreachable(self._member)
        now_s = self._timer.now_s()
        call = getattr(self._stub, method)(
            _codec.encode_request(request, now_s),
            timeout=request.deadline_at_s - now_s + _CALL_GRACE_S,
            metadata=self._metadata,
        )
        self._calls.add(call)
        calls = self._calls
        try:
            return _codec.decode_result(await call)
        except grpc.aio.AioRpcError as error:
            return expression.Error(
                errors.Failure(
                    errors.ErrorKind.PEER_ANSWER_LOST,
                    f'{self._member.name}: {error.code().name}',
                )
            )
        except asyncio.CancelledError:
            # Closing a channel cancels its calls; only a cancellation of
            # this very task may go on as one.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            return expression.Error(
                errors.Failure(
                    errors.ErrorKind.PEER_ANSWER_LOST,
                    f'{self._member.name}: the connection went silent',
                )
            )
        finally:
            calls.discard(call)

    async def _send_release(
        self,
        method: str,
        message: peer_pb2.ReleaseMessage | peer_pb2.KeyBatch,
    ) -> bool:
        try:
            reply = await getattr(self._stub, method)(
                message, timeout=_RELEASE_TIMEOUT_S, metadata=self._metadata
            )
        except grpc.aio.AioRpcError:
            return False
        return reply.accepted

    async def _close(self) -> None:
        for task in self._retired:
            task.cancel()
        await self._channel.close()


def _unreachable(
    member: ownership.Member,
) -> expression.Result[model.Answer, errors.Failure]:
    return expression.Error(
        errors.Failure(
            errors.ErrorKind.PEER_UNREACHABLE,
            f'{member.name} does not answer heartbeats',
        )
    )
