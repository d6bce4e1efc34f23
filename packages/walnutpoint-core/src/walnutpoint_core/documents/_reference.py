"""The reference of document fields, generated from the schema."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core.documents import _checker

__all__ = ('reference',)

_Node: typing.TypeAlias = collections.abc.Mapping[str, typing.Any]


def reference() -> str:
    """Return all fields with their ranges and defaults as Markdown."""
    definitions = _checker.document_schema()['$defs']
    return '\n'.join(
        _format_table(name, definitions[name]) for name in sorted(definitions)
    )


def _format_table(name: str, definition: _Node) -> str:
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
            default = f'`{_format_default(node.get("default"))}`'
        lines.append(f'| `{field}` | {_format_allowed(node)} | {default} |')
    return '\n'.join((*lines, ''))


def _format_default(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if value is None:
        return 'null'
    if isinstance(value, collections.abc.Sequence) and not value:
        return '[]'
    if isinstance(value, dict):
        return '{}'
    return str(value)


def _format_allowed(node: _Node) -> str:
    if '$ref' in node:
        name = node['$ref'].rsplit('/', 1)[1]
        return f'[{name}](#{name.lower()})'
    if 'anyOf' in node:
        return ' or '.join(_format_allowed(option) for option in node['anyOf'])
    text = _checker.allowed_text(node)
    if 'propertyNames' in node:
        key = _checker.allowed_text(node['propertyNames'])
        value = _format_allowed(node['additionalProperties'])
        return f'{text} from {key} to {value}'
    if 'items' in node:
        return f'{text}, each {_format_allowed(node["items"])}'
    return text
