"""The HTTP interface to documents, the configuration and jobs."""

from __future__ import annotations

import math
import secrets
import typing

import msgspec
import starlette.requests
import starlette.responses
import starlette.routing

from walnutpoint_core import documents
from walnutpoint_core import errors
from walnutpoint_entry.operators import _body
from walnutpoint_entry.operators import _document_views
from walnutpoint_entry.operators import _views

__all__ = ('DocumentApi', 'new_submission_id')

# Above the limit of a document, so that it reports its own faults.
_BODY_SIZE_MAX_BYTES: typing.Final = 300_000
_SUBMISSION_ID_SIZE_BYTES: typing.Final = 12
_OUTCOME: typing.Final = 'walnutpoint-outcome'
_REVISION: typing.Final = 'walnutpoint-revision'
_JSON: typing.Final = 'application/json'

_Request: typing.TypeAlias = starlette.requests.Request
_Response: typing.TypeAlias = starlette.responses.Response


def new_submission_id() -> str:
    """Return a submission id that no other document has."""
    return secrets.token_hex(_SUBMISSION_ID_SIZE_BYTES)


class DocumentApi:
    """Take operators' documents and show what they have led to."""

    __slots__ = ('_handler', '_parts')

    def __init__(
        self,
        parts: _document_views.DocumentParts,
        handler: _views.OperatorHandler,
    ) -> None:
        self._parts = parts
        self._handler = handler

    def routes(self) -> list[starlette.routing.Route]:
        """Return the routes, which need the operators' token."""
        route = starlette.routing.Route
        return [
            route('/v1/documents', self._submit, methods=['POST']),
            route('/v1/documents/diff', self._diff, methods=['POST']),
            route('/v1/config', self._config),
            route('/v1/config/status', self._config_status),
            route('/v1/history', self._history),
            route('/v1/jobs', self._jobs),
            route('/v1/jobs/{team}/{name}', self._job),
        ]

    async def _submit(self, http: _Request) -> _Response:
        read = await _body.read_text(http, _BODY_SIZE_MAX_BYTES)
        if read.is_error():
            return _refused(documents.Refusal(read.error))
        done = await self._parts.configuration.submit(
            read.ok, self._parts.capacity.capacity()
        )
        if done.is_error():
            return _refused(done.error)
        view = _document_views.AcceptedView(done.ok.revision, done.ok.repeated)
        response = _json(view)
        response.headers[_OUTCOME] = errors.Outcome.DONE.value
        return response

    async def _diff(self, http: _Request) -> _Response:
        read = await _body.read_text(http, _BODY_SIZE_MAX_BYTES)
        if read.is_error():
            return _refused(documents.Refusal(read.error))
        configuration = self._parts.configuration
        compared = await configuration.diff(
            read.ok, self._parts.capacity.capacity()
        )
        if compared.is_error():
            return _refused(compared.error)
        return _json(
            _document_views.DiffView(
                configuration.status().revision,
                _document_views.change_rows(compared.ok),
            )
        )

    async def _config(self, http: _Request) -> _Response:
        configuration = self._parts.configuration
        team = http.query_params.get('team', '')
        if team and team not in configuration.configuration.teams:
            return _not_found(f'no team {team} is in force')
        document = configuration.export(new_submission_id(), team)
        headers = {_REVISION: str(document.based_on)}
        # JSON is a document as well. As YAML a whole cell's takes some 400
        # times as long; whoever wants to read it can spend that time.
        return _json(document, headers)

    async def _config_status(self, http: _Request) -> _Response:
        status = self._parts.configuration.status()
        return _json(
            _document_views.ConfigStatusView(
                self._handler.status().name,
                status.revision,
                status.is_newest_seen,
                status.in_force_s,
            )
        )

    async def _history(self, http: _Request) -> _Response:
        submissions = self._parts.configuration.history()
        return _json(_document_views.history_view(submissions))

    async def _jobs(self, http: _Request) -> _Response:
        return _json(self._parts.jobs.jobs())

    async def _job(self, http: _Request) -> _Response:
        name = f'{http.path_params["team"]}/{http.path_params["name"]}'
        view = self._parts.jobs.job(name)
        return _not_found(f'no job {name}') if view is None else _json(view)


def _not_found(detail: str) -> _Response:
    failure = errors.Failure(errors.ErrorKind.NOT_FOUND, detail)
    return _refused(documents.Refusal(failure))


def _refused(refusal: documents.Refusal) -> _Response:
    rule = refusal.failure.rule
    headers = {_OUTCOME: rule.outcome.value}
    retry_after_s = _document_views.retry_after_s(refusal.failure)
    if retry_after_s is not None:
        headers['retry-after'] = str(max(1, math.ceil(retry_after_s)))
    view = _document_views.RefusalView.of(refusal)
    return _json(view, headers, rule.status)


def _json(
    view: msgspec.Struct,
    headers: dict[str, str] | None = None,
    status: int = 200,
) -> _Response:
    return starlette.responses.Response(
        msgspec.json.encode(view), status, headers, _JSON
    )
