"""Text output: aligned columns and key: value lines."""

from __future__ import annotations

import collections.abc
import typing

import msgspec

__all__ = (
    'columns',
    'lines',
    'printable',
)

_Row = collections.abc.Mapping[str, typing.Any]


def columns(rows: collections.abc.Sequence[_Row]) -> str:
    """Return rows below a heading with the fields of all rows."""
    if not rows:
        return '(none)'
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[printable(name) for name in names]]
    cells += [[printable(row.get(name)) for name in names] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return '\n'.join(
        '  '.join(map(str.ljust, line, widths)).rstrip() for line in cells
    )


def lines(fields: _Row) -> str:
    """Return one aligned key: value line for each field."""
    width = max((len(printable(name)) for name in fields), default=0) + 1
    return '\n'.join(
        f'{printable(name) + ":":{width}} {printable(value)}'.rstrip()
        for name, value in fields.items()
    )


def printable(value: typing.Any) -> str:
    """Return a value as one line without control characters."""
    if value is None:
        return '-'
    if isinstance(value, (dict, list)):
        value = msgspec.json.encode(value).decode()
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f'{value:.6g}'
    return ''.join(
        character if character.isprintable() else f'\\x{ord(character):02x}'
        for character in str(value)
    )
