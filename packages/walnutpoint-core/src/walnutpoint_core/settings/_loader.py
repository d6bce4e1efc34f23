"""Loading of YAML settings and validation of fields and relations."""

from __future__ import annotations

import pathlib
import re
import typing

import expression
import msgspec
import yaml

from walnutpoint_core.settings import _allowed
from walnutpoint_core.settings import _error
from walnutpoint_core.settings import _locations
from walnutpoint_core.settings import _relations
from walnutpoint_core.settings import _schema

__all__ = (
    'check',
    'load',
)

_PATH_PATTERN = re.compile(r' - at (?:`key` in )?`\$\.?(?P<path>[^`]*)`$')
_FIELD_PATTERN = re.compile(r'(?:unknown|required) field `(?P<name>[^`]*)`')

_Result = expression.Result[_schema.Settings, _error.SettingsError]


def load(path: str) -> _Result:
    """Load and validate the settings in a file."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error(
            _error.SettingsError(
                path, '', f'cannot read: {error}', 'a readable UTF-8 file'
            )
        )
    return check(text, path)


def check(text: str, source: str) -> _Result:
    """Validate the settings in a text; errors name the source."""
    try:
        root = yaml.compose(text, yaml.SafeLoader)
        # Of two equal keys only the last would take effect, which an operator
        # who finds the first one in the file would not notice.
        duplicate_key = _locations.find_duplicate_key(root)
        if duplicate_key is not None:
            return expression.Error(
                _duplicate_key_error(duplicate_key, source)
            )
        document = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return expression.Error(_yaml_error(error, source))
    return _convert(document, root, source)


def _convert(
    document: typing.Any, root: yaml.Node | None, source: str
) -> _Result:
    try:
        settings = msgspec.convert(document, _schema.Settings, strict=True)
    except msgspec.ValidationError as error:
        return expression.Error(_validation_error(str(error), root, source))
    violation = _relations.find_violation(settings)
    if violation is None:
        return expression.Ok(settings)
    line = _locations.line_of(root, violation.field)
    return expression.Error(
        _error.SettingsError(
            source, violation.field, violation.detail, violation.allowed, line
        )
    )


def _duplicate_key_error(
    duplicate_key: _locations.DuplicateKey, source: str
) -> _error.SettingsError:
    return _error.SettingsError(
        source,
        duplicate_key.field,
        'duplicate key',
        'each key once',
        duplicate_key.line,
    )


def _yaml_error(error: Exception, source: str) -> _error.SettingsError:
    mark = getattr(error, 'problem_mark', None)
    message = getattr(error, 'problem', None) or str(error)
    return _error.SettingsError(
        source,
        '',
        f'not YAML: {message}',
        'one YAML document',
        None if mark is None else mark.line + 1,
    )


def _validation_error(
    message: str, root: yaml.Node | None, source: str
) -> _error.SettingsError:
    path_match = _PATH_PATTERN.search(message)
    field = path_match['path'] if path_match else ''
    field_match = _FIELD_PATTERN.search(message)
    if field_match:
        field = f'{field}.{field_match["name"]}'.lstrip('.')
    return _error.SettingsError(
        source,
        field,
        message[: path_match.start()] if path_match else message,
        _allowed.describe(field),
        _locations.line_of(root, field),
    )
