"""Text output: aligned columns and key: value lines."""

from __future__ import annotations

import collections.abc
import typing

import msgspec

__all__ = (
    'columns',
    'lines',
    'plain',
)

_Row = collections.abc.Mapping[str, typing.Any]


def columns(rows: collections.abc.Sequence[_Row]) -> str:
    """Return rows below a heading of every field that any row has."""
    if not rows:
        return '(none)'
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[plain(name) for name in names]]
    cells += [[plain(row.get(name)) for name in names] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells)]
    return '\n'.join(
        '  '.join(map(str.ljust, line, widths)).rstrip() for line in cells
    )


def lines(fields: _Row) -> str:
    """Return one aligned key: value line for each field."""
    width = max((len(plain(name)) for name in fields), default=0) + 1
    return '\n'.join(
        f'{plain(name) + ":":{width}} {plain(value)}'.rstrip()
        for name, value in fields.items()
    )


def plain(value: typing.Any) -> str:
    """Return a value as one line that can't steer a terminal."""
    if value is None:
        return '-'
    if isinstance(value, (dict, list)):
        value = msgspec.json.encode(value).decode()
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f'{value:.6g}'
    return ''.join(
        sign if sign.isprintable() else f'\\x{ord(sign):02x}'
        for sign in str(value)
    )
