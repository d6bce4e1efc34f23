"""Store operations executed for processes that can't reach the store."""

from __future__ import annotations

from walnutpoint_core import errors
from walnutpoint_core import ports
from walnutpoint_scheduler import _messages

__all__ = ('serve',)


async def serve(
    store: ports.WatchableStore, request: _messages.StoreRequest
) -> _messages.StoreReply:
    """Execute an operation for another process."""
    if request.operation == 'get':
        got = await store.get(request.key)
        if got.is_ok():
            return _messages.StoreReply(value=got.ok)
        return _failed(got.error)
    if request.operation == 'read':
        read = await store.read(request.key)
        if read.is_ok():
            return _messages.StoreReply(snapshot=read.ok)
        return _failed(read.error)
    if request.batch is None:
        return _messages.StoreReply(
            errors.ErrorKind.BAD_REQUEST.value, 'no batch'
        )
    reply = await store.commit(request.batch)
    if reply.is_ok():
        return _messages.StoreReply(reply=reply.ok)
    return _failed(reply.error)


def _failed(failure: errors.Failure) -> _messages.StoreReply:
    return _messages.StoreReply(failure.kind.value, failure.detail)
