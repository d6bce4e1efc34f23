"""Addresses of servers, as others name them."""

from __future__ import annotations

import typing

__all__ = (
    'is_address',
    'parse',
)

_PORT_MAX: typing.Final = 65_535
_PORT_DIGITS_MAX: typing.Final = 5
# RFC 1035 section 2.3.4.
_HOST_MAX_CHARACTERS: typing.Final = 255


def is_address(text: str) -> bool:
    """Return whether the text is a host:port that can be connected to."""
    return parse(text) is not None


def parse(text: str) -> tuple[str, int] | None:
    """Return host and port, or None if the text is no address."""
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdigit()):
        return None
    if len(port) > _PORT_DIGITS_MAX or not 0 < int(port) <= _PORT_MAX:
        return None
    return (host, int(port)) if _is_host(host) else None


def _is_host(host: str) -> bool:
    if not 0 < len(host) <= _HOST_MAX_CHARACTERS:
        return False
    if not host.isprintable() or ' ' in host:
        return False
    try:
        # Labels that are empty or too long can't be resolved.
        host.encode('idna')
    except UnicodeError:
        return False
    return True
