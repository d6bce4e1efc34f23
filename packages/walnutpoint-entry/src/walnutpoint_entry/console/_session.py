"""Signed sessions, and the tokens that tie a form to its session."""

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
_DIGEST: typing.Final = hashlib.sha256


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """One browser, and whether it has shown the operators' token."""

    identity: str
    is_operator: bool


class Sessions:
    """Sessions kept in a cookie alone, so that any process knows them."""

    __slots__ = ('_forms', '_serializer')

    def __init__(self, token: str) -> None:
        self._serializer = itsdangerous.URLSafeTimedSerializer(
            token,
            salt='walnutpoint console session',
            signer_kwargs={
                'key_derivation': _KEY_DERIVATION,
                'digest_method': _DIGEST,
            },
        )
        self._forms = itsdangerous.Signer(
            token,
            salt=b'walnutpoint console form',
            key_derivation=_KEY_DERIVATION,
            digest_method=_DIGEST,
        )

    def read(self, http: starlette.requests.Request) -> Session:
        """Return the session of a request, or a new one of a stranger."""
        try:
            identity, is_operator = self._serializer.loads(
                http.cookies.get(_COOKIE, ''), max_age=_MAX_AGE_S
            )
        except itsdangerous.BadData:
            return self.new(False)
        return Session(identity, is_operator)

    def new(self, is_operator: bool) -> Session:
        """Return a session that no browser has yet."""
        return Session(secrets.token_hex(_ID_SIZE_BYTES), is_operator)

    def save(
        self, response: starlette.responses.Response, session: Session
    ) -> None:
        """Give a session to the browser."""
        value = self._serializer.dumps([session.identity, session.is_operator])
        # Strict: no other site can make the browser send it.
        response.set_cookie(
            _COOKIE,
            str(value),
            max_age=_MAX_AGE_S,
            path=_COOKIE_PATH,
            httponly=True,
            samesite='strict',
        )

    def forget(self, response: starlette.responses.Response) -> None:
        """Take the session from the browser."""
        response.delete_cookie(_COOKIE, path=_COOKIE_PATH)

    def form_token(self, session: Session) -> str:
        """Return what every form of a session must carry."""
        return self._forms.get_signature(session.identity).decode()

    def is_own_form(self, session: Session, form_token: str) -> bool:
        """Tell whether a form was made for a session."""
        return self._forms.verify_signature(session.identity, form_token)
