"""Minted idempotency keys, authenticated by a keyed hash (RFC 2104)."""

from __future__ import annotations

import base64
import dataclasses
import hashlib
import hmac
import secrets

import expression
import msgspec

from walnutpoint_core import errors
from walnutpoint_core import settings

__all__ = (
    'CallerKey',
    'KeyMinter',
    'MintedKey',
    'is_minted',
)

_PREFIX = 'wp1.'
# 256 characters of the caller, prefixed with its team.
_KEY_LENGTH_MAX = 320
_NONCE_SIZE_BYTES = 12
_TAG_SIZE_BYTES = 16
_HASH_SIZE_BYTES = 8


class _Payload(msgspec.Struct, frozen=True, array_like=True):
    shard: int
    epoch: int
    minted_wall_s: float
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class MintedKey:
    """A key minted by this cluster under one epoch of its shard."""

    text: str
    shard: int
    epoch: int
    minted_wall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerKey:
    """A key chosen by a caller."""

    text: str
    shard: int


class KeyMinter:
    """Mints keys, and parses and verifies the keys of callers."""

    __slots__ = ('_secret', '_shards', '_valid_s')

    def __init__(self, secret: str, shards: int, valid_s: float) -> None:
        self._secret = secret.encode()
        self._shards = shards
        self._valid_s = valid_s

    def mint(self, shard: int, epoch: int, wall_now_s: float) -> str:
        """Return a new key of a shard under its current epoch."""
        if not 0 <= shard < self._shards:
            raise ValueError(f'shard {shard} is not one of {self._shards}')
        nonce = secrets.token_bytes(_NONCE_SIZE_BYTES)
        payload = msgspec.msgpack.encode(
            _Payload(shard, epoch, float(wall_now_s), nonce)
        )
        return _PREFIX + _encode_text(payload + self._tag(payload))

    def parse(
        self, key: str, wall_now_s: float
    ) -> expression.Result[MintedKey | CallerKey, errors.Failure]:
        """Verify a caller's key and return its parts."""
        if not 1 <= len(key) <= _KEY_LENGTH_MAX or not key.isprintable():
            return _error(
                errors.ErrorKind.BAD_REQUEST,
                f'a key is 1 to {_KEY_LENGTH_MAX} printable characters',
            )
        if not key.startswith(_PREFIX):
            return expression.Ok(CallerKey(key, self._hash_shard(key)))
        payload = self._verify(key)
        if payload is None:
            return _error(
                errors.ErrorKind.KEY_FORGED, 'the key was not minted here'
            )
        return self._check_age(key, payload, wall_now_s)

    def shard_of(self, key: str) -> int:
        """Return the shard that a key belongs to, even if it is invalid."""
        if key.startswith(_PREFIX):
            payload = self._verify(key)
            if payload is not None and payload.shard < self._shards:
                return payload.shard
        return self._hash_shard(key)

    def _check_age(
        self, key: str, payload: _Payload, wall_now_s: float
    ) -> expression.Result[MintedKey | CallerKey, errors.Failure]:
        age_s = wall_now_s - payload.minted_wall_s
        # If the clock here is behind the minter's by over remember_s -
        # valid_s, a key stays valid after its answer is forgotten, and a
        # repeat runs twice. A key dated in the future reveals this, but not
        # if it is first sent late: hosts' clocks must agree within that.
        if (
            not -settings.CLOCK_AHEAD_RATIO * self._valid_s
            <= age_s
            <= self._valid_s
        ):
            return _error(
                errors.ErrorKind.KEY_EXPIRED,
                f'a key is valid for {self._valid_s:g} s',
            )
        if payload.shard >= self._shards:
            return _error(
                errors.ErrorKind.KEY_EXPIRED, 'the key is of a former layout'
            )
        return expression.Ok(
            MintedKey(key, payload.shard, payload.epoch, payload.minted_wall_s)
        )

    def _verify(self, key: str) -> _Payload | None:
        text = key.removeprefix(_PREFIX)
        try:
            data = base64.urlsafe_b64decode(text + '=' * (-len(text) % 4))
        except ValueError:
            return None
        payload, tag = data[:-_TAG_SIZE_BYTES], data[-_TAG_SIZE_BYTES:]
        if not hmac.compare_digest(tag, self._tag(payload)):
            return None
        # The decoder ignores stray characters and unused bits, so one key
        # could have two texts that both run. Only the canonical text is
        # accepted.
        if _encode_text(data) != text:
            return None
        return msgspec.msgpack.decode(payload, type=_Payload)

    def _tag(self, payload: bytes) -> bytes:
        message = _PREFIX.encode() + payload
        tag = hmac.digest(self._secret, message, hashlib.sha256)
        return tag[:_TAG_SIZE_BYTES]

    def _hash_shard(self, key: str) -> int:
        digest = hashlib.blake2b(
            key.encode(errors='surrogatepass'), digest_size=_HASH_SIZE_BYTES
        ).digest()
        return int.from_bytes(digest) % self._shards


def is_minted(key: str) -> bool:
    """Return whether a key claims to be minted by this cluster."""
    return key.startswith(_PREFIX)


def _encode_text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip('=')


def _error(
    kind: errors.ErrorKind, detail: str
) -> expression.Result[MintedKey | CallerKey, errors.Failure]:
    return expression.Error(errors.Failure(kind, detail))
