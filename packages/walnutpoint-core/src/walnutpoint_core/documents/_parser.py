"""Parsing of untrusted YAML and JSON text."""

from __future__ import annotations

import json
import re
import typing

import expression
import yaml

from walnutpoint_core.documents import _fault

__all__ = ('TEXT_SIZE_MAX_BYTES', 'parse')

TEXT_SIZE_MAX_BYTES: typing.Final = 262_144
_DEPTH_MAX: typing.Final = 12
_MAP_TAG: typing.Final = 'tag:yaml.org,2002:map'
_SEQUENCE_TAG: typing.Final = 'tag:yaml.org,2002:seq'
_SYNTAX: typing.Final = 'one YAML or JSON mapping'

_Faults: typing.TypeAlias = list[_fault.FieldFault]


class _RawMapping:
    """The pairs of a mapping in order, duplicate keys included."""

    __slots__ = ('pairs',)

    def __init__(self, pairs: list[tuple[object, object]]) -> None:
        self.pairs = pairs


class _DepthExceeded(ValueError):
    """The nesting exceeds the allowed depth."""


# YAML 1.1 reads "no" as false, 1:30 as 90 and 2026-03-01 as a date, so that
# a team named "no" would lose its name; these are the JSON types of YAML 1.2.
# Each is narrower than in YAML 1.1, so that PyYAML's output reads back. Longer
# integers stay text: their conversion is quadratic in their length.
class _Loader(getattr(yaml, 'CSafeLoader', yaml.SafeLoader)):  # type: ignore
    """A YAML loader restricted to the types of JSON."""

    yaml_implicit_resolvers: typing.ClassVar[dict[str, list[object]]] = {}


_NUMBER_STARTS: typing.Final = list('-+.0123456789')
_Loader.add_implicit_resolver(
    'tag:yaml.org,2002:bool', re.compile(r'^(true|false)\Z'), list('tf')
)
_Loader.add_implicit_resolver(
    'tag:yaml.org,2002:null', re.compile(r'^(null|~|)\Z'), ['n', '~', '']
)
_Loader.add_implicit_resolver(
    'tag:yaml.org,2002:int',
    re.compile(r'^[-+]?(0|[1-9][0-9]{0,17})\Z'),
    _NUMBER_STARTS,
)
_Loader.add_implicit_resolver(
    'tag:yaml.org,2002:float',
    re.compile(r'^([-+]?[0-9]+\.[0-9]*|\.[0-9]+)([eE][-+][0-9]+)?\Z'),
    _NUMBER_STARTS,
)


def parse(
    text: str,
) -> expression.Result[
    tuple[object, tuple[_fault.FieldFault, ...]],
    tuple[_fault.FieldFault, ...],
]:
    """Return the plain value of a text, and faults for duplicate keys."""
    size_bytes = len(text.encode('utf-8', 'surrogatepass'))
    if size_bytes > TEXT_SIZE_MAX_BYTES:
        return _rejected(
            f'{size_bytes} bytes', f'at most {TEXT_SIZE_MAX_BYTES} bytes'
        )
    try:
        raw = _load(text)
    except (_DepthExceeded, RecursionError):
        return _rejected('deeper nesting', f'at most {_DEPTH_MAX} levels')
    except yaml.YAMLError as error:
        return _rejected(' '.join(str(error).split()), _SYNTAX)
    except ValueError as error:
        return _rejected(_fault.shorten(str(error)), _SYNTAX)
    faults: _Faults = []
    try:
        value = _to_plain(raw, '', 0, faults)
    except _DepthExceeded:
        return _rejected('deeper nesting', f'at most {_DEPTH_MAX} levels')
    return expression.Ok((value, tuple(faults)))


def _rejected(
    given: str, allowed: str
) -> expression.Result[
    tuple[object, tuple[_fault.FieldFault, ...]],
    tuple[_fault.FieldFault, ...],
]:
    return expression.Error((_fault.FieldFault('', given, allowed),))


def _load(text: str) -> object:
    # JSON first: YAML rejects some valid JSON, such as surrogate pairs.
    if text.lstrip().startswith('{'):
        try:
            return json.loads(
                text,
                object_pairs_hook=_RawMapping,
                parse_constant=_reject_constant,
            )
        except json.JSONDecodeError:
            pass
    _check_events(text)
    loader = _Loader(text)
    try:
        return _from_node(loader, loader.get_single_node())
    finally:
        loader.dispose()


def _reject_constant(name: str) -> object:
    raise ValueError(f'{name} is not a number')


def _check_events(text: str) -> None:
    # Checked before construction: nested aliases would expand to gigabytes,
    # and deep nesting would exhaust the C stack.
    depth = 0
    for event in yaml.parse(text, Loader=_Loader):
        if isinstance(event, yaml.AliasEvent):
            raise ValueError('an alias: repeat the value instead')
        if getattr(event, 'tag', None) not in (None, '!'):
            raise ValueError(f'the tag {event.tag}: leave it out')
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        if depth > _DEPTH_MAX:
            raise _DepthExceeded


def _from_node(loader: typing.Any, node: yaml.Node | None) -> object:
    if node is None:
        return None
    if isinstance(node, yaml.MappingNode):
        return _RawMapping(
            [
                (_from_node(loader, key), _from_node(loader, value))
                for key, value in node.value
            ]
        )
    if isinstance(node, yaml.SequenceNode):
        return [_from_node(loader, child) for child in node.value]
    return loader.construct_object(node)


def _to_plain(raw: object, path: str, depth: int, faults: _Faults) -> object:
    if depth > _DEPTH_MAX:
        raise _DepthExceeded
    if isinstance(raw, list):
        return [
            _to_plain(child, join_path(path, str(index)), depth + 1, faults)
            for index, child in enumerate(raw)
        ]
    if isinstance(raw, _RawMapping):
        return _to_plain_mapping(raw, path, depth, faults)
    if isinstance(raw, str):
        return _to_plain_text(raw, path, faults)
    return raw


def _to_plain_text(raw: str, path: str, faults: _Faults) -> str:
    # JSON may contain lone surrogates, which cannot be encoded as UTF-8.
    plain = raw.encode('utf-8', 'backslashreplace').decode()
    if plain != raw:
        faults.append(_fault.FieldFault(path, plain, 'whole characters'))
    return plain


def _to_plain_mapping(
    raw: _RawMapping, path: str, depth: int, faults: _Faults
) -> dict[str, object]:
    plain: dict[str, object] = {}
    for key, child in raw.pairs:
        if not isinstance(key, str):
            given = 'a list or mapping'
            if not isinstance(key, (list, _RawMapping)):
                given = _fault.shorten(key)
            faults.append(
                _fault.FieldFault(path, given, 'keys that are text: quote it')
            )
            continue
        key = _to_plain_text(key, path, faults)
        field = join_path(path, key)
        if key in plain:
            faults.append(
                _fault.FieldFault(field, 'given twice', 'each key once')
            )
            continue
        plain[key] = _to_plain(child, field, depth + 1, faults)
    return plain


def join_path(path: str, name: str) -> str:
    """Return the dotted path of a nested field."""
    return f'{path}.{name}' if path else name
