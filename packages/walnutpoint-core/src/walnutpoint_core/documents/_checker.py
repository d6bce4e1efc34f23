"""Validation of a document, which reports all faults together."""

from __future__ import annotations

import collections.abc
import functools
import typing

import expression
import jsonschema
import msgspec

from walnutpoint_core.documents import _capacity
from walnutpoint_core.documents import _fault
from walnutpoint_core.documents import _parser
from walnutpoint_core.documents import _schema

__all__ = ('allowed_text', 'check', 'document_schema')

_Faults: typing.TypeAlias = tuple[_fault.FieldFault, ...]
_Node: typing.TypeAlias = collections.abc.Mapping[str, typing.Any]
_NEVER_RUN: typing.Final = 'can never run: '


@functools.cache
def document_schema() -> _Node:
    """Return the JSON Schema of the document."""
    return msgspec.json.schema(_schema.Document)


def check(
    text: str, capacity: _capacity.HostCapacity | None = None
) -> expression.Result[_schema.Document, _Faults]:
    """Return the document of a text, or all of its faults."""
    parsed = _parser.parse(text)
    if parsed.is_error():
        return expression.Error(parsed.error)
    value, duplicate_key_faults = parsed.ok
    faults = [*duplicate_key_faults, *_schema_faults(value)]
    if faults:
        return expression.Error(tuple(dict.fromkeys(faults)))
    try:
        document = msgspec.convert(value, _schema.Document)
    except msgspec.ValidationError as error:
        return expression.Error(
            (_fault.FieldFault('', str(error), 'a document'),)
        )
    cross_faults = (
        *_cross_faults(document),
        *_unschedulable_faults(document, capacity),
    )
    if cross_faults:
        return expression.Error(cross_faults)
    return expression.Ok(document)


def allowed_text(node: _Node) -> str:
    """Describe the values that a schema node allows."""
    if '$ref' in node:
        node = document_schema()['$defs'][node['$ref'].rsplit('/', 1)[1]]
    if 'anyOf' in node:
        return ' or '.join(allowed_text(option) for option in node['anyOf'])
    if 'enum' in node:
        return 'one of ' + ', '.join(str(option) for option in node['enum'])
    kind = node.get('type', 'string')
    parts = [_TYPE_NAMES[kind]]
    if 'description' in node and kind == 'string':
        parts.append(node['description'])
    if 'minimum' in node:
        low, high = (
            _format_number(node['minimum']),
            _format_number(node['maximum']),
        )
        parts.append(f'{low} to {high}')
    for minimum, maximum, unit in _LENGTH_KEYWORDS:
        if maximum in node:
            parts.append(f'{node.get(minimum, 0)} to {node[maximum]} {unit}')
    return ', '.join(parts)


def _format_number(value: float) -> str:
    return str(int(value)) if value == int(value) else str(value)


_TYPE_NAMES: typing.Final = {
    'array': 'a list',
    'boolean': 'true or false',
    'integer': 'an integer',
    'null': 'null',
    'number': 'a number',
    'object': 'a mapping',
    'string': 'text',
}
_LENGTH_KEYWORDS: typing.Final = (
    ('minLength', 'maxLength', 'characters'),
    ('minItems', 'maxItems', 'entries'),
)


@functools.cache
def _validator() -> jsonschema.protocols.Validator:
    return jsonschema.Draft202012Validator(document_schema())


def _schema_faults(
    value: object,
) -> collections.abc.Iterator[_fault.FieldFault]:
    for error in _validator().iter_errors(value):
        yield from _error_faults(error)


