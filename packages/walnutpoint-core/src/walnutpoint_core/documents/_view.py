"""Operators' views: the configuration in force, and diffs against it."""

from __future__ import annotations

import dataclasses
import typing

import expression
import msgspec

from walnutpoint_core.documents import _change
from walnutpoint_core.documents import _fault
from walnutpoint_core.documents import _schema
from walnutpoint_core.documents import _state

__all__ = ('FieldChange', 'diff', 'export', 'to_yaml')

_Faults: typing.TypeAlias = tuple[_fault.FieldFault, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """A field that a document changes, with its old and new value."""

    field: str
    before: str
    after: str


def diff(
    configuration: _state.Configuration, document: _schema.Document
) -> expression.Result[tuple[FieldChange, ...], _Faults]:
    """Return the fields that a document would change."""
    after = _change.apply(configuration, document, configuration.revision + 1)
    if after.is_error():
        return expression.Error(after.error)
    old = _state.flatten(_field_view(configuration))
    new = _state.flatten(_field_view(after.ok))
    return expression.Ok(
        tuple(
            FieldChange(
                field,
                _state.value_text(old.get(field)),
                _state.value_text(new.get(field)),
            )
            for field in sorted(old.keys() | new.keys())
            if old.get(field) != new.get(field)
        )
    )


def export(
    configuration: _state.Configuration, submission_id: str, team: str = ''
) -> _schema.Document:
    """Return the configuration of one team or all as a document."""
    parts = {
        name: part
        for name, part in configuration.teams.items()
        if team in ('', name)
    }
    sections: dict[str, typing.Any] = {
        section: {
            f'{name}/{item_name}': entry.item
            for name, part in parts.items()
            for item_name, entry in getattr(part, section).items()
            if not entry.cancelled
        }
        for section in _state.ITEM_SECTIONS
    }
    policies = {
        name: entry.item for name, entry in configuration.policies.items()
    }
    return _schema.Document(
        version=1,
        submission_id=submission_id,
        based_on=configuration.revision,
        teams={name: part.team.item for name, part in parts.items()},
        policies=_schema.Policies(**({} if team else policies)),
        **sections,
    )


def to_yaml(document: _schema.Document) -> str:
    """Return a document as YAML text for editing."""
    return msgspec.yaml.encode(document).decode()


def _field_view(configuration: _state.Configuration) -> dict[str, object]:
    view: dict[str, object] = {
        'policies': {
            name: msgspec.to_builtins(entry.item)
            for name, entry in configuration.policies.items()
        }
    }
    for team, part in configuration.teams.items():
        view[f'teams.{team}'] = msgspec.to_builtins(part.team.item)
        for section in _state.ITEM_SECTIONS:
            for name, entry in getattr(part, section).items():
                item = msgspec.to_builtins(entry.item)
                if section in _state.JOB_SECTIONS:
                    item['cancelled'] = bool(entry.cancelled)
                view[f'{section}.{team}/{name}'] = item
    return view
