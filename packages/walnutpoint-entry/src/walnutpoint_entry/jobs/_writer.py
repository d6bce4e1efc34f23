"""Batched writes of progress: one commit for all due shards."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import expression

from walnutpoint_core import decoding
from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import ports
from walnutpoint_entry.jobs import _progress

__all__ = ('ProgressWriter', 'StoredShard')

_LOG = logs.get_logger(__name__)

# The store accepts at most 128 guards or operations and about 1.5 MB of
# values per transaction.
_OPERATIONS_MAX: typing.Final = 100
_COMMIT_SIZE_MAX_BYTES: typing.Final = 1_300_000

_Snapshot: typing.TypeAlias = collections.abc.Callable[
    [], _progress.ShardProgress
]
_Merge: typing.TypeAlias = collections.abc.Callable[
    [_progress.ShardProgress], None
]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredShard:
    """Stored progress of a shard, with the revision of its head."""

    progress: _progress.ShardProgress | None
    revision: int
    large: dict[str, bytes]


@dataclasses.dataclass(slots=True)
class _ShardState:
    epoch: int
    revision: int
    large: dict[str, bytes]
    snapshot: _Snapshot
    merge: _Merge
    dirty_since_s: float | None = None
    is_urgent: bool = False
    changes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _ShardCommit:
    """The part of one commit that concerns one shard."""

    shard: int
    state: _ShardState
    write: _progress.ShardWrite
    changes: int


class ProgressWriter:
    """Reads progress at a takeover and writes changes in batches."""

    __slots__ = (
        '_layout',
        '_deferred_write_s',
        '_shards',
        '_store',
    )

    def __init__(
        self, store: ports.Store, prefix: str, deferred_write_s: float
    ) -> None:
        self._store = store
        self._layout = _progress.Layout(prefix)
        self._deferred_write_s = deferred_write_s
        self._shards: dict[int, _ShardState] = {}

    async def read(
        self, shard: int
    ) -> expression.Result[StoredShard, errors.Failure]:
        """Return the progress of a shard and the guard for its next write."""
        listed = await self._store.list_values(
            self._layout.shard_prefix(shard)
        )
        if listed.is_error():
            return expression.Error(listed.error)
        head_key = self._layout.head_key(shard)
        revision = max(
            (item.revision for item in listed.ok if item.key == head_key),
            default=0,
        )
        try:
            with decoding.checking():
                return expression.Ok(
                    StoredShard(
                        self._layout.decode(shard, listed.ok),
                        revision,
                        self._layout.stored_large(shard, listed.ok),
                    )
                )
        except decoding.UnreadableError as error:
            # Treated as empty, it would rerun all finished tasks.
            return expression.Error(
                errors.Failure(
                    errors.ErrorKind.STORE_UNAVAILABLE,
                    f'malformed progress of shard {shard}: {error}',
                )
            )

    def open(
        self,
        shard: int,
        epoch: int,
        stored: StoredShard,
        snapshot: _Snapshot,
        merge: _Merge,
    ) -> None:
        """Start writing a shard, based on what was read."""
        self._shards[shard] = _ShardState(
            epoch, stored.revision, stored.large, snapshot, merge
        )

    def close(self, shard: int) -> None:
        """Stop writing a shard."""
        self._shards.pop(shard, None)

    def mark_changed(
        self, shard: int, now_s: float, is_urgent: bool = True
    ) -> None:
        """Mark a shard's progress as changed."""
        state = self._shards.get(shard)
        if state is None:
            return
        state.changes += 1
        state.is_urgent = state.is_urgent or is_urgent
        if state.dirty_since_s is None:
            state.dirty_since_s = now_s

    def is_due(self, now_s: float) -> bool:
        """Return whether any shard is due to be written."""
        return any(
            self._is_due(state, now_s) for state in self._shards.values()
        )

    async def flush(
        self, now_s: float
    ) -> expression.Result[frozenset[int], errors.Failure]:
        """Write due shards in one commit; return those written completely."""
        parts = self._due_parts(now_s)
        if not parts:
            return expression.Ok(frozenset())
        reply = await self._store.commit(self._batch(parts))
        if reply.is_error():
            # If only the answer was lost, the write took effect. A retry is
            # rejected by its guard then, and the stored value is read back.
            return expression.Error(reply.error)
        if not reply.ok.applied:
            read = await self._read_back(tuple(part.shard for part in parts))
            if read.is_error():
                return expression.Error(read.error)
            return expression.Ok(frozenset())
        for part in parts:
            self._on_written(part, reply.ok.revision)
        return expression.Ok(
            frozenset(part.shard for part in parts if part.write.is_complete)
        )

    def _is_due(self, state: _ShardState, now_s: float) -> bool:
        if state.dirty_since_s is None:
            return False
        is_overdue = now_s - state.dirty_since_s >= self._deferred_write_s
        return state.is_urgent or is_overdue

    def _due_parts(self, now_s: float) -> tuple[_ShardCommit, ...]:
        # A commit that is due also carries deferrable changes.
        if not self.is_due(now_s):
            return ()
        dirty = sorted(
            (
                (shard, state)
                for shard, state in self._shards.items()
                if state.dirty_since_s is not None
            ),
            key=lambda pair: (not pair[1].is_urgent, pair[1].dirty_since_s),
        )
        parts: list[_ShardCommit] = []
        size_bytes = operations = 0
        for shard, state in dirty:
            write = self._layout.write(shard, state.snapshot(), state.large)
            size_bytes += write.size_bytes
            operations += write.operations
            is_full = (
                size_bytes > _COMMIT_SIZE_MAX_BYTES
                or operations > _OPERATIONS_MAX
            )
            if parts and is_full:
                break
            parts.append(_ShardCommit(shard, state, write, state.changes))
        return tuple(parts)

    def _batch(self, parts: tuple[_ShardCommit, ...]) -> ports.Batch:
        return ports.Batch(
            guards=tuple(
                ports.Guard(
                    self._layout.head_key(part.shard), part.state.revision
                )
                for part in parts
            ),
            puts=tuple(put for part in parts for put in part.write.puts),
            deletes=tuple(key for part in parts for key in part.write.deletes),
        )

    def _on_written(self, part: _ShardCommit, revision: int) -> None:
        state = part.state
        state.revision = revision
        state.large = part.write.large
        if state.changes == part.changes and part.write.is_complete:
            state.dirty_since_s = None
            state.is_urgent = False

    async def _read_back(
        self, shards: tuple[int, ...]
    ) -> expression.Result[None, errors.Failure]:
        listed = await self._store.list_keys(self._layout.prefix)
        if listed.is_error():
            return expression.Error(listed.error)
        revisions = {item.key: item.revision for item in listed.ok.keys}
        for shard in shards:
            state = self._shards.get(shard)
            found = revisions.get(self._layout.head_key(shard), 0)
            if state is None or found == state.revision:
                continue
            read = await self.read(shard)
            if read.is_error():
                return expression.Error(read.error)
            if self._shards.get(shard) is state:
                self._adopt_stored(shard, state, read.ok)
        return expression.Ok(None)

    def _adopt_stored(
        self,
        shard: int,
        state: _ShardState,
        stored: StoredShard,
    ) -> None:
        progress = stored.progress
        if progress is not None and progress.epoch > state.epoch:
            _LOG.warning(
                'progress_fenced',
                shard=shard,
                epoch=state.epoch,
                stored_epoch=progress.epoch,
            )
            self.close(shard)
            return
        # Either this process's write whose answer was lost, or a late one of
        # the predecessor. Both are valid: merged, then overwritten.
        state.revision = stored.revision
        state.large = stored.large
        if progress is not None and progress.epoch < state.epoch:
            state.merge(progress)
