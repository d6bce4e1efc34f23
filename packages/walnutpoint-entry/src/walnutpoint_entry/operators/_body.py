"""Request bodies of bounded size."""

from __future__ import annotations

import expression
import starlette.requests

from walnutpoint_core import errors

__all__ = ('read_text',)


async def read_text(
    http: starlette.requests.Request, size_max_bytes: int
) -> expression.Result[str, errors.Failure]:
    """Return a body as text, or a failure if too large or not UTF-8."""
    body = bytearray()
    # Counts the bytes, since content-length may be missing or false and an
    # unbounded body would exhaust the memory.
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
