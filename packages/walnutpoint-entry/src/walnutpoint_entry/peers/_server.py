"""The gRPC server of the peer protocol."""

from __future__ import annotations

import collections.abc
import hmac
import typing

import expression
import grpc
import grpc.aio

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import model
from walnutpoint_core import timer as timers
from walnutpoint_entry import ownership
from walnutpoint_entry.peers import _channel
from walnutpoint_entry.peers import _codec
from walnutpoint_entry.peers._generated import peer_pb2
from walnutpoint_entry.peers._generated import peer_pb2_grpc

__all__ = (
    'PeerHandler',
    'PeerServer',
)

_LOG = logs.get_logger(__name__)


class PeerHandler(typing.Protocol):
    """The interface through which the server answers peers."""

    def own_state(self) -> ownership.PeerState:
        """Return the state of this process."""

    def observe_heartbeat(self, state: ownership.PeerState) -> None:
        """Record a heartbeat that a peer sent."""

    async def place(
        self, request: model.Request
    ) -> expression.Result[model.Answer, errors.Failure]:
        """Place a request, without queueing it, on an endpoint owned here."""

    async def serve(
        self, request: model.Request
    ) -> expression.Result[model.Answer, errors.Failure]:
        """Serve a request as the home of its key."""

    def receive_release(
        self,
        table_revision: int,
        released: tuple[ownership.ReleasedAsset, ...],
    ) -> None:
        """Take over released assets."""

    def import_keys(self, batch: peer_pb2.KeyBatch) -> bool:
        """Import a batch of a shard's keys; return whether it is valid."""

    def free_slots(self) -> int:
        """Return the free slots of this process."""

    def count_refused_token(self) -> None:
        """Count a call with a wrong token or none."""


class PeerServer:
    """Serves peers that present the shared token."""

    __slots__ = ('_server',)

    def __init__(
        self,
        address: str,
        token: str,
        message_size_bytes: int,
        timer: timers.Timer,
        handler: PeerHandler,
        registrars: collections.abc.Iterable[
            collections.abc.Callable[[grpc.aio.Server], None]
        ] = (),
    ) -> None:
        self._server = grpc.aio.server(
            interceptors=(_TokenInterceptor(token, handler),),
            options=_channel.server_options(message_size_bytes),
        )
        peer_pb2_grpc.add_PeerServicer_to_server(
            _Servicer(timer, handler), self._server
        )
        for register in registrars:
            register(self._server)
        self._server.add_insecure_port(address)

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def stop(self, grace_s: float) -> None:
        """Refuse new calls and cancel open ones after a grace period."""
        await self._server.stop(grace_s)


class _TokenInterceptor(grpc.aio.ServerInterceptor):
    """Refuses calls without the shared token."""

    def __init__(self, token: str, handler: PeerHandler) -> None:
        self._token = token.encode()
        self._handler = handler

    async def intercept_service(self, continuation, details):
        """Pass on a call only if its token is valid."""
        token = dict(details.invocation_metadata).get(
            _channel.TOKEN_HEADER, ''
        )
        if hmac.compare_digest(str(token).encode(), self._token):
            return await continuation(details)
        self._handler.count_refused_token()
        _LOG.warning('peer_refused', method=details.method)
        return grpc.unary_unary_rpc_method_handler(_refuse)


async def _refuse(request, context: grpc.aio.ServicerContext) -> None:
    await context.abort(grpc.StatusCode.UNAUTHENTICATED, 'wrong token')


class _Servicer(peer_pb2_grpc.PeerServicer):
    """Translates messages of peers to calls of the handler."""

    def __init__(self, timer: timers.Timer, handler: PeerHandler) -> None:
        self._timer = timer
        self._handler = handler

    async def Heartbeat(self, request, context) -> peer_pb2.Beat:
        """Reply to a heartbeat with the state of this process."""
        self._handler.observe_heartbeat(_codec.decode_state(request))
        return _codec.encode_state(self._handler.own_state())

    async def Place(self, request, context) -> peer_pb2.ResultMessage:
        """Place a request of a peer."""
        result = await self._handler.place(
            _codec.decode_request(request, self._timer.now_s())
        )
        return _codec.encode_result(result, self._handler.free_slots())

    async def Serve(self, request, context) -> peer_pb2.ResultMessage:
        """Serve a keyed request of a peer."""
        result = await self._handler.serve(
            _codec.decode_request(request, self._timer.now_s())
        )
        return _codec.encode_result(result, self._handler.free_slots())

    async def Release(self, request, context) -> peer_pb2.ReleaseReply:
        """Take over assets that a peer released."""
        released = tuple(
            ownership.ReleasedAsset(
                item.asset, item.epoch, item.released_epoch, item.in_use
            )
            for item in request.assets
        )
        self._handler.receive_release(request.table_revision, released)
        return peer_pb2.ReleaseReply(accepted=True)

    async def ImportKeys(self, request, context) -> peer_pb2.ReleaseReply:
        """Import a batch of a shard's keys from a peer."""
        is_accepted = self._handler.import_keys(request)
        return peer_pb2.ReleaseReply(accepted=is_accepted)
