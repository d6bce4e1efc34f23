"""Form fields of each kind of item, derived from the document schema."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import functools
import re
import typing

from walnutpoint_core import documents

__all__ = (
    'Field',
    'SECTIONS',
    'Widget',
    'item_from_texts',
    'section_fields',
    'texts_from_item',
)

_DEFINITION_NAMES: typing.Final = {
    'teams': 'Team',
    'services': 'Service',
    'batch_jobs': 'BatchJob',
    'gang_jobs': 'GangJob',
}
SECTIONS: typing.Final = tuple(_DEFINITION_NAMES)
# A form's action depends on how it was opened, not on an input.
_HIDDEN_FIELDS: typing.Final = ('action',)
_TRUE: typing.Final = 'true'
# Other text stays text, so that the check reports it as entered.
_NUMBER_PATTERN: typing.Final = re.compile(
    r'-?(0|[1-9][0-9]{0,14})(\.[0-9]{1,9})?'
)

_Node: typing.TypeAlias = collections.abc.Mapping[str, typing.Any]
_Texts: typing.TypeAlias = collections.abc.Mapping[str, str]


class Widget(enum.Enum):
    """The kind of input that edits a field."""

    TEXT = 'text'
    NUMBER = 'number'
    LINES = 'lines'
    CHOICE = 'choice'
    FLAG = 'flag'


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One form field; its path is that of the document's field."""

    path: str
    widget: Widget
    initial: str
    hint: str
    choices: tuple[str, ...] = ()


@functools.cache
def section_fields(section: str) -> tuple[Field, ...]:
    """Return the fields of the items in a section."""
    return tuple(_expand_fields(_definition(_DEFINITION_NAMES[section]), ''))


def texts_from_item(item: _Node, fields: tuple[Field, ...]) -> dict[str, str]:
    """Return the texts that a form shows for an item."""
    return {
        field.path: _to_text(_value_at(item, field.path)) for field in fields
    }


def item_from_texts(
    texts: _Texts, fields: tuple[Field, ...]
) -> dict[str, object]:
    """Return the item that a filled form describes, unvalidated."""
    item: dict[str, typing.Any] = {}
    for field in fields:
        *parents, name = field.path.split('.')
        node = item
        for parent in parents:
            node = node.setdefault(parent, {})
        value = _parse_text(field, texts.get(field.path, ''))
        if value is not None:
            node[name] = value
    return item


def _definition(name: str) -> _Node:
    definitions = documents.document_schema()['$defs']
    return typing.cast(_Node, definitions[name])


def _expand_fields(
    definition: _Node, path: str
) -> collections.abc.Iterator[Field]:
    for name, node in definition['properties'].items():
        child_path = f'{path}.{name}' if path else name
        if child_path in _HIDDEN_FIELDS:
            continue
        definition_name = _referenced_name(node)
        if definition_name is not None:
            yield from _expand_fields(_definition(definition_name), child_path)
        else:
            yield _field(node, child_path)


def _referenced_name(node: _Node) -> str | None:
    # A reference with a default is nested in anyOf or allOf.
    for option in (node, *node.get('allOf', ()), *node.get('anyOf', ())):
        if '$ref' in option:
            return str(option['$ref']).rsplit('/', 1)[1]
    return None


def _field(node: _Node, path: str) -> Field:
    schemas = [
        option for option in node.get('anyOf', (node,)) if _is_not_null(option)
    ]
    schema = schemas[0]
    choices = tuple(str(choice) for choice in schema.get('enum', ()))
    widget = _WIDGETS.get(schema.get('type', ''), Widget.TEXT)
    if choices:
        widget = Widget.CHOICE
    return Field(
        path, widget, _to_text(node.get('default')), _hint(schema), choices
    )


def _is_not_null(node: _Node) -> bool:
    return node.get('type') != 'null'


def _hint(node: _Node) -> str:
    if 'minimum' in node:
        return f'{node["minimum"]:.15g} to {node["maximum"]:.15g}'
    if node.get('type') == 'array':
        return 'one argument a line'
    return ''


_WIDGETS: typing.Final = {
    'integer': Widget.NUMBER,
    'number': Widget.NUMBER,
    'boolean': Widget.FLAG,
    'array': Widget.LINES,
}


def _value_at(item: _Node, path: str) -> typing.Any:
    value: typing.Any = item
    for name in path.split('.'):
        value = value[name]
    return value


def _to_text(value: object) -> str:
    if value is None:
        return ''
    if isinstance(value, bool):
        return _TRUE if value else ''
    if isinstance(value, (list, tuple)):
        return '\n'.join(map(str, value))
    return str(value)


def _parse_text(field: Field, text: str) -> object:
    if field.widget is Widget.FLAG:
        return text == _TRUE
    if field.widget is Widget.LINES:
        return [line for line in text.splitlines() if line]
    text = text.strip()
    if not text:
        return None
    if field.widget is Widget.NUMBER and _NUMBER_PATTERN.fullmatch(text):
        return float(text) if '.' in text else int(text)
    return text
