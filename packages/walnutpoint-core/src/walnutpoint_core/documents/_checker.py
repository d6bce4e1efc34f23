"""The check of a whole document, which reports every fault at once."""

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
_NEVER: typing.Final = 'can never run: '


@functools.cache
def document_schema() -> _Node:
    """Return the JSON Schema of the document."""
    return msgspec.json.schema(_schema.Document)


def check(
    text: str, capacity: _capacity.HostCapacity | None = None
) -> expression.Result[_schema.Document, _Faults]:
    """Return the document that a text holds, or all of its faults."""
    parsed = _parser.parse(text)
    if parsed.is_error():
        return expression.Error(parsed.error)
    value, doubled = parsed.ok
    faults = [*doubled, *_schema_faults(value)]
    if faults:
        return expression.Error(tuple(dict.fromkeys(faults)))
    try:
        document = msgspec.convert(value, _schema.Document)
    except msgspec.ValidationError as error:
        return expression.Error(
            (_fault.FieldFault('', str(error), 'a document'),)
        )
    crossed = (*_cross_faults(document), *_never_run(document, capacity))
    if crossed:
        return expression.Error(crossed)
    return expression.Ok(document)


def allowed_text(node: _Node) -> str:
    """Return in words what a node of the schema allows."""
    if '$ref' in node:
        node = document_schema()['$defs'][node['$ref'].rsplit('/', 1)[1]]
    if 'anyOf' in node:
        return ' or '.join(allowed_text(one) for one in node['anyOf'])
    if 'enum' in node:
        return 'one of ' + ', '.join(str(one) for one in node['enum'])
    kind = node.get('type', 'string')
    words = [_TYPE_WORDS[kind]]
    if 'description' in node and kind == 'string':
        words.append(node['description'])
    if 'minimum' in node:
        low, high = _number(node['minimum']), _number(node['maximum'])
        words.append(f'{low} to {high}')
    for least, most, unit in _LENGTHS:
        if most in node:
            words.append(f'{node.get(least, 0)} to {node[most]} {unit}')
    return ', '.join(words)


def _number(value: float) -> str:
    return str(int(value)) if value == int(value) else str(value)


_TYPE_WORDS: typing.Final = {
    'array': 'a list',
    'boolean': 'true or false',
    'integer': 'an integer',
    'null': 'null',
    'number': 'a number',
    'object': 'a mapping',
    'string': 'text',
}
_LENGTHS: typing.Final = (
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
        yield from _faults_of(error)


def _faults_of(
    error: jsonschema.ValidationError,
) -> collections.abc.Iterator[_fault.FieldFault]:
    path = '.'.join(str(step) for step in error.absolute_path)
    instance: typing.Any = error.instance
    if error.validator == 'additionalProperties':
        known = error.schema['properties']
        allowed = 'one of ' + ', '.join(known)
        for name in instance:
            if name not in known:
                field = _parser.join(path, name)
                yield _fault.FieldFault(field, 'an unknown field', allowed)
    elif error.validator == 'required':
        for name in error.validator_value:
            if name not in instance:
                allowed = allowed_text(error.schema['properties'][name])
                field = _parser.join(path, name)
                yield _fault.FieldFault(field, 'nothing', allowed)
    elif error.validator == 'anyOf':
        yield from _any_of_faults(error, path)
    elif 'propertyNames' in error.absolute_schema_path:
        yield _fault.FieldFault(
            _parser.join(path, instance),
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
    # Of "null or mapping" a mapping was meant when a mapping was given.
    if isinstance(error.instance, dict):
        for inner in error.context or ():
            if inner.validator != 'type' or inner.path:
                yield from _faults_of(inner)
        return
    yield _fault.FieldFault(
        path, _fault.shorten(error.instance), allowed_text(error.schema)
    )


def _cross_faults(document: _schema.Document) -> list[_fault.FieldFault]:
    faults = []
    for section, gone, kept in (
        ('teams', document.deletions.teams, document.teams),
        ('services', document.deletions.services, document.services),
    ):
        for index, name in enumerate(gone):
            if name in kept:
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


def _never_run(
    document: _schema.Document, capacity: _capacity.HostCapacity | None
) -> collections.abc.Iterator[_fault.FieldFault]:
    if capacity is None:
        return
    for section in ('services', 'batch_jobs', 'gang_jobs'):
        for name, item in getattr(document, section).items():
            reason = capacity.size_reason(item.size)
            if reason:
                yield _fault.FieldFault(
                    f'{section}.{name}.size',
                    _fault.shorten(msgspec.to_builtins(item.size)),
                    _NEVER + reason,
                )
    for name, job in document.gang_jobs.items():
        reason = capacity.gang_reason(job.size, job.tasks)
        if reason:
            yield _fault.FieldFault(
                f'gang_jobs.{name}.tasks', str(job.tasks), _NEVER + reason
            )
    for name, service in document.services.items():
        if service.spread_over > capacity.domains:
            yield _fault.FieldFault(
                f'services.{name}.spread_over',
                str(service.spread_over),
                f'{_NEVER}the cell has {capacity.domains} failure domains',
            )
