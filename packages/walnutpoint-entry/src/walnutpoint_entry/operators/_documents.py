"""The HTTP API for documents, the configuration and jobs."""

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

# Above the limit of a document, whose check then reports the fault.
_BODY_SIZE_MAX_BYTES: typing.Final = 300_000
_SUBMISSION_ID_SIZE_BYTES: typing.Final = 12
_OUTCOME_HEADER: typing.Final = 'walnutpoint-outcome'
_REVISION_HEADER: typing.Final = 'walnutpoint-revision'
_JSON_MEDIA_TYPE: typing.Final = 'application/json'

_Request: typing.TypeAlias = starlette.requests.Request
_Response: typing.TypeAlias = starlette.responses.Response


def new_submission_id() -> str:
    """Return a unique submission id."""
    return secrets.token_hex(_SUBMISSION_ID_SIZE_BYTES)


class DocumentApi:
    """Serve document submissions, the configuration and jobs."""

    __slots__ = ('_backend', '_handler')

    def __init__(
        self,
        backend: _document_views.DocumentBackend,
        handler: _views.OperatorHandler,
    ) -> None:
        self._backend = backend
        self._handler = handler

    def routes(self) -> list[starlette.routing.Route]:
        """Return the routes, to be served behind token authentication."""
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
        body = await _body.read_text(http, _BODY_SIZE_MAX_BYTES)
        if body.is_error():
            return _refusal_response(documents.Refusal(body.error))
        result = await self._backend.configuration.submit(
            body.ok, self._backend.capacity.capacity()
        )
        if result.is_error():
            return _refusal_response(result.error)
        view = _document_views.AcceptedView(
            result.ok.revision, result.ok.repeated
        )
        response = _json_response(view)
        response.headers[_OUTCOME_HEADER] = errors.Outcome.DONE.value
        return response

    async def _diff(self, http: _Request) -> _Response:
        body = await _body.read_text(http, _BODY_SIZE_MAX_BYTES)
        if body.is_error():
            return _refusal_response(documents.Refusal(body.error))
        configuration = self._backend.configuration
        changes = await configuration.diff(
            body.ok, self._backend.capacity.capacity()
        )
        if changes.is_error():
            return _refusal_response(changes.error)
        return _json_response(
            _document_views.DiffView(
                configuration.status().revision,
                _document_views.change_rows(changes.ok),
            )
        )

    async def _config(self, http: _Request) -> _Response:
        configuration = self._backend.configuration
        team = http.query_params.get('team', '')
        if team and team not in configuration.configuration.teams:
            return _not_found(f'no team {team} is in force')
        document = configuration.export(new_submission_id(), team)
        headers = {_REVISION_HEADER: str(document.based_on)}
        # JSON is valid as a document too; encoding a whole cell's as YAML
        # takes some 400 times as long.
        return _json_response(document, headers)

    async def _config_status(self, http: _Request) -> _Response:
        status = self._backend.configuration.status()
        return _json_response(
            _document_views.ConfigStatusView(
                self._handler.status().name,
                status.revision,
                status.is_newest_seen,
                status.in_force_s,
            )
        )

    async def _history(self, http: _Request) -> _Response:
        submissions = self._backend.configuration.history()
        return _json_response(_document_views.history_view(submissions))

    async def _jobs(self, http: _Request) -> _Response:
        return _json_response(self._backend.jobs.jobs())

    async def _job(self, http: _Request) -> _Response:
        name = f'{http.path_params["team"]}/{http.path_params["name"]}'
        view = self._backend.jobs.job(name)
        return (
            _not_found(f'no job {name}')
            if view is None
            else _json_response(view)
        )


def _not_found(detail: str) -> _Response:
    failure = errors.Failure(errors.ErrorKind.NOT_FOUND, detail)
    return _refusal_response(documents.Refusal(failure))


def _refusal_response(refusal: documents.Refusal) -> _Response:
    rule = refusal.failure.rule
    headers = {_OUTCOME_HEADER: rule.outcome.value}
    retry_after_s = _document_views.retry_after_s(refusal.failure)
    if retry_after_s is not None:
        headers['retry-after'] = str(max(1, math.ceil(retry_after_s)))
    view = _document_views.RefusalView.from_refusal(refusal)
    return _json_response(view, headers, rule.status)


def _json_response(
    view: msgspec.Struct,
    headers: dict[str, str] | None = None,
    status: int = 200,
) -> _Response:
    return starlette.responses.Response(
        msgspec.json.encode(view), status, headers, _JSON_MEDIA_TYPE
    )
