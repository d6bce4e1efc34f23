"""Task calls between peers over gRPC."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import math
import typing

import expression
import grpc.aio
import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import timer as timers
from walnutpoint_entry import ownership
from walnutpoint_entry.tasks._generated import tasks_pb2
from walnutpoint_entry.tasks._generated import tasks_pb2_grpc
from walnutpoint_entry.tasks import _messages
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _resources
from walnutpoint_entry.tasks import _service

__all__ = (
    'CapacityHint',
    'PeerLink',
    'RemoteOwnerClient',
    'add_to_server',
)

_TIMEOUT_S: typing.Final = 8.0
_HINT_MAX_AGE_S: typing.Final = 1.0
# Limits how long a job keeps trying a peer that no longer frees capacity for
# it, for example after a restart.
_PENDING_MAX_S: typing.Final = 5.0

_KIND = errors.ErrorKind
_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER: typing.Final = msgspec.msgpack.Decoder(_messages.Envelope)
_REPLY_DECODER: typing.Final = msgspec.msgpack.Decoder(_messages.Reply)
_LOG = logs.get_logger(__name__)


class PeerLink(typing.Protocol):
    """The link to a peer that its client uses."""

    @property
    def member(self) -> ownership.Member:
        """Return the peer."""

    def is_responsive(self) -> bool:
        """Return whether the last heartbeat was answered."""

    async def call(
        self,
        stub: collections.abc.Callable[[grpc.aio.Channel], typing.Any],
        method: str,
        message: typing.Any,
        timeout_s: float,
    ) -> expression.Result[typing.Any, errors.Failure]:
        """Call a method of a stub on the newest channel.

        PEER_UNREACHABLE means that nothing was sent, PEER_ANSWER_LOST that
        the call may have been carried out.
        """


@dataclasses.dataclass(slots=True)
class CapacityHint:
    """The last known free capacity of a peer."""

    requested_s: float = -math.inf
    amounts: list[_resources.Resources] = dataclasses.field(
        default_factory=list
    )
    is_for_batch: bool = True
    displaceable: tuple[_resources.Resources, ...] = ()
    pending_until_s: dict[_model.TaskKey, float] = dataclasses.field(
        default_factory=dict
    )
    refresh_task: asyncio.Task[None] | None = None

    def subtract(self, need: _resources.Resources) -> None:
        """Subtract a started task from the free capacity."""
        for index, amount in enumerate(self.amounts):
            if amount.covers(need):
                self.amounts[index] = amount - need
                return

    def add_pending(self, key: _model.TaskKey, now_s: float) -> None:
        """Record that the peer is freeing capacity for a task."""
        self.pending_until_s = {
            pending_key: until_s
            for pending_key, until_s in self.pending_until_s.items()
            if now_s < until_s
        }
        self.pending_until_s[key] = now_s + _PENDING_MAX_S

    def pending_count(self, job: str, now_s: float) -> int:
        """Count a job's tasks for which capacity is being freed."""
        return sum(
            key.job == job and now_s < until_s
            for key, until_s in self.pending_until_s.items()
        )

    def exclude_fitting(self, need: _resources.Resources) -> None:
        """Drop workers that seemed to fit a need that was refused."""
        self.amounts = [
            amount for amount in self.amounts if not amount.covers(need)
        ]


