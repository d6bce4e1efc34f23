"""The submission id in a document's text, which else stays unchanged."""

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

_FIELD_NAME: typing.Final = 'submission_id'
_ID_SIZE_BYTES: typing.Final = 12


class _Cancellation(msgspec.Struct, frozen=True):
    submission_id: str
    cancellations: tuple[str, ...]
    version: int = 1


def new_submission_id() -> str:
    """Return a random, unique submission id."""
    return secrets.token_hex(_ID_SIZE_BYTES)


def cancellation(submission_id: str, jobs: tuple[str, ...]) -> str:
    """Return the text of a document that cancels jobs."""
    return msgspec.json.encode(_Cancellation(submission_id, jobs)).decode()


def submission_id(text: str) -> str | None:
    """Return the submission id in a text, or None."""
    root = _root(text)
    value = None if root is None else _value(root)
    return value.value if isinstance(value, yaml.ScalarNode) else None


def with_submission_id(text: str, identity: str) -> str:
    """Return the text with its submission id set."""
    root = _root(text)
    # Anything but a mapping is sent unchanged, and refused by the server.
    if root is None:
        return text
    value = _value(root)
    if value is not None:
        start, end = value.start_mark.index, value.end_mark.index
        return f'{text[:start]}{identity}{text[end:]}'
    start = root.start_mark.index
    if root.flow_style:
        start += 1
        return f'{text[:start]}"{_FIELD_NAME}": "{identity}", {text[start:]}'
    indent = ' ' * root.start_mark.column
    return f'{text[:start]}{_FIELD_NAME}: {identity}\n{indent}{text[start:]}'


def _root(text: str) -> yaml.MappingNode | None:
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except (yaml.YAMLError, RecursionError, ValueError):
        return None
    return root if isinstance(root, yaml.MappingNode) else None


def _value(root: yaml.MappingNode) -> yaml.Node | None:
    for key, value in root.value:
        if key.value == _FIELD_NAME:
            return typing.cast(yaml.Node, value)
    return None
