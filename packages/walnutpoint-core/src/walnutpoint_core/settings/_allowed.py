"""Descriptions of the values that settings fields allow."""

from __future__ import annotations

import re

import msgspec

from walnutpoint_core.settings import _schema

__all__ = ('describe',)

_PATH_STEP = re.compile(r'[^.\[\]]+')


def describe(field: str) -> str:
    """Describe the values of a dotted field, or return an empty text."""
    kind = msgspec.inspect.type_info(_schema.Settings)
    for step in _PATH_STEP.findall(field):
        kind = _child_type(kind, step)
    return _describe_type(kind)


def _child_type(kind: msgspec.inspect.Type, step: str) -> msgspec.inspect.Type:
    if isinstance(kind, msgspec.inspect.VarTupleType) and step.isdigit():
        return _unwrap_metadata(kind.item_type)
    if isinstance(kind, msgspec.inspect.StructType):
        for field in kind.fields:
            if field.encode_name == step:
                return _unwrap_metadata(field.type)
        # For an unknown field the fields of its parent are described.
        return kind
    return kind


def _unwrap_metadata(kind: msgspec.inspect.Type) -> msgspec.inspect.Type:
    while isinstance(kind, msgspec.inspect.Metadata):
        kind = kind.type
    return kind


def _describe_type(kind: msgspec.inspect.Type) -> str:
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
            return f'text of {kind.min_length} to {kind.max_length} characters'
        case msgspec.inspect.VarTupleType():
            return (
                f'a list of {kind.min_length} to {kind.max_length}, each '
                f'{_describe_type(_unwrap_metadata(kind.item_type))}'
            )
        case _:
            return ''
