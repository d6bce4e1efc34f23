"""Records of remembered keys, sent from one home to the next."""

from __future__ import annotations

import collections.abc
import enum
import typing

import expression
import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import errors
from walnutpoint_core import model

__all__ = (
    'BATCH_SIZE_BYTES',
    'FAILED_STATES',
    'KeyRecord',
    'KeyState',
    'decode_records',
    'encode_records',
)

BATCH_SIZE_BYTES = 524_288
_ARRAY_HEADER_SIZE_BYTES = 5


class KeyState(enum.IntEnum):
    """The state of a key's request as its home knows it."""

    IN_FLIGHT = 0
    ANSWERED = 1
    FORGOTTEN = 2
    UNKNOWN = 3
    NOT_RUN = 4


FAILED_STATES = (KeyState.UNKNOWN, KeyState.NOT_RUN)


class KeyRecord(msgspec.Struct, frozen=True):
    """One key with its state, result and time since it finished."""

    key: str
    epoch: int
    fingerprint: bytes
    state: KeyState
    age_s: typing.Annotated[float, msgspec.Meta(ge=0.0)] = 0.0
    answer: model.Answer | None = None
    failure: errors.Failure | None = None

    def __post_init__(self) -> None:
        """Reject a state without the answer or failure that it needs."""
        if self.state is KeyState.ANSWERED and self.answer is None:
            raise ValueError('an answered key has an answer')
        if self.state in FAILED_STATES and self.failure is None:
            raise ValueError('an outcome without an answer has a failure')


def encode_records(
    records: collections.abc.Iterable[KeyRecord],
    batch_size_bytes: int = BATCH_SIZE_BYTES,
) -> collections.abc.Iterator[bytes]:
    """Yield encoded batches of records, each of a bounded size."""
    content_max_bytes = batch_size_bytes - _ARRAY_HEADER_SIZE_BYTES
    batch: list[msgspec.Raw] = []
    size_bytes = 0
    for record in records:
        data = _encode(record, content_max_bytes)
        if batch and size_bytes + len(data) > content_max_bytes:
            yield msgspec.msgpack.encode(batch)
            batch, size_bytes = [], 0
        batch.append(msgspec.Raw(data))
        size_bytes += len(data)
    if batch:
        yield msgspec.msgpack.encode(batch)


def decode_records(
    data: bytes,
) -> expression.Result[tuple[KeyRecord, ...], errors.Failure]:
    """Decode one batch of records."""
    try:
        records = decoding.from_msgpack(data, tuple[KeyRecord, ...])
    except decoding.UnreadableError as error:
        return expression.Error(
            errors.Failure(errors.ErrorKind.BAD_REQUEST, str(error))
        )
    return expression.Ok(records)


def _encode(record: KeyRecord, content_max_bytes: int) -> bytes:
    data = msgspec.msgpack.encode(record)
    if len(data) <= content_max_bytes or record.state is not KeyState.ANSWERED:
        return data
    # An answer too large for a batch must not block the handover: its key is
    # sent without it, so that a repeat still doesn't run.
    return msgspec.msgpack.encode(
        KeyRecord(
            key=record.key,
            epoch=record.epoch,
            fingerprint=record.fingerprint,
            state=KeyState.FORGOTTEN,
            age_s=record.age_s,
        )
    )
