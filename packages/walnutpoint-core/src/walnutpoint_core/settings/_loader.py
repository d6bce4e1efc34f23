"""Read settings from YAML and check every field and relation."""

from __future__ import annotations

import pathlib
import re
import typing

import expression
import msgspec
import yaml

from walnutpoint_core.settings import _allowed
from walnutpoint_core.settings import _marks
from walnutpoint_core.settings import _problem
from walnutpoint_core.settings import _relations
from walnutpoint_core.settings import _schema

__all__ = (
    'check',
    'load',
)

_PLACE = re.compile(r' - at (?:`key` in )?`\$\.?(?P<path>[^`]*)`$')
_NAMED = re.compile(r'(?:unknown|required) field `(?P<name>[^`]*)`')

_Result = expression.Result[_schema.Settings, _problem.SettingsError]


def load(path: str) -> _Result:
    """Read and check the settings in a file."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as fault:
        return expression.Error(
            _problem.SettingsError(
                path, '', f'cannot read: {fault}', 'a readable UTF-8 file'
            )
        )
    return check(text, path)


def check(text: str, source: str) -> _Result:
    """Check the settings in a text; the source names it in errors."""
    try:
        root = yaml.compose(text, yaml.SafeLoader)
        # Only the last of two equal keys would take effect: the operator
        # reads one value in the file and the process runs with another.
        double = _marks.duplicate(root)
        if double is not None:
            return expression.Error(_duplicate(double, source))
        document = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as fault:
        return expression.Error(_not_yaml(fault, source))
    return _convert(document, root, source)


def _convert(
    document: typing.Any, root: yaml.Node | None, source: str
) -> _Result:
    try:
        settings = msgspec.convert(document, _schema.Settings, strict=True)
    except msgspec.ValidationError as fault:
        return expression.Error(_misfit(str(fault), root, source))
    broken = _relations.breach(settings)
    if broken is None:
        return expression.Ok(settings)
    line = _marks.line_of(root, broken.field)
    return expression.Error(
        _problem.SettingsError(
            source, broken.field, broken.detail, broken.allowed, line
        )
    )


def _duplicate(
    double: _marks.Duplicate, source: str
) -> _problem.SettingsError:
    return _problem.SettingsError(
        source, double.field, 'duplicate key', 'each key once', double.line
    )


def _not_yaml(fault: Exception, source: str) -> _problem.SettingsError:
    mark = getattr(fault, 'problem_mark', None)
    words = getattr(fault, 'problem', None) or str(fault)
    return _problem.SettingsError(
        source,
        '',
        f'not YAML: {words}',
        'one YAML document',
        None if mark is None else mark.line + 1,
    )


def _misfit(
    words: str, root: yaml.Node | None, source: str
) -> _problem.SettingsError:
    place = _PLACE.search(words)
    field = place['path'] if place else ''
    named = _NAMED.search(words)
    if named:
        field = f'{field}.{named["name"]}'.lstrip('.')
    return _problem.SettingsError(
        source,
        field,
        words[: place.start()] if place else words,
        _allowed.describe(field),
        _marks.line_of(root, field),
    )
