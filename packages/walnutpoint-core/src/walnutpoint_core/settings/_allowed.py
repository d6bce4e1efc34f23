"""Words for what a field of the settings may hold."""

from __future__ import annotations

import re

import msgspec

from walnutpoint_core.settings import _schema

__all__ = ('describe',)

_STEP = re.compile(r'[^.\[\]]+')


def describe(field: str) -> str:
    """Return what the schema allows at a dotted field, or nothing."""
    kind = msgspec.inspect.type_info(_schema.Settings)
    for step in _STEP.findall(field):
        kind = _step_into(kind, step)
    return _words(kind)


def _step_into(kind: msgspec.inspect.Type, step: str) -> msgspec.inspect.Type:
    if isinstance(kind, msgspec.inspect.VarTupleType) and step.isdigit():
        return _plain(kind.item_type)
    if isinstance(kind, msgspec.inspect.StructType):
        for field in kind.fields:
            if field.encode_name == step:
                return _plain(field.type)
        # An unknown field: the parent's fields are what is allowed.
        return kind
    return kind


def _plain(kind: msgspec.inspect.Type) -> msgspec.inspect.Type:
    while isinstance(kind, msgspec.inspect.Metadata):
        kind = kind.type
    return kind


def _words(kind: msgspec.inspect.Type) -> str:
    match kind:
        case msgspec.inspect.StructType():
            names = ', '.join(field.encode_name for field in kind.fields)
            return f'the fields {names}'
        case msgspec.inspect.FloatType():
            return f'a number from {kind.ge} to {kind.le}'
        case msgspec.inspect.IntType():
            return f'a whole number from {kind.ge} to {kind.le}'
        case msgspec.inspect.LiteralType():
            return ' or '.join(str(value) for value in kind.values)
        case msgspec.inspect.StrType() if kind.pattern:
            return f'text that matches {kind.pattern}'
        case msgspec.inspect.StrType():
            return f'text of {kind.min_length} to {kind.max_length} signs'
        case msgspec.inspect.VarTupleType():
            return (
                f'a list of {kind.min_length} to {kind.max_length}, each '
                f'{_words(_plain(kind.item_type))}'
            )
        case _:
            return ''
