"""The fingerprint that distinguishes a repeat from a different request."""

from __future__ import annotations

import hashlib

from walnutpoint_core import model

__all__ = ('fingerprint',)

_DIGEST_SIZE_BYTES = 16
_LENGTH_SIZE_BYTES = 8


def fingerprint(request: model.Request) -> bytes:
    """Return the digest of a request's team, method, path and body."""
    digest = hashlib.blake2b(digest_size=_DIGEST_SIZE_BYTES)
    for part in (
        request.team.encode(),
        request.method.encode(),
        request.path.encode(),
        request.body,
    ):
        # Without the lengths, bytes moved from one part to the next would
        # give the same digest: a request could get the answer of another.
        digest.update(len(part).to_bytes(_LENGTH_SIZE_BYTES))
        digest.update(part)
    return digest.digest()
