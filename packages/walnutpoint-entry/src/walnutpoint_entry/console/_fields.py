"""The fields of each kind of item, made from the document's schema."""

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
    'fields_of',
    'texts_of',
    'values_of',
)

_DEFINITIONS: typing.Final = {
    'teams': 'Team',
    'services': 'Service',
    'batch_jobs': 'BatchJob',
    'gang_jobs': 'GangJob',
}
SECTIONS: typing.Final = tuple(_DEFINITIONS)
# What a form does follows from where it was opened.
_HIDDEN: typing.Final = ('action',)
_TRUE: typing.Final = 'true'
# Other text stays text, so that the check reports it as it was typed.
_NUMBER: typing.Final = re.compile(r'-?(0|[1-9][0-9]{0,14})(\.[0-9]{1,9})?')

_Node: typing.TypeAlias = collections.abc.Mapping[str, typing.Any]
_Texts: typing.TypeAlias = collections.abc.Mapping[str, str]


class Widget(enum.Enum):
    """How a field is shown."""

    TEXT = 'text'
    NUMBER = 'number'
    LINES = 'lines'
    CHOICE = 'choice'
    FLAG = 'flag'


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One field of a form, named as in the document."""

    path: str
    widget: Widget
    initial: str
    hint: str
    choices: tuple[str, ...] = ()


@functools.cache
def fields_of(section: str) -> tuple[Field, ...]:
    """Return the fields of the items in a section."""
    return tuple(_walk(_definition(_DEFINITIONS[section]), ''))


def texts_of(item: _Node, fields: tuple[Field, ...]) -> dict[str, str]:
    """Return what a form shows of an item."""
    return {field.path: _text(_get(item, field.path)) for field in fields}


def values_of(texts: _Texts, fields: tuple[Field, ...]) -> dict[str, object]:
    """Return the item that a filled form describes, unchecked."""
    item: dict[str, typing.Any] = {}
    for field in fields:
        *parents, name = field.path.split('.')
        node = item
        for parent in parents:
            node = node.setdefault(parent, {})
        value = _value(field, texts.get(field.path, ''))
        if value is not None:
            node[name] = value
    return item


def _definition(name: str) -> _Node:
    definitions = documents.document_schema()['$defs']
    return typing.cast(_Node, definitions[name])


def _walk(definition: _Node, path: str) -> collections.abc.Iterator[Field]:
    for name, node in definition['properties'].items():
        below = f'{path}.{name}' if path else name
        if below in _HIDDEN:
            continue
        inner = _reference(node)
        if inner is not None:
            yield from _walk(_definition(inner), below)
        else:
            yield _field(node, below)


def _reference(node: _Node) -> str | None:
    # A reference with a default stands within anyOf or allOf.
    for one in (node, *node.get('allOf', ()), *node.get('anyOf', ())):
        if '$ref' in one:
            return str(one['$ref']).rsplit('/', 1)[1]
    return None


def _field(node: _Node, path: str) -> Field:
    kinds = [one for one in node.get('anyOf', (node,)) if _is_given(one)]
    plain = kinds[0]
    choices = tuple(str(one) for one in plain.get('enum', ()))
    widget = _WIDGETS.get(plain.get('type', ''), Widget.TEXT)
    if choices:
        widget = Widget.CHOICE
    return Field(
        path, widget, _text(node.get('default')), _hint(plain), choices
    )


def _is_given(node: _Node) -> bool:
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


def _get(item: _Node, path: str) -> typing.Any:
    value: typing.Any = item
    for name in path.split('.'):
        value = value[name]
    return value


def _text(value: object) -> str:
    if value is None:
        return ''
    if isinstance(value, bool):
        return _TRUE if value else ''
    if isinstance(value, (list, tuple)):
        return '\n'.join(map(str, value))
    return str(value)


def _value(field: Field, text: str) -> object:
    if field.widget is Widget.FLAG:
        return text == _TRUE
    if field.widget is Widget.LINES:
        return [line for line in text.splitlines() if line]
    text = text.strip()
    if not text:
        return None
    if field.widget is Widget.NUMBER and _NUMBER.fullmatch(text):
        return float(text) if '.' in text else int(text)
    return text
