"""Line numbers of fields and duplicate keys in a YAML document."""

from __future__ import annotations

import dataclasses
import re

import yaml

__all__ = (
    'DuplicateKey',
    'find_duplicate_key',
    'line_of',
)

_PATH_STEP = re.compile(r'[^.\[\]]+')


@dataclasses.dataclass(frozen=True, slots=True)
class DuplicateKey:
    """A key that occurs twice in a mapping."""

    field: str
    line: int


def line_of(root: yaml.Node | None, field: str) -> int | None:
    """Return the line of a dotted field, or of its nearest parent."""
    line, node = None, root
    for step in _PATH_STEP.findall(field):
        key_node, node = _child(node, step)
        if key_node is None:
            break
        line = _line(key_node)
    return line


def find_duplicate_key(root: yaml.Node | None) -> DuplicateKey | None:
    """Return a key that occurs twice in a mapping, if there is one."""
    seen: set[int] = set()
    pending = [('', root)]
    while pending:
        prefix, node = pending.pop()
        # Each node is visited once: an alias may refer to its own parent, and
        # the traversal would never end.
        if node is None or id(node) in seen:
            continue
        seen.add(id(node))
        if isinstance(node, yaml.SequenceNode):
            pending.extend((prefix, item) for item in node.value)
        elif isinstance(node, yaml.MappingNode):
            keys: set[str] = set()
            for key, value in node.value:
                field = f'{prefix}.{key.value}'.lstrip('.')
                if isinstance(key, yaml.ScalarNode):
                    if key.value in keys:
                        return DuplicateKey(field, _line(key))
                    keys.add(key.value)
                pending.append((field, value))
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
