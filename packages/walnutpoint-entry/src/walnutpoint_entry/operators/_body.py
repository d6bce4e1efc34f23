"""Request bodies of bounded size."""

from __future__ import annotations

import expression
import starlette.requests

from walnutpoint_core import errors

__all__ = ('read_text',)


async def read_text(
    http: starlette.requests.Request, size_max_bytes: int
) -> expression.Result[str, errors.Failure]:
    """Return a body as text, unless it is too large or not UTF-8."""
    body = bytearray()
    # The length is counted and not believed: a body without one, or with a
    # false one, would fill the memory that requests need.
    async for chunk in http.stream():
        body.extend(chunk)
        if len(body) > size_max_bytes:
            return expression.Error(
                errors.Failure(
                    errors.ErrorKind.BODY_TOO_LARGE,
                    f'at most {size_max_bytes} bytes',
                )
            )
    try:
        return expression.Ok(body.decode())
    except UnicodeDecodeError:
        return expression.Error(
            errors.Failure(errors.ErrorKind.BAD_REQUEST, 'not UTF-8')
        )
