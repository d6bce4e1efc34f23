"""An in-memory store with fault injection."""

from __future__ import annotations

import asyncio
import enum
import random
import typing

import anyio
import expression

from walnutpoint_core import errors
from walnutpoint_core import ports

__all__ = (
    'MemoryStore',
    'StoreFault',
)

_LATENCY_S: typing.Final = 0.004
_LATE_DELAY_RANGE_S: typing.Final = (1.0, 6.0)
_HISTORY_MAX: typing.Final = 10_000


class StoreFault(enum.Enum):
    """The injected fault of the store."""

    NONE = 'none'
    # Every call is refused without effect.
    REFUSES = 'refuses'
    # Every call times out without effect.
    SILENT = 'silent'
    # Commits are applied, but their answers are lost.
    LOSES_ANSWERS = 'loses_answers'
    # Commits are not answered, but applied seconds later.
    APPLIES_LATE = 'applies_late'


class MemoryStore:
    """Holds versioned keys, with linearizable reads and commits."""

    __slots__ = (
        '_changed',
        '_compacted',
        '_history',
        '_random',
        'commits',
        'fault',
        'fault_share',
        'is_watch_silent',
        'items',
        'latency_s',
        'loses_watch_answers',
        'reads',
        'revision',
        'timeout_s',
    )

    def __init__(self, seed: int = 1) -> None:
        self.items: dict[str, ports.StoredValue] = {}
        self.revision = 1
        self.latency_s = _LATENCY_S
        self.timeout_s = 0.4
        self.fault = StoreFault.NONE
        # The share of commits that a fault affects.
        self.fault_share = 1.0
        # Whether watches report no changes.
        self.is_watch_silent = False
        # Whether answers to watches are lost with their connections.
        self.loses_watch_answers = False
        self.commits = 0
        self.reads = 0
        self._history: list[tuple[int, str, ports.StoredValue | None]] = []
        self._compacted = 0
        self._changed = asyncio.Event()
        self._random = random.Random(seed)  # noqa: S311

    def put(self, key: str, value: bytes) -> int:
        """Write unconditionally, as operators and workers do."""
        self.revision += 1
        self._write(key, value)
        self._notify()
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key, as the platform does with expired entries."""
        self._apply(ports.Batch((), (), (key,)))

    def drop_history(self) -> None:
        """Drop the history, which ends every watch."""
        self._compacted = self.revision
        self._history.clear()
        self._notify()

    async def get(
        self, key: str
    ) -> expression.Result[ports.StoredValue | None, errors.Failure]:
        """Read one key."""
        failure = await self._receive_call()
        if failure is not None:
            return expression.Error(failure)
        self.reads += 1
        return expression.Ok(self.items.get(key))

    async def read(
        self, prefix: str
    ) -> expression.Result[ports.Snapshot, errors.Failure]:
        """Read every key below a prefix."""
        failure = await self._receive_call()
        if failure is not None:
            return expression.Error(failure)
        self.reads += 1
        values = tuple(
            item
            for key, item in sorted(self.items.items())
            if key.startswith(prefix)
        )
        return expression.Ok(ports.Snapshot(self.revision, values))

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> expression.Result[ports.Changes | None, errors.Failure]:
        """Wait for changes; return None if their history was dropped."""
        failure = await self._receive_call()
        if failure is not None:
            return expression.Error(failure)
        self.reads += 1
        begun_s = asyncio.get_running_loop().time()
        changes = await self._next_changes(prefix, after_revision, wait_s)
        if self.loses_watch_answers:
            # The caller waits for the answer until its timeout.
            passed_s = asyncio.get_running_loop().time() - begun_s
            await anyio.sleep(max(0.0, wait_s + self.timeout_s - passed_s))
            return expression.Error(
                errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE, 'no answer')
            )
        return expression.Ok(changes)

    async def _next_changes(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> ports.Changes | None:
        with anyio.move_on_after(wait_s):
            while True:
                if after_revision < self._compacted:
                    return None
                events = [
                    event
                    for event in self._history
                    if event[0] > after_revision
                    and event[1].startswith(prefix)
                ]
                if events and not self.is_watch_silent:
                    return self._changes(events)
                await self._changed.wait()
        return ports.Changes(self.revision, ())

    async def commit(
        self, batch: ports.Batch
    ) -> expression.Result[ports.CommitReply, errors.Failure]:
        """Apply a batch; after STORE_ANSWER_LOST it may still be applied."""
        is_affected = self._random.random() < self.fault_share
        if is_affected and self.fault is StoreFault.LOSES_ANSWERS:
            await anyio.sleep(self.latency_s / 2)
            self._apply(batch)
            return await self._lose_answer()
        if is_affected and self.fault is StoreFault.APPLIES_LATE:
            asyncio.get_running_loop().call_later(
                self._random.uniform(*_LATE_DELAY_RANGE_S), self._apply, batch
            )
            return await self._lose_answer()
        failure = await self._receive_call()
        if failure is not None:
            return expression.Error(failure)
        reply = self._apply(batch)
        await anyio.sleep(self.latency_s / 2)
        return expression.Ok(reply)

    async def _receive_call(self) -> errors.Failure | None:
        if self.fault is StoreFault.SILENT:
            await anyio.sleep(self.timeout_s)
            return errors.Failure(
                errors.ErrorKind.STORE_UNAVAILABLE, 'no answer'
            )
        await anyio.sleep(self.latency_s / 2)
        if self.fault is StoreFault.REFUSES:
            return errors.Failure(
                errors.ErrorKind.STORE_UNAVAILABLE, 'refused'
            )
        return None

    async def _lose_answer(
        self,
    ) -> expression.Result[ports.CommitReply, errors.Failure]:
        await anyio.sleep(self.timeout_s)
        return expression.Error(
            errors.Failure(errors.ErrorKind.STORE_ANSWER_LOST, 'no answer')
        )

    def _apply(self, batch: ports.Batch) -> ports.CommitReply:
        self.commits += 1
        conflicts = False
        for guard in batch.guards:
            item = self.items.get(guard.key)
            if (item.revision if item else 0) != guard.revision:
                conflicts = True
        if conflicts:
            current = tuple(
                self.items[guard.key]
                for guard in batch.guards
                if guard.key in self.items
            )
            return ports.CommitReply(False, self.revision, current)
        self.revision += 1
        for put in batch.puts:
            self._write(put.key, put.value)
        for key in batch.deletes:
            if self.items.pop(key, None) is not None:
                self._history.append((self.revision, key, None))
        self._notify()
        return ports.CommitReply(True, self.revision)

    def _write(self, key: str, value: bytes) -> None:
        item = ports.StoredValue(key, value, self.revision)
        self.items[key] = item
        self._history.append((self.revision, key, item))
        if len(self._history) > _HISTORY_MAX:
            self._compacted = self._history[_HISTORY_MAX // 2][0]
            del self._history[: _HISTORY_MAX // 2]

    def _changes(
        self, events: list[tuple[int, str, ports.StoredValue | None]]
    ) -> ports.Changes:
        newest: dict[str, ports.StoredValue | None] = {}
        for _, key, item in events:
            newest.pop(key, None)
            newest[key] = item
        return ports.Changes(
            self.revision,
            tuple(item for item in newest.values() if item is not None),
            tuple(key for key, item in newest.items() if item is None),
        )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
