"""The scheduler's settings in a YAML file, validated as a whole."""

from __future__ import annotations

import pathlib
import typing

import expression
import msgspec
import yaml

from walnutpoint_scheduler import settings

__all__ = (
    'changes',
    'load',
    'parse',
)

Faults = tuple[str, ...]


def load(
    path: str,
) -> expression.Result[settings.SchedulerSettings, Faults]:
    """Read and validate a file."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return expression.Error((f'{path}: {error.strerror}',))
    except UnicodeDecodeError as error:
        return expression.Error((f'{path}: {error}',))
    return parse(text)


def parse(
    text: str,
) -> expression.Result[settings.SchedulerSettings, Faults]:
    """Return the settings, or the faults of all fields."""
    try:
        fields = yaml.safe_load(text) or {}
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return expression.Error((f'not YAML: {error}',))
    if not isinstance(fields, dict):
        return expression.Error(('not a mapping of fields to values',))
    faults = _faults(fields)
    if faults:
        return expression.Error(faults)
    loaded = msgspec.convert(fields, settings.SchedulerSettings)
    if loaded.lease_s > loaded.lease_max_s:
        return expression.Error(
            ('lease_s: longer than lease_max_s, which workers cut it to',)
        )
    return expression.Ok(loaded)


def changes(
    before: settings.SchedulerSettings, after: settings.SchedulerSettings
) -> dict[str, str]:
    """Return the changed fields, each as old->new."""
    return {
        name: f'{getattr(before, name)}->{getattr(after, name)}'
        for name in settings.SchedulerSettings.__struct_fields__
        if getattr(before, name) != getattr(after, name)
    }


def _faults(fields: dict[typing.Any, typing.Any]) -> Faults:
    """Validate each field by itself, to report all faults at once."""
    faults = []
    for name, value in fields.items():
        try:
            msgspec.convert({name: value}, settings.SchedulerSettings)
        except msgspec.ValidationError as error:
            faults.append(f'{name}: {error}')
    return tuple(faults)
