"""Signed session cookies and CSRF tokens."""

from __future__ import annotations

import dataclasses
import hashlib
import secrets
import typing

import itsdangerous
import starlette.requests
import starlette.responses

__all__ = (
    'Session',
    'Sessions',
)

_COOKIE: typing.Final = 'walnutpoint_session'
_COOKIE_PATH: typing.Final = '/console'
_MAX_AGE_S: typing.Final = 8 * 3600
_ID_SIZE_BYTES: typing.Final = 16
_KEY_DERIVATION: typing.Final = 'hmac'
_DIGEST_METHOD: typing.Final = hashlib.sha256


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """A browser session; is_operator once it has logged in."""

    session_id: str
    is_operator: bool


class Sessions:
    """Sessions held only in a signed cookie, valid at any process."""

    __slots__ = ('_form_signer', '_serializer')

    def __init__(self, token: str) -> None:
        self._serializer = itsdangerous.URLSafeTimedSerializer(
            token,
            salt='walnutpoint console session',
            signer_kwargs={
                'key_derivation': _KEY_DERIVATION,
                'digest_method': _DIGEST_METHOD,
            },
        )
        self._form_signer = itsdangerous.Signer(
            token,
            salt=b'walnutpoint console form',
            key_derivation=_KEY_DERIVATION,
            digest_method=_DIGEST_METHOD,
        )

    def read(self, http: starlette.requests.Request) -> Session:
        """Return a request's session, or a new anonymous one."""
        try:
            session_id, is_operator = self._serializer.loads(
                http.cookies.get(_COOKIE, ''), max_age=_MAX_AGE_S
            )
        except itsdangerous.BadData:
            return self.create(False)
        return Session(session_id, is_operator)

    def create(self, is_operator: bool) -> Session:
        """Return a new session."""
        return Session(secrets.token_hex(_ID_SIZE_BYTES), is_operator)

    def save(
        self, response: starlette.responses.Response, session: Session
    ) -> None:
        """Set the session cookie."""
        value = self._serializer.dumps(
            [session.session_id, session.is_operator]
        )
        # Strict, so that no other site can make the browser send it.
        response.set_cookie(
            _COOKIE,
            str(value),
            max_age=_MAX_AGE_S,
            path=_COOKIE_PATH,
            httponly=True,
            samesite='strict',
        )

    def clear(self, response: starlette.responses.Response) -> None:
        """Delete the session cookie."""
        response.delete_cookie(_COOKIE, path=_COOKIE_PATH)

    def form_token(self, session: Session) -> str:
        """Return the token that each form of a session must carry."""
        return self._form_signer.get_signature(session.session_id).decode()

    def is_valid_form_token(self, session: Session, form_token: str) -> bool:
        """Return whether a form token belongs to a session."""
        return self._form_signer.verify_signature(
            session.session_id, form_token
        )
