"""The console's routes, sessions and pages."""

from __future__ import annotations

import collections.abc
import functools
import hmac
import re
import typing

import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing
import starlette.types

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_entry.console import _changes
from walnutpoint_entry.console import _fields
from walnutpoint_entry.console import _form
from walnutpoint_entry.console import _pages
from walnutpoint_entry.console import _session
from walnutpoint_entry.console import _submission
from walnutpoint_entry.console import _tables
from walnutpoint_entry import operators

__all__ = ('ConsoleApp',)

_LOG = logs.get_logger(__name__)

_BASE_PATH: typing.Final = '/console'
_FORM_TOKEN_FIELD: typing.Final = 'form_token'
_START_PATTERN: typing.Final = re.compile('[0-9]{1,9}')
_HISTORY_ROWS_MAX: typing.Final = 20

_Request: typing.TypeAlias = starlette.requests.Request
_Response: typing.TypeAlias = starlette.responses.Response
_PageHandler: typing.TypeAlias = collections.abc.Callable[
    [_Request, _session.Session], collections.abc.Awaitable[_Response]
]
_FormHandler: typing.TypeAlias = collections.abc.Callable[
    [_Request, _session.Session, _form.Form],
    collections.abc.Awaitable[_Response],
]
_RouteHandler: typing.TypeAlias = collections.abc.Callable[
    [_Request], collections.abc.Awaitable[_Response]
]


class ConsoleApp:
    """Serve the login, the overview, the lists and the edit forms."""

    def __init__(
        self,
        token: str,
        backend: operators.DocumentBackend,
        handler: operators.OperatorHandler,
    ) -> None:
        self._token = token.encode()
        self._backend = backend
        self._handler = handler
        self._sessions = _session.Sessions(token)
        self._pages = _pages.Pages(self._sessions, handler.status().name)

    def app(self) -> starlette.types.ASGIApp:
        """Return the ASGI application, to be mounted at /console."""
        route = starlette.routing.Route
        submitter = _submission.DocumentSubmitter(self._backend, self._pages)
        routes = [
            route('/style.css', self._style),
            route('/login', self._show_login),
            self._post_route('/login', self._log_in, allow_anonymous=True),
            self._post_route('/logout', self._log_out),
            self._get_route('/', self._overview),
            self._post_route('/submit', submitter.submit),
        ]
        for section in _fields.SECTIONS:
            forms = _changes.ItemForms(section, self._backend, self._pages)
            list_page = functools.partial(self._list, section)
            routes += [
                self._get_route(f'/list/{section}', list_page),
                self._get_route(f'/edit/{section}', forms.edit),
                self._post_route(f'/edit/{section}', forms.preview_upsert),
                self._post_route(f'/end/{section}', forms.preview_removal),
            ]
        return starlette.applications.Starlette(routes=routes)

    def _get_route(
        self, path: str, handler: _PageHandler
    ) -> starlette.routing.Route:
        async def handle(http: _Request) -> _Response:
            session = self._sessions.read(http)
            if not session.is_operator:
                return _redirect('/login')
            return await handler(http, session)

        return starlette.routing.Route(path, handle)

    def _post_route(
        self, path: str, handler: _FormHandler, allow_anonymous: bool = False
    ) -> starlette.routing.Route:
        async def handle(http: _Request) -> _Response:
            session = self._sessions.read(http)
            if not session.is_operator and not allow_anonymous:
                return _redirect('/login')
            form = await _form.read(http)
            if form.is_error():
                return self._show_refusal(session, form.error)
            # CSRF protection: another site can make a browser send a form,
            # but can't read the session's form token.
            form_token = form.ok.get(_FORM_TOKEN_FIELD, '')
            if not self._sessions.is_valid_form_token(session, form_token):
                _LOG.warning('console_form_refused', path=http.url.path)
                return self._show_refusal(
                    session,
                    errors.Failure(
                        errors.ErrorKind.UNAUTHENTICATED,
                        'the form is not of this session: load it again',
                    ),
                    403,
                )
            return await handler(http, session, form.ok)

        return starlette.routing.Route(path, handle, methods=['POST'])

    async def _style(self, http: _Request) -> _Response:
        return self._pages.style()

    async def _show_login(self, http: _Request) -> _Response:
        session = self._sessions.read(http)
        response = self._pages.render('login.html', session, is_wrong=False)
        self._sessions.save(response, session)
        return response

    async def _log_in(
        self, http: _Request, session: _session.Session, form: _form.Form
    ) -> _Response:
        token = form.get('token', '').strip().encode()
        if not hmac.compare_digest(token, self._token):
            self._handler.count_refused_token()
            _LOG.warning('operator_refused', path=http.url.path)
            return self._pages.render(
                'login.html', session, 401, is_wrong=True
            )
        response = _redirect('/')
        # A new session id prevents session fixation: one planted before the
        # login stays anonymous.
        self._sessions.save(response, self._sessions.create(True))
        return response

    async def _log_out(
        self, http: _Request, session: _session.Session, form: _form.Form
    ) -> _Response:
        response = _redirect('/login')
        self._sessions.clear(response)
        return response

    async def _overview(
        self, http: _Request, session: _session.Session
    ) -> _Response:
        configuration = self._backend.configuration
        return self._pages.render(
            'overview.html',
            session,
            state=msgspec.structs.asdict(self._handler.status()),
            config=configuration.status(),
            history=configuration.history()[: -_HISTORY_ROWS_MAX - 1 : -1],
            owners=self._handler.owners().owners[: _tables.ROWS_MAX],
            endpoints=self._handler.endpoints().endpoints[: _tables.ROWS_MAX],
        )

    async def _list(
        self, section: str, http: _Request, session: _session.Session
    ) -> _Response:
        team = http.query_params.get('team', '')
        start = http.query_params.get('start', '')
        configuration = self._backend.configuration.configuration
        return self._pages.render(
            'list.html',
            session,
            section=section,
            team=team,
            revision=configuration.revision,
            fields=_fields.section_fields(section),
            listing=_tables.list_items(
                configuration,
                section,
                team,
                int(start) if _START_PATTERN.fullmatch(start) else 0,
                self._backend.jobs,
            ),
        )

    def _show_refusal(
        self,
        session: _session.Session,
        failure: errors.Failure,
        status: int | None = None,
    ) -> _Response:
        return self._pages.render(
            'refused.html',
            session,
            status or failure.rule.status,
            failure=failure,
            faults=(),
            document='',
        )


def _redirect(path: str) -> _Response:
    return starlette.responses.RedirectResponse(f'{_BASE_PATH}{path}', 303)
