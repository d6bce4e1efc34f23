"""Assignment of a document's faults to the fields of a form."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from walnutpoint_core import documents
from walnutpoint_entry.console import _drafts
from walnutpoint_entry.console import _fields

__all__ = (
    'FormFaults',
    'assign_to_fields',
)


@dataclasses.dataclass(frozen=True, slots=True)
class FormFaults:
    """Faults by the path of their form field, and all others."""

    by_path: collections.abc.Mapping[str, list[documents.FieldFault]]
    others: tuple[documents.FieldFault, ...]


def assign_to_fields(
    faults: tuple[documents.FieldFault, ...],
    draft: _drafts.Draft,
    fields: tuple[_fields.Field, ...],
) -> FormFaults:
    """Assign each fault of a document to a field of its form."""
    by_path = collections.defaultdict(list)
    others = []
    item_path = f'{draft.section}.{draft.name}'
    for fault in faults:
        if fault.field in (item_path, f'{item_path}.{_drafts.ACTION}'):
            by_path[_drafts.NAME].append(fault)
            continue
        path = _field_path(fault.field.removeprefix(f'{item_path}.'), fields)
        if fault.field.startswith(f'{item_path}.') and path:
            by_path[path].append(fault)
        else:
            others.append(fault)
    return FormFaults(dict(by_path), tuple(others))


def _field_path(fault_field: str, fields: tuple[_fields.Field, ...]) -> str:
    # "command.0" belongs to the field "command"; "size" as a whole to the
    # first field below it.
    for field in fields:
        if f'{fault_field}.'.startswith(f'{field.path}.'):
            return field.path
    for field in fields:
        if field.path.startswith(f'{fault_field}.'):
            return field.path
    return ''
