"""The requests in progress, which go on when their caller goes away."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

__all__ = ('Progress',)

_T = typing.TypeVar('_T')


class Progress:
    """Run requests to their end and count them."""

    __slots__ = ('_tasks',)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[typing.Any]] = set()

    def __len__(self) -> int:
        """Return how many requests are in progress."""
        return len(self._tasks)

    async def complete(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, _T]
    ) -> _T:
        """Run a request in a task that its caller's end does not cancel."""
        # A request cut off after its first byte would leave its slot and
        # its key in doubt, only because the caller hung up.
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)
