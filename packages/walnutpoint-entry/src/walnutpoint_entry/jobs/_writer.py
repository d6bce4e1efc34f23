"""Grouped writes of progress, one commit for all shards per period."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import expression
import msgspec

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import ports
from walnutpoint_entry.jobs import _progress

__all__ = ('ProgressWriter', 'StoredShard')

_LOG = logs.get_logger(__name__)

# The store takes at most 128 guards or operations in one transaction, and
# about 1.5 MB of values.
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
    """What the store holds of a shard, and the revision of its head."""

    progress: _progress.ShardProgress | None
    revision: int
    large: dict[str, bytes]


@dataclasses.dataclass(slots=True)
class _Shard:
    epoch: int
    revision: int
    large: dict[str, bytes]
    snapshot: _Snapshot
    merge: _Merge
    dirty_since_s: float | None = None
    is_urgent: bool = False
    changes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    """What one commit is to write of one shard."""

    shard: int
    state: _Shard
    write: _progress.ShardWrite
    changes: int


class ProgressWriter:
    """Read progress at a takeover, and write what changes in groups."""

    __slots__ = (
        '_layout',
        '_lazy_write_s',
        '_shards',
        '_store',
    )

    def __init__(
        self, store: ports.Store, prefix: str, lazy_write_s: float
    ) -> None:
        self._store = store
        self._layout = _progress.Layout(prefix)
        self._lazy_write_s = lazy_write_s
        self._shards: dict[int, _Shard] = {}

    async def read(
        self, shard: int
    ) -> expression.Result[StoredShard, errors.Failure]:
        """Return the progress of a shard and what guards its next write."""
        got = await self._store.list_values(self._layout.shard_prefix(shard))
        if got.is_error():
            return expression.Error(got.error)
        head_key = self._layout.head_key(shard)
        revision = max(
            (one.revision for one in got.ok if one.key == head_key), default=0
        )
        try:
            return expression.Ok(
                StoredShard(
                    self._layout.decode(shard, got.ok),
                    revision,
                    self._layout.stored_large(shard, got.ok),
                )
            )
        except (msgspec.MsgspecError, KeyError) as error:
            # Taken as empty, it would run again all that was done.
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
        """Write a shard from now on, on top of what was read."""
        self._shards[shard] = _Shard(
            epoch, stored.revision, stored.large, snapshot, merge
        )

    def close(self, shard: int) -> None:
        """Write a shard no more."""
        self._shards.pop(shard, None)

    def mark(self, shard: int, now_s: float, is_urgent: bool = True) -> None:
        """Note that a shard's progress has changed."""
        state = self._shards.get(shard)
        if state is None:
            return
        state.changes += 1
        state.is_urgent = state.is_urgent or is_urgent
        if state.dirty_since_s is None:
            state.dirty_since_s = now_s

    def is_due(self, now_s: float) -> bool:
        """Tell whether a write would be of use."""
        return any(self._is_due(one, now_s) for one in self._shards.values())

    async def flush(
        self, now_s: float
    ) -> expression.Result[frozenset[int], errors.Failure]:
        """Write what is due in one commit, and return the shards written."""
        parts = self._due_parts(now_s)
        if not parts:
            return expression.Ok(frozenset())
        reply = await self._store.commit(self._batch(parts))
        if reply.is_error():
            # With its answer lost, the write may stand in the store. It is
            # tried again with the same guard, which refuses it then, and
            # what stands is read back.
            return expression.Error(reply.error)
        if not reply.ok.applied:
            read = await self._read_back(tuple(one.shard for one in parts))
            if read.is_error():
                return expression.Error(read.error)
            return expression.Ok(frozenset())
        for part in parts:
            self._wrote(part, reply.ok.revision)
        return expression.Ok(
            frozenset(one.shard for one in parts if one.write.is_whole)
        )

    def _is_due(self, state: _Shard, now_s: float) -> bool:
        if state.dirty_since_s is None:
            return False
        late = now_s - state.dirty_since_s >= self._lazy_write_s
        return state.is_urgent or late

    def _due_parts(self, now_s: float) -> tuple[_Part, ...]:
        # A commit that is made anyway carries what could have waited.
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
        parts: list[_Part] = []
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
            parts.append(_Part(shard, state, write, state.changes))
        return tuple(parts)

    def _batch(self, parts: tuple[_Part, ...]) -> ports.Batch:
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

    def _wrote(self, part: _Part, revision: int) -> None:
        state = part.state
        state.revision = revision
        state.large = part.write.large
        if state.changes == part.changes and part.write.is_whole:
            state.dirty_since_s = None
            state.is_urgent = False

    async def _read_back(
        self, shards: tuple[int, ...]
    ) -> expression.Result[None, errors.Failure]:
        listed = await self._store.list_keys(self._layout.prefix)
        if listed.is_error():
            return expression.Error(listed.error)
        revisions = {one.key: one.revision for one in listed.ok.keys}
        for shard in shards:
            state = self._shards.get(shard)
            found = revisions.get(self._layout.head_key(shard), 0)
            if state is None or found == state.revision:
                continue
            read = await self.read(shard)
            if read.is_error():
                return expression.Error(read.error)
            if self._shards.get(shard) is state:
                self._take(shard, state, read.ok)
        return expression.Ok(None)

    def _take(
        self,
        shard: int,
        state: _Shard,
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
        # Ours with a lost answer, or a late one of the predecessor: both
        # tell the truth about what is done, and are written over as merged.
        state.revision = stored.revision
        state.large = stored.large
        if progress is not None and progress.epoch < state.epoch:
            state.merge(progress)
