"""Decoding of values that others write: entries, requests and answers."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import msgspec

__all__ = (
    'Decoder',
    'UnreadableError',
    'checking',
    'from_json',
    'from_msgpack',
    'from_utf8',
    'with_decoder',
)

# A message may quote the value, which may be a megabyte.
_DETAIL_MAX_CHARACTERS: typing.Final = 300
# Raised for a value that is malformed, nested too deeply, of a wrong type or
# out of range, and by conversions of its parts. ValueError includes those of
# msgspec and of text that is no UTF-8.
_FAULTS: typing.Final = (
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    OverflowError,
    RecursionError,
)
_ValueT = typing.TypeVar('_ValueT')
_ValueT_co = typing.TypeVar('_ValueT_co', covariant=True)


class UnreadableError(msgspec.DecodeError):
    """A value can't be used; the message says why."""


class Decoder(typing.Protocol[_ValueT_co]):
    """A prepared decoder of one type."""

    def decode(self, value: bytes, /) -> _ValueT_co:
        """Decode a value."""


@contextlib.contextmanager
def checking() -> collections.abc.Iterator[None]:
    """Raise UnreadableError for faults found while a value is converted."""
    try:
        yield
    except UnreadableError:
        raise
    except _FAULTS as error:
        raise _unreadable(error) from error


def from_json(value: bytes, kind: type[_ValueT]) -> _ValueT:
    """Decode JSON; raise UnreadableError with the reason."""
    try:
        return msgspec.json.decode(value, type=kind)
    except _FAULTS as error:
        raise _unreadable(error) from error


def from_msgpack(value: bytes, kind: type[_ValueT]) -> _ValueT:
    """Decode MessagePack; raise UnreadableError with the reason."""
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except _FAULTS as error:
        raise _unreadable(error) from error


def with_decoder(decoder: Decoder[_ValueT], value: bytes) -> _ValueT:
    """Decode by a prepared decoder; raise UnreadableError with the reason."""
    try:
        return decoder.decode(value)
    except _FAULTS as error:
        raise _unreadable(error) from error


def from_utf8(value: bytes) -> str:
    """Decode text; raise UnreadableError with the reason."""
    try:
        return value.decode()
    except _FAULTS as error:
        raise _unreadable(error) from error


def _unreadable(error: Exception) -> UnreadableError:
    detail = str(error)
    if not isinstance(error, msgspec.MsgspecError):
        detail = f'{type(error).__name__}: {detail}'
    if len(detail) > _DETAIL_MAX_CHARACTERS:
        detail = f'{detail[:_DETAIL_MAX_CHARACTERS]}...'
    return UnreadableError(detail)