class RemoteOwnerClient:
    """The workers of a peer at one revision of the table."""

    __slots__ = ('_hint', '_link', '_table_revision', '_timer')

    def __init__(
        self,
        timer: timers.Timer,
        link: PeerLink,
        table_revision: int,
        hint: CapacityHint,
    ) -> None:
        self._timer = timer
        self._link = link
        self._table_revision = table_revision
        self._hint = hint

    @property
    def owner(self) -> str:
        """Return the owner's name."""
        return self._link.member.name

    def free_tasks(self, spec: _model.TaskSpec) -> int:
        """Estimate how many such tasks could start now."""
        self._refresh_hint()
        hint = self._hint
        is_batch = spec.task_class is _model.TaskClass.BATCH
        if is_batch and not hint.is_for_batch:
            return 0
        need = _resources.of_size(spec.size)
        pending = hint.pending_count(spec.key.job, self._timer.now_s())
        return pending + sum(amount.fit_count(need) for amount in hint.amounts)

    def displaceable_tasks(self, spec: _model.TaskSpec) -> int:
        """Estimate how many could start if batch tasks were displaced."""
        self._refresh_hint()
        need = _resources.of_size(spec.size)
        return sum(
            amount.fit_count(need) for amount in self._hint.displaceable
        )

    async def hold(
        self,
        spec: _model.TaskSpec,
        hold_s: float,
        avoid_domains: frozenset[str] = frozenset(),
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Hold capacity for a task until the hold expires."""
        return await self._place(
            spec, _messages.HoldCall(spec, hold_s, avoid_domains)
        )

    async def start(
        self,
        spec: _model.TaskSpec,
        avoid_domains: frozenset[str] = frozenset(),
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Start a task where it is held, or on any that has capacity."""
        return await self._place(
            spec, _messages.StartCall(spec, avoid_domains)
        )

    async def stop(
        self,
        key: _model.TaskKey,
        attempt: int,
        mode: _model.StopMode,
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Release a hold or stop a task; STOPPED confirms the end."""
        replied = await self._call(_messages.StopCall(key, attempt, mode))
        return replied.map(lambda reply: reply.report)

    async def inventory(
        self, shard: int, shard_epoch: int
    ) -> expression.Result[_model.Inventory, errors.Failure]:
        """Return a shard's tasks and fence older epochs."""
        replied = await self._call(
            _messages.InventoryCall(shard, shard_epoch, self._table_revision)
        )
        return replied.map(lambda reply: reply.inventory)

    async def acknowledge(
        self,
        shard: int,
        ended: collections.abc.Collection[_model.TaskReport],
    ) -> expression.Result[None, errors.Failure]:
        """Drop ended tasks whose end the job owner has recorded."""
        replied = await self._call(
            _messages.AcknowledgeCall(shard, tuple(ended))
        )
        return replied.map(lambda reply: None)

    async def _place(
        self,
        spec: _model.TaskSpec,
        call: _messages.HoldCall | _messages.StartCall,
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        replied = await self._call(call)
        need = _resources.of_size(spec.size)
        if replied.is_ok():
            if self._hint.pending_until_s.pop(spec.key, None) is None:
                self._hint.subtract(need)
        elif replied.error.kind is _KIND.NO_FREE_SLOT:
            self._hint.exclude_fitting(need)
            if replied.error.retry_after_s is not None:
                self._hint.add_pending(spec.key, self._timer.now_s())
        return replied.map(lambda reply: reply.report)

    async def _call(
        self, call: _messages.Call
    ) -> expression.Result[typing.Any, errors.Failure]:
        member = self._link.member
        envelope = _messages.Envelope(member.incarnation, call)
        called = await self._link.call(
            tasks_pb2_grpc.TasksStub,
            'Call',
            tasks_pb2.TaskCall(payload=_ENCODER.encode(envelope)),
            _TIMEOUT_S,
        )
        return called.bind(_decode)

    def _refresh_hint(self) -> None:
        hint = self._hint
        now_s = self._timer.now_s()
        if (
            hint.refresh_task is not None
            or now_s - hint.requested_s < _HINT_MAX_AGE_S
        ):
            return
        hint.requested_s = now_s
        hint.refresh_task = asyncio.ensure_future(self._fetch_capacity())

    async def _fetch_capacity(self) -> None:
        try:
            replied = await self._call(_messages.CapacityCall())
            if replied.is_ok():
                self._hint.amounts = list(replied.ok.amounts)
                self._hint.is_for_batch = replied.ok.is_for_batch
                self._hint.displaceable = replied.ok.displaceable
            else:
                self._hint.amounts = []
        finally:
            self._hint.refresh_task = None


class _Servicer(tasks_pb2_grpc.TasksServicer):
    """Handle peers' calls on the owned workers."""

    def __init__(
        self, member: ownership.Member, service: _service.TaskService
    ) -> None:
        self._member = member
        self._service = service

    async def Call(self, request, context) -> tasks_pb2.TaskReply:
        """Handle one call."""
        try:
            envelope = decoding.with_decoder(
                _ENVELOPE_DECODER, request.payload
            )
        except decoding.UnreadableError as error:
            _LOG.warning('task_call_refused', detail=str(error))
            return _reply(_failed(_KIND.BAD_REQUEST, str(error)))
        # A call meant for an earlier process at this address must not be
        # handled here: the shard epochs recorded there are not known.
        if envelope.incarnation != self._member.incarnation:
            return _reply(_failed(_KIND.NOT_OWNER, 'another incarnation'))
        return _reply(await self._dispatch(envelope.call))

    async def _dispatch(self, call: _messages.Call) -> _messages.Reply:
        service = self._service
        match call:
            case _messages.HoldCall():
                return _reported(
                    await service.hold(
                        call.spec, call.hold_s, call.avoid_domains
                    )
                )
            case _messages.StartCall():
                return _reported(
                    await service.start(call.spec, call.avoid_domains)
                )
            case _messages.StopCall():
                return _reported(
                    await service.stop(call.key, call.attempt, call.mode)
                )
            case _messages.InventoryCall():
                return await self._inventory(call)
            case _messages.AcknowledgeCall():
                await service.acknowledge(call.shard, call.ended)
                return _messages.Done()
            case _messages.CapacityCall():
                return _messages.CapacityReply(
                    service.free_resources(),
                    service.is_for_batch(),
                    service.displaceable_resources(),
                )

    async def _inventory(
        self, call: _messages.InventoryCall
    ) -> _messages.Reply:
        listed = await self._service.inventory(call.shard, call.shard_epoch)
        if listed.is_error():
            return _from_failure(listed.error)
        return _messages.Inventoried(
            at_revision(
                listed.ok, call.table_revision, self._service.table_revision
            )
        )


def add_to_server(
    server: grpc.aio.Server,
    member: ownership.Member,
    service: _service.TaskService,
) -> None:
    """Serve peers' calls on a server that checks their token."""
    tasks_pb2_grpc.add_TasksServicer_to_server(
        _Servicer(member, service), server
    )


def at_revision(
    inventory: _model.Inventory, requested_revision: int, revision: int
) -> _model.Inventory:
    """Return an inventory that is complete only at that revision.

    While a worker moves, its former owner may have released it before the
    next one has read the table: neither reports its tasks, and they would
    be started again. At one revision every worker has exactly one owner.
    """
    return _model.Inventory(
        is_complete=inventory.is_complete and revision == requested_revision,
        reports=inventory.reports,
    )


def _reported(
    result: expression.Result[_model.TaskReport, errors.Failure],
) -> _messages.Reply:
    if result.is_error():
        return _from_failure(result.error)
    return _messages.Reported(result.ok)


def _failed(kind: errors.ErrorKind, detail: str) -> _messages.Failed:
    return _messages.Failed(kind, detail, None)


def _from_failure(failure: errors.Failure) -> _messages.Failed:
    return _messages.Failed(
        failure.kind, failure.detail, failure.retry_after_s
    )


def _reply(reply: _messages.Reply) -> tasks_pb2.TaskReply:
    return tasks_pb2.TaskReply(payload=_ENCODER.encode(reply))


def _decode(
    message: tasks_pb2.TaskReply,
) -> expression.Result[typing.Any, errors.Failure]:
    try:
        reply = decoding.with_decoder(_REPLY_DECODER, message.payload)
    except decoding.UnreadableError as error:
        return expression.Error(
            errors.Failure(_KIND.PEER_ANSWER_LOST, str(error))
        )
    if isinstance(reply, _messages.Failed):
        return expression.Error(
            errors.Failure(reply.kind, reply.detail, reply.retry_after_s)
        )
    return expression.Ok(reply)
