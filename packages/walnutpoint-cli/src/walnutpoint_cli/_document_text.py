"""The submission id in the text of a document, whose rest stays as it is."""

from __future__ import annotations

import secrets
import typing

import msgspec
import yaml

__all__ = (
    'cancellation',
    'new_submission_id',
    'submission_id',
    'with_submission_id',
)

_FIELD: typing.Final = 'submission_id'
_SIZE_BYTES: typing.Final = 12


class _Cancellation(msgspec.Struct, frozen=True):
    submission_id: str
    cancellations: tuple[str, ...]
    version: int = 1


def new_submission_id() -> str:
    """Return a submission id that no other document has."""
    return secrets.token_hex(_SIZE_BYTES)


def cancellation(submission_id: str, jobs: tuple[str, ...]) -> str:
    """Return the text of a document that cancels jobs."""
    return msgspec.json.encode(_Cancellation(submission_id, jobs)).decode()


def submission_id(text: str) -> str | None:
    """Return the submission id that a text holds, or None."""
    root = _root(text)
    value = None if root is None else _value(root)
    return value.value if isinstance(value, yaml.ScalarNode) else None


def with_submission_id(text: str, identity: str) -> str:
    """Return a text that holds this submission id and no other."""
    root = _root(text)
    # What is not a mapping is sent as it is, and refused with its fault.
    if root is None:
        return text
    value = _value(root)
    if value is not None:
        start, end = value.start_mark.index, value.end_mark.index
        return f'{text[:start]}{identity}{text[end:]}'
    start = root.start_mark.index
    if root.flow_style:
        start += 1
        return f'{text[:start]}"{_FIELD}": "{identity}", {text[start:]}'
    indent = ' ' * root.start_mark.column
    return f'{text[:start]}{_FIELD}: {identity}\n{indent}{text[start:]}'


def _root(text: str) -> yaml.MappingNode | None:
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, RecursionError, ValueError):
        return None
    return root if isinstance(root, yaml.MappingNode) else None


def _value(root: yaml.MappingNode) -> yaml.Node | None:
    for key, value in root.value:
        if key.value == _FIELD:
            return typing.cast(yaml.Node, value)
    return None
