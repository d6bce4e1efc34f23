"""A store client for the etcd v3 JSON gateway."""

from __future__ import annotations

import collections.abc
import typing

import expression
import httpx
import msgspec

from walnutpoint_core import _http_client
from walnutpoint_core import decoding
from walnutpoint_core import errors
from walnutpoint_core import ports
from walnutpoint_core.store import _wire

__all__ = ('EtcdStore',)

_RANGE_PATH: typing.Final = '/v3/kv/range'
_TXN_PATH: typing.Final = '/v3/kv/txn'
_READ_ATTEMPTS: typing.Final = 2
_DETAIL_LENGTH_MAX: typing.Final = 200
_ReplyT = typing.TypeVar('_ReplyT', _wire.RangeReply, _wire.TxnReply)


class EtcdStore:
    """A client of the platform's key-value service."""

    __slots__ = ('_client', '_timeout_s', '_url_index', '_urls')

    def __init__(
        self, urls: collections.abc.Sequence[str], timeout_s: float
    ) -> None:
        if not urls:
            raise ValueError('the store needs at least one url')
        self._urls = tuple(url.rstrip('/') for url in urls)
        self._timeout_s = timeout_s
        self._url_index = 0
        self._client = _http_client.HttpClient()

    @property
    def calls(self) -> int:
        """Return how many requests were sent, retries included."""
        return self._client.calls

    async def get(
        self, key: str
    ) -> expression.Result[ports.StoredValue | None, errors.Failure]:
        """Read one key."""
        reply = await self._read(_wire.RangeRequest(key.encode()))
        return reply.map(_first_value)

    async def list_keys(
        self, prefix: str
    ) -> expression.Result[ports.Listing, errors.Failure]:
        """List the keys below a prefix without their values."""
        reply = await self._read(_prefix_request(prefix, keys_only=True))
        return reply.map(_listing)

    async def list_values(
        self, prefix: str
    ) -> expression.Result[tuple[ports.StoredValue, ...], errors.Failure]:
        """Read every key below a prefix."""
        reply = await self._read(_prefix_request(prefix, keys_only=False))
        return reply.map(_values)

    async def commit(
        self, batch: ports.Batch
    ) -> expression.Result[ports.CommitReply, errors.Failure]:
        """Apply a batch; after STORE_ANSWER_LOST it may have applied."""
        # A commit is never retried: if the first was applied, the retry
        # would fail its guards and report a conflict.
        reply = await self._post(
            _TXN_PATH,
            msgspec.json.encode(_txn_request(batch)),
            _wire.TxnReply,
            self._timeout_s,
        )
        return reply.map(_commit_reply).map_error(_commit_failure)

    async def aclose(self) -> None:
        """Close the connections to the service."""
        await self._client.aclose()

    async def _read(
        self, request: _wire.RangeRequest
    ) -> expression.Result[_wire.RangeReply, errors.Failure]:
        body = msgspec.json.encode(request)
        # The attempts share the timeout, so that a dead connection leaves
        # time for a new one.
        timeout_s = self._timeout_s / _READ_ATTEMPTS
        details = []
        for _attempt in range(_READ_ATTEMPTS):
            reply = await self._post(
                _RANGE_PATH, body, _wire.RangeReply, timeout_s
            )
            if reply.is_ok():
                return expression.Ok(reply.ok)
            details.append(reply.error.detail)
        return expression.Error(_unavailable('; '.join(details)))

    async def _post(
        self,
        path: str,
        body: bytes,
        reply_type: type[_ReplyT],
        timeout_s: float,
    ) -> expression.Result[_ReplyT, _http_client.NoResponse]:
        index = self._url_index
        request = _http_client.Request(
            'POST', self._urls[index] + path, body=body
        )
        answer = await self._client.exchange(request, timeout_s)
        reply = answer.bind(lambda response: _decode(response, reply_type))
        if reply.is_error() and self._url_index == index:
            self._url_index = (index + 1) % len(self._urls)
        return reply


def _decode(
    response: httpx.Response, reply_type: type[_ReplyT]
) -> expression.Result[_ReplyT, _http_client.NoResponse]:
    if response.status_code != httpx.codes.OK:
        text = response.text[:_DETAIL_LENGTH_MAX]
        return _unexpected(response, f'status {response.status_code}: {text}')
    try:
        # The gateway writes 64-bit numbers as strings.
        with decoding.checking():
            reply = msgspec.json.decode(
                response.content, type=reply_type, strict=False
            )
            _check_keys(reply)
    except decoding.UnreadableError as error:
        return _unexpected(response, f'unreadable answer: {error}')
    return expression.Ok(reply)


def _check_keys(reply: _wire.RangeReply | _wire.TxnReply) -> None:
    if isinstance(reply, _wire.RangeReply):
        for pair in reply.kvs:
            pair.key.decode()


def _unexpected(
    response: httpx.Response, detail: str
) -> expression.Result[typing.Any, _http_client.NoResponse]:
    return expression.Error(
        _http_client.NoResponse(True, f'{response.url}: {detail}')
    )


def _unavailable(detail: str) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE, detail)


def _commit_failure(no_response: _http_client.NoResponse) -> errors.Failure:
    if no_response.maybe_sent:
        return errors.Failure(
            errors.ErrorKind.STORE_ANSWER_LOST, no_response.detail
        )
    return _unavailable(no_response.detail)


def _prefix_request(prefix: str, keys_only: bool) -> _wire.RangeRequest:
    start = prefix.encode()
    # UTF-8 has no byte 0xff, so adding one to the last byte cannot overflow.
    end = start[:-1] + bytes((start[-1] + 1,)) if start else b'\0'
    return _wire.RangeRequest(start or b'\0', end, keys_only)


def _txn_request(batch: ports.Batch) -> _wire.TxnRequest:
    puts = tuple(
        _wire.Operation(_wire.PutRequest(put.key.encode(), put.value))
        for put in batch.puts
    )
    deletes = tuple(
        _wire.Operation(request_delete_range=_wire.DeleteRequest(key.encode()))
        for key in batch.deletes
    )
    compare = tuple(
        _wire.Compare(guard.key.encode(), str(guard.revision))
        for guard in batch.guards
    )
    return _wire.TxnRequest(compare, puts + deletes)


def _first_value(reply: _wire.RangeReply) -> ports.StoredValue | None:
    return next(iter(_values(reply)), None)


def _values(reply: _wire.RangeReply) -> tuple[ports.StoredValue, ...]:
    return tuple(
        ports.StoredValue(pair.key.decode(), pair.value, pair.mod_revision)
        for pair in reply.kvs
    )


def _listing(reply: _wire.RangeReply) -> ports.Listing:
    return ports.Listing(
        reply.header.revision,
        tuple(
            ports.KeyRevision(pair.key.decode(), pair.mod_revision)
            for pair in reply.kvs
        ),
    )


def _commit_reply(reply: _wire.TxnReply) -> ports.CommitReply:
    return ports.CommitReply(reply.succeeded, reply.header.revision)
