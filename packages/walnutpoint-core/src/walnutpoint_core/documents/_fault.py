"""A fault in one field of a document."""

from __future__ import annotations

import dataclasses

from walnutpoint_core import errors

__all__ = ('FieldFault', 'shorten')

_GIVEN_LENGTH_MAX = 80


@dataclasses.dataclass(frozen=True, slots=True)
class FieldFault:
    """A refused field: its dotted path, its value and what is allowed."""

    field: str
    given: str
    allowed: str
    kind: errors.ErrorKind = errors.ErrorKind.DOCUMENT_INVALID
    in_force: str = ''


def shorten(value: object) -> str:
    """Return a value as text, truncated to fit on one line."""
    text = repr(value)
    if len(text) <= _GIVEN_LENGTH_MAX:
        return text
    return text[: _GIVEN_LENGTH_MAX - 3] + '...'
