"""The reference of the document's fields, made from its schema."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core.documents import _checker

__all__ = ('reference',)

_Node: typing.TypeAlias = collections.abc.Mapping[str, typing.Any]


def reference() -> str:
    """Return every field, its range and its default as Markdown."""
    definitions = _checker.document_schema()['$defs']
    return '\n'.join(
        _table(name, definitions[name]) for name in sorted(definitions)
    )


def _table(name: str, definition: _Node) -> str:
    lines = [
        f'### {name}',
        '',
        definition['description'],
        '',
        '| Field | Allowed | Default |',
        '|---|---|---|',
    ]
    required = definition.get('required', ())
    for field, node in definition['properties'].items():
        default = 'required'
        if field not in required:
            default = f'`{_literal(node.get("default"))}`'
        lines.append(f'| `{field}` | {_allowed(node)} | {default} |')
    return '\n'.join((*lines, ''))


def _literal(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if value is None:
        return 'null'
    if isinstance(value, collections.abc.Sequence) and not value:
        return '[]'
    if isinstance(value, dict):
        return '{}'
    return str(value)


def _allowed(node: _Node) -> str:
    if '$ref' in node:
        name = node['$ref'].rsplit('/', 1)[1]
        return f'[{name}](#{name.lower()})'
    if 'anyOf' in node:
        return ' or '.join(_allowed(one) for one in node['anyOf'])
    text = _checker.allowed_text(node)
    if 'propertyNames' in node:
        key = _checker.allowed_text(node['propertyNames'])
        value = _allowed(node['additionalProperties'])
        return f'{text} from {key} to {value}'
    if 'items' in node:
        return f'{text}, each {_allowed(node["items"])}'
    return text
