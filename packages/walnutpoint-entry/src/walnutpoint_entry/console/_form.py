"""Parsing of submitted forms."""

from __future__ import annotations

import collections.abc
import typing
import urllib.parse

import expression
import starlette.requests

from walnutpoint_core import errors
from walnutpoint_entry import operators

__all__ = ('Form', 'read')

# A document of 256 KB with every byte percent-encoded.
_SIZE_MAX_BYTES: typing.Final = 800_000
_FIELDS_MAX: typing.Final = 64
_MEDIA_TYPE: typing.Final = 'application/x-www-form-urlencoded'

Form: typing.TypeAlias = collections.abc.Mapping[str, str]


async def read(
    http: starlette.requests.Request,
) -> expression.Result[Form, errors.Failure]:
    """Return the fields of a form; of duplicates the last."""
    media_type = http.headers.get('content-type', '').partition(';')[0]
    if media_type.strip().lower() != _MEDIA_TYPE:
        return _bad_request(f'not {_MEDIA_TYPE}')
    body = await operators.read_text(http, _SIZE_MAX_BYTES)
    if body.is_error():
        return expression.Error(body.error)
    try:
        pairs = urllib.parse.parse_qsl(
            body.ok, keep_blank_values=True, max_num_fields=_FIELDS_MAX
        )
    except ValueError as error:
        return _bad_request(str(error))
    return expression.Ok(dict(pairs))


def _bad_request(detail: str) -> expression.Result[Form, errors.Failure]:
    failure = errors.Failure(errors.ErrorKind.BAD_REQUEST, detail)
    return expression.Error(failure)
