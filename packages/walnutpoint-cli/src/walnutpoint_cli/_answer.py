"""The outcome of one request."""

from __future__ import annotations

import enum
import typing

import httpx
import msgspec
from walnutpoint_core import decoding
from walnutpoint_core import errors

from walnutpoint_cli import exit_code

__all__ = (
    'Answer',
    'Verdict',
    'from_error',
    'from_response',
)


class Verdict(enum.Enum):
    """What a caller may conclude about one request."""

    SERVED = 'served'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    UNREACHABLE = 'unreachable'

    @property
    def exit_code(self) -> exit_code.ExitCode:
        """Return the exit code that states this verdict."""
        return _EXIT_CODES[self]


_EXIT_CODES: typing.Final = {
    Verdict.SERVED: exit_code.ExitCode.DONE,
    Verdict.REFUSED: exit_code.ExitCode.REFUSED,
    Verdict.UNKNOWN: exit_code.ExitCode.UNKNOWN,
    Verdict.UNREACHABLE: exit_code.ExitCode.UNREACHABLE,
}
_VERDICTS: typing.Final = {
    errors.Outcome.DONE.value: Verdict.SERVED,
    errors.Outcome.NOT_RUN.value: Verdict.REFUSED,
    errors.Outcome.UNKNOWN.value: Verdict.UNKNOWN,
}


class Answer(msgspec.Struct, frozen=True, omit_defaults=True):
    """The verdict on a request and the details of its response."""

    verdict: Verdict
    entry: str
    elapsed_s: float
    status: int | None = None
    request_id: str | None = None
    waited_s: float | None = None
    endpoint: str | None = None
    owner: str | None = None
    kind: str | None = None
    detail: str | None = None
    retry_after_s: float | None = None
    body: str = ''


class _Error(msgspec.Struct, frozen=True):
    kind: str = ''
    detail: str = ''
    request_id: str | None = None
    retry_after_s: float | None = None


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _Error = _Error()


def from_response(
    response: httpx.Response, entry: str, elapsed_s: float
) -> Answer:
    """Return the answer of a complete response."""
    headers = response.headers
    # A response without the header may come from a proxy that had already
    # forwarded the request: it may have run.
    verdict = _VERDICTS.get(
        headers.get('Walnutpoint-Outcome', ''), Verdict.UNKNOWN
    )
    error = _error(response) if verdict is not Verdict.SERVED else _Error()
    retry_after_s = _number(headers.get('Retry-After'))
    waited_ms = _number(headers.get('Walnutpoint-Waited-Ms'))
    return Answer(
        verdict=verdict,
        entry=entry,
        elapsed_s=elapsed_s,
        status=response.status_code,
        request_id=headers.get('Walnutpoint-Request-Id', error.request_id),
        waited_s=None if waited_ms is None else waited_ms / 1000,
        endpoint=headers.get('Walnutpoint-Endpoint'),
        owner=headers.get('Walnutpoint-Owner'),
        kind=error.kind or None,
        detail=error.detail or None,
        retry_after_s=error.retry_after_s or retry_after_s,
        body=response.text,
    )


def from_error(exception: Exception, entry: str, elapsed_s: float) -> Answer:
    """Return the answer of a request without a complete response."""
    # Only a connection that was never opened proves that nothing was sent.
    unsent = isinstance(exception, (httpx.ConnectError, httpx.ConnectTimeout))
    return Answer(
        verdict=Verdict.UNREACHABLE if unsent else Verdict.UNKNOWN,
        entry=entry,
        elapsed_s=elapsed_s,
        detail=f'{type(exception).__name__}: {exception}',
    )


def _error(response: httpx.Response) -> _Error:
    try:
        return decoding.from_json(response.content, _ErrorBody).error
    except decoding.UnreadableError:
        return _Error()


def _number(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None
