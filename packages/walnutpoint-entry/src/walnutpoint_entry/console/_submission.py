"""Submission of confirmed documents."""

from __future__ import annotations

import math
import typing

import starlette.requests
import starlette.responses

from walnutpoint_core import errors
from walnutpoint_entry.console import _form
from walnutpoint_entry.console import _pages
from walnutpoint_entry.console import _session
from walnutpoint_entry import operators

__all__ = ('DocumentSubmitter',)

_DOCUMENT_FIELD: typing.Final = 'document'
# Failures after which the same document can be submitted again.
_RETRYABLE_KINDS: typing.Final = (
    errors.ErrorKind.STORE_ANSWER_LOST,
    errors.ErrorKind.STORE_UNAVAILABLE,
)


class DocumentSubmitter:
    """Submit confirmed documents and show the result."""

    __slots__ = ('_backend', '_pages')

    def __init__(
        self, backend: operators.DocumentBackend, pages: _pages.Pages
    ) -> None:
        self._backend = backend
        self._pages = pages

    async def submit(
        self,
        http: starlette.requests.Request,
        session: _session.Session,
        form: _form.Form,
    ) -> starlette.responses.Response:
        """Submit the document of a confirmation form."""
        text = form.get(_DOCUMENT_FIELD, '')
        result = await self._backend.configuration.submit(
            text, self._backend.capacity.capacity()
        )
        if result.is_ok():
            return self._pages.render('accepted.html', session, done=result.ok)
        failure = result.error.failure
        headers = {}
        if failure.retry_after_s is not None:
            retry_after_s = max(1, math.ceil(failure.retry_after_s))
            headers['retry-after'] = str(retry_after_s)
        return self._pages.render(
            'refused.html',
            session,
            failure.rule.status,
            headers,
            failure=failure,
            faults=result.error.faults,
            document=text if failure.kind in _RETRYABLE_KINDS else '',
        )