def _error_faults(
    error: jsonschema.ValidationError,
) -> collections.abc.Iterator[_fault.FieldFault]:
    path = '.'.join(str(step) for step in error.absolute_path)
    instance: typing.Any = error.instance
    if error.validator == 'additionalProperties':
        known = error.schema['properties']
        allowed = 'one of ' + ', '.join(known)
        for name in instance:
            if name not in known:
                field = _parser.join_path(path, name)
                yield _fault.FieldFault(field, 'an unknown field', allowed)
    elif error.validator == 'required':
        for name in error.validator_value:
            if name not in instance:
                allowed = allowed_text(error.schema['properties'][name])
                field = _parser.join_path(path, name)
                yield _fault.FieldFault(field, 'nothing', allowed)
    elif error.validator == 'anyOf':
        yield from _any_of_faults(error, path)
    elif 'propertyNames' in error.absolute_schema_path:
        yield _fault.FieldFault(
            _parser.join_path(path, instance),
            _fault.shorten(instance),
            allowed_text(error.schema),
        )
    else:
        yield _fault.FieldFault(
            path, _fault.shorten(instance), allowed_text(error.schema)
        )


def _any_of_faults(
    error: jsonschema.ValidationError, path: str
) -> collections.abc.Iterator[_fault.FieldFault]:
    # A given mapping is reported against the mapping of "null or mapping".
    if isinstance(error.instance, dict):
        for inner in error.context or ():
            if inner.validator != 'type' or inner.path:
                yield from _error_faults(inner)
        return
    yield _fault.FieldFault(
        path, _fault.shorten(error.instance), allowed_text(error.schema)
    )


def _cross_faults(document: _schema.Document) -> list[_fault.FieldFault]:
    faults = []
    for section, deleted, defined in (
        ('teams', document.deletions.teams, document.teams),
        ('services', document.deletions.services, document.services),
    ):
        for index, name in enumerate(deleted):
            if name in defined:
                field = f'deletions.{section}.{index}'
                allowed = f'an item that {section} does not also set'
                faults.append(_fault.FieldFault(field, name, allowed))
    for index, name in enumerate(document.cancellations):
        if name in document.batch_jobs or name in document.gang_jobs:
            field = f'cancellations.{index}'
            allowed = 'a job that this document does not also set'
            faults.append(_fault.FieldFault(field, name, allowed))
    for name in document.gang_jobs:
        if name in document.batch_jobs:
            allowed = 'a name that is not also a batch job'
            field = f'gang_jobs.{name}'
            faults.append(_fault.FieldFault(field, name, allowed))
    for name, service in document.services.items():
        faults.extend(_service_faults(f'services.{name}', service))
    return faults


def _service_faults(
    path: str, service: _schema.Service
) -> collections.abc.Iterator[_fault.FieldFault]:
    if service.spread_over > service.instances:
        yield _fault.FieldFault(
            f'{path}.spread_over',
            str(service.spread_over),
            f'at most its {service.instances} instances',
        )
    restart = service.restart
    if restart.backoff_max_s < restart.backoff_s:
        yield _fault.FieldFault(
            f'{path}.restart.backoff_max_s',
            str(restart.backoff_max_s),
            f'at least its backoff_s, {restart.backoff_s}',
        )


def _unschedulable_faults(
    document: _schema.Document, capacity: _capacity.HostCapacity | None
) -> collections.abc.Iterator[_fault.FieldFault]:
    if capacity is None:
        return
    for section in ('services', 'batch_jobs', 'gang_jobs'):
        for name, item in getattr(document, section).items():
            reason = capacity.size_rejection(item.size)
            if reason:
                yield _fault.FieldFault(
                    f'{section}.{name}.size',
                    _fault.shorten(msgspec.to_builtins(item.size)),
                    _NEVER_RUN + reason,
                )
    for name, job in document.gang_jobs.items():
        reason = capacity.gang_rejection(job.size, job.tasks)
        if reason:
            yield _fault.FieldFault(
                f'gang_jobs.{name}.tasks',
                str(job.tasks),
                _NEVER_RUN + reason,
            )
    for name, service in document.services.items():
        if service.spread_over > capacity.domains:
            yield _fault.FieldFault(
                f'services.{name}.spread_over',
                str(service.spread_over),
                f'{_NEVER_RUN}the cell has {capacity.domains} failure domains',
            )
