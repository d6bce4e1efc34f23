"""Faults of a document, each beside the field of the form that it is of."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from walnutpoint_core import documents
from walnutpoint_entry.console import _drafts
from walnutpoint_entry.console import _fields

__all__ = (
    'PlacedFaults',
    'place',
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedFaults:
    """Faults by the path of their field, and those of no field."""

    by_path: collections.abc.Mapping[str, list[documents.FieldFault]]
    others: tuple[documents.FieldFault, ...]


def place(
    faults: tuple[documents.FieldFault, ...],
    draft: _drafts.Draft,
    fields: tuple[_fields.Field, ...],
) -> PlacedFaults:
    """Return where a form is to show the faults of its document."""
    by_path = collections.defaultdict(list)
    others = []
    item = f'{draft.section}.{draft.name}'
    for fault in faults:
        if fault.field in (item, f'{item}.{_drafts.ACTION}'):
            by_path[_drafts.NAME].append(fault)
            continue
        path = _path(fault.field.removeprefix(f'{item}.'), fields)
        if fault.field.startswith(f'{item}.') and path:
            by_path[path].append(fault)
        else:
            others.append(fault)
    return PlacedFaults(dict(by_path), tuple(others))


def _path(field: str, fields: tuple[_fields.Field, ...]) -> str:
    # "command.0" is of the field "command", and "size" as a whole is shown
    # beside the first field of it.
    for one in fields:
        if f'{field}.'.startswith(f'{one.path}.'):
            return one.path
    for one in fields:
        if one.path.startswith(f'{field}.'):
            return one.path
    return ''
