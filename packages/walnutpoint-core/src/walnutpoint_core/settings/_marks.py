"""The lines of a YAML document's fields, and its duplicate keys."""

from __future__ import annotations

import dataclasses
import re

import yaml

__all__ = (
    'Duplicate',
    'duplicate',
    'line_of',
)

_STEP = re.compile(r'[^.\[\]]+')


@dataclasses.dataclass(frozen=True, slots=True)
class Duplicate:
    """A key that one mapping holds twice."""

    field: str
    line: int


def line_of(root: yaml.Node | None, field: str) -> int | None:
    """Return the line of a dotted field, or of its nearest parent."""
    line, node = None, root
    for step in _STEP.findall(field):
        mark, node = _child(node, step)
        if mark is None:
            break
        line = _line(mark)
    return line


def duplicate(root: yaml.Node | None) -> Duplicate | None:
    """Return the first key that stands twice in one mapping."""
    seen: set[int] = set()
    rest = [('', root)]
    while rest:
        prefix, node = rest.pop()
        # An alias may lead back to its own parent: without this the walk
        # of such a document never ends. Each node is walked once.
        if node is None or id(node) in seen:
            continue
        seen.add(id(node))
        if isinstance(node, yaml.SequenceNode):
            rest.extend((prefix, item) for item in node.value)
        elif isinstance(node, yaml.MappingNode):
            keys: set[str] = set()
            for key, value in node.value:
                field = f'{prefix}.{key.value}'.lstrip('.')
                if isinstance(key, yaml.ScalarNode):
                    if key.value in keys:
                        return Duplicate(field, _line(key))
                    keys.add(key.value)
                rest.append((field, value))
    return None


def _line(node: yaml.Node) -> int:
    return int(node.start_mark.line) + 1


def _child(
    node: yaml.Node | None, step: str
) -> tuple[yaml.Node | None, yaml.Node | None]:
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == step:
                return key, value
    if isinstance(node, yaml.SequenceNode) and step.isdigit():
        if int(step) < len(node.value):
            item = node.value[int(step)]
            return item, item
    return None, None
