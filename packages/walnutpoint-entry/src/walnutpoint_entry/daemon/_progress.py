"""Requests in progress, which continue when their caller disconnects."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

from walnutpoint_core import logs

__all__ = ('RequestTracker',)

_LOG = logs.get_logger(__name__)

_T = typing.TypeVar('_T')


class RequestTracker:
    """Run requests to completion and count them."""

    __slots__ = ('_runs', '_tasks')

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[typing.Any]] = set()
        self._runs: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Return how many requests are in progress."""
        return len(self._tasks)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is open, not even beyond its deadline."""
        return not self._tasks and not self._runs

    async def run_to_completion(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, _T]
    ) -> _T:
        """Run a request in a task that survives its caller's cancellation."""
        # Cancelling a request after its first byte would leave the state
        # of its slot and its key unknown.
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    def start(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        """Run a part of a request that may outlast it."""
        task = asyncio.ensure_future(work)
        self._runs.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._runs.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error('request_failed', error=repr(task.exception()))
