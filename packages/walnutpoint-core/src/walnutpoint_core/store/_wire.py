"""Messages of the etcd v3 JSON gateway."""

from __future__ import annotations

import typing

import msgspec

__all__ = (
    'Compare',
    'DeleteRequest',
    'Header',
    'KeyValue',
    'Operation',
    'PutRequest',
    'RangeReply',
    'RangeRequest',
    'TxnReply',
    'TxnRequest',
)

_Revision = typing.Annotated[int, msgspec.Meta(ge=1)]


class RangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Read a key, or a half-open range of keys."""

    key: bytes
    range_end: bytes = b''
    keys_only: bool = False


class PutRequest(msgspec.Struct, frozen=True):
    """Write a value under a key."""

    key: bytes
    value: bytes


class DeleteRequest(msgspec.Struct, frozen=True):
    """Delete a key."""

    key: bytes


class Compare(msgspec.Struct, frozen=True):
    """Require the last revision of a key; zero for an absent key."""

    key: bytes
    mod_revision: str
    target: str = 'MOD'
    result: str = 'EQUAL'


class Operation(msgspec.Struct, frozen=True, omit_defaults=True):
    """One write of a transaction."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None


class TxnRequest(msgspec.Struct, frozen=True):
    """Apply writes if every comparison holds."""

    compare: tuple[Compare, ...]
    success: tuple[Operation, ...]


class Header(msgspec.Struct, frozen=True):
    """The revision of the store at the time of a reply."""

    revision: _Revision


class KeyValue(msgspec.Struct, frozen=True):
    """A key, its value and revision; the gateway omits empty fields."""

    key: bytes
    mod_revision: _Revision
    value: bytes = b''


class RangeReply(msgspec.Struct, frozen=True):
    """The result of a read."""

    header: Header
    kvs: tuple[KeyValue, ...] = ()


class TxnReply(msgspec.Struct, frozen=True):
    """Whether a transaction was applied."""

    header: Header
    succeeded: bool = False
