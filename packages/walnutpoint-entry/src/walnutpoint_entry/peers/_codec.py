"""Conversion between domain types and the peer protocol's messages."""

from __future__ import annotations

import expression

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_entry import ownership

from walnutpoint_entry.peers._generated import peer_pb2

__all__ = (
    'decode_member',
    'decode_request',
    'decode_result',
    'decode_state',
    'encode_member',
    'encode_request',
    'encode_result',
    'encode_state',
)


def encode_member(member: ownership.Member) -> peer_pb2.MemberMessage:
    """Encode a member."""
    return peer_pb2.MemberMessage(
        address=member.address,
        incarnation=member.incarnation,
        name=member.name,
        domain=member.domain,
        region=member.region,
    )


def decode_member(message: peer_pb2.MemberMessage) -> ownership.Member:
    """Decode a member."""
    return ownership.Member(
        address=message.address,
        incarnation=message.incarnation,
        name=message.name,
        domain=message.domain,
        region=message.region,
    )


def encode_state(state: ownership.PeerState) -> peer_pb2.Beat:
    """Encode the state of this process."""
    return peer_pb2.Beat(
        sender=encode_member(state.member),
        table_revision=state.table_revision,
        free_slots=state.free_slots,
        backlog=state.backlog,
        busy=state.is_busy,
        stopping=state.is_stopping,
    )


def decode_state(message: peer_pb2.Beat) -> ownership.PeerState:
    """Decode a peer's state."""
    return ownership.PeerState(
        member=decode_member(message.sender),
        table_revision=message.table_revision,
        free_slots=message.free_slots,
        backlog=message.backlog,
        is_busy=message.busy,
        is_stopping=message.stopping,
    )


def encode_request(
    request: model.Request, now_s: float
) -> peer_pb2.RequestMessage:
    """Encode a request, with times as durations: clocks may differ."""
    return peer_pb2.RequestMessage(
        request_id=request.request_id,
        team=request.team,
        work_class=request.work_class.value,
        method=request.method,
        path=request.path,
        headers=_encode_headers(request.headers),
        body=request.body,
        remaining_s=request.deadline_at_s - now_s,
        waited_s=now_s - request.received_at_s,
        idempotent=request.idempotent,
        key=request.key or '',
        late_answer_s=request.late_answer_s,
    )


def decode_request(
    message: peer_pb2.RequestMessage, now_s: float
) -> model.Request:
    """Decode a request, with its times on this process's clock."""
    return model.Request(
        request_id=message.request_id,
        team=message.team,
        work_class=model.WorkClass(message.work_class),
        method=message.method,
        path=message.path,
        headers=_decode_headers(message.headers),
        body=message.body,
        received_at_s=now_s - message.waited_s,
        deadline_at_s=now_s + message.remaining_s,
        idempotent=message.idempotent,
        key=message.key or None,
        late_answer_s=message.late_answer_s,
    )


def encode_result(
    result: expression.Result[model.Answer, errors.Failure],
    free_slots: int,
) -> peer_pb2.ResultMessage:
    """Encode the result of a request."""
    if result.is_error():
        failure = result.error
        return peer_pb2.ResultMessage(
            failure=peer_pb2.FailureMessage(
                kind=failure.kind.value,
                detail=failure.detail,
                retry_after_s=failure.retry_after_s,
            ),
            free_slots=free_slots,
        )
    answer = result.ok
    return peer_pb2.ResultMessage(
        answer=peer_pb2.AnswerMessage(
            status=answer.status,
            headers=_encode_headers(answer.headers),
            body=answer.body,
            endpoint=answer.endpoint,
            owner=answer.owner,
            waited_s=answer.waited_s,
        ),
        free_slots=free_slots,
    )


def decode_result(
    message: peer_pb2.ResultMessage,
) -> expression.Result[model.Answer, errors.Failure]:
    """Decode the result of a request."""
    if message.HasField('failure'):
        failure = message.failure
        retry_after_s = (
            failure.retry_after_s
            if failure.HasField('retry_after_s')
            else None
        )
        return expression.Error(
            errors.Failure(
                errors.ErrorKind(failure.kind), failure.detail, retry_after_s
            )
        )
    answer = message.answer
    return expression.Ok(
        model.Answer(
            status=answer.status,
            headers=_decode_headers(answer.headers),
            body=answer.body,
            endpoint=answer.endpoint,
            owner=answer.owner,
            waited_s=answer.waited_s,
        )
    )


def _encode_headers(
    headers: tuple[model.Header, ...],
) -> list[peer_pb2.HeaderMessage]:
    return [
        peer_pb2.HeaderMessage(name=header.name, value=header.value)
        for header in headers
    ]


def _decode_headers(messages) -> tuple[model.Header, ...]:
    return tuple(
        model.Header(message.name, message.value) for message in messages
    )
