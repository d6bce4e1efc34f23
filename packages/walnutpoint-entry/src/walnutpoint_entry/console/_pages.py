"""Rendering of pages without scripts."""

from __future__ import annotations

import importlib.resources
import typing

import jinja2
import starlette.responses

from walnutpoint_entry.console import _session

__all__ = ('Pages',)

_PACKAGE: typing.Final = 'walnutpoint_entry.console'
# Allows only forms and the style sheet of this origin: injected markup could
# neither run nor send anything elsewhere.
_HEADERS: typing.Final = {
    'content-security-policy': (
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "base-uri 'none'; frame-ancestors 'none'"
    ),
    'cache-control': 'no-store',
    'referrer-policy': 'same-origin',
    'x-content-type-options': 'nosniff',
}


class Pages:
    """Render templates for a session."""

    __slots__ = ('_environment', '_process_name', '_sessions', '_style')

    def __init__(self, sessions: _session.Sessions, process_name: str) -> None:
        self._sessions = sessions
        self._process_name = process_name
        self._environment = jinja2.Environment(
            loader=jinja2.PackageLoader(_PACKAGE),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )
        files = importlib.resources.files(_PACKAGE)
        self._style = files.joinpath('templates/style.css').read_text()

    def render(
        self,
        template: str,
        session: _session.Session,
        status: int = 200,
        headers: dict[str, str] | None = None,
        **context: typing.Any,
    ) -> starlette.responses.Response:
        """Return a page whose forms carry the session's form token."""
        html = self._environment.get_template(template).render(
            form_token=self._sessions.form_token(session),
            process=self._process_name,
            session=session,
            **context,
        )
        return starlette.responses.HTMLResponse(
            html, status, {**_HEADERS, **(headers or {})}
        )

    def style(self) -> starlette.responses.Response:
        """Return the style sheet."""
        return starlette.responses.Response(
            self._style, media_type='text/css', headers=_HEADERS
        )
