"""Progress of jobs as stored, one value per shard.

Starts are not stored: a write before each start would cost more than one
query of the worker owners after a takeover (`_recovery`). Stored is only what
workers do not retain: tasks done, failures, displacements and checkpoints.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib
import typing

import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import ports

__all__ = (
    'FamilyRecord',
    'JobProgress',
    'Layout',
    'ShardProgress',
    'ShardWrite',
    'TaskMark',
    'merge',
    'to_ranges',
)

# Larger jobs have their own key instead of a place in the shard's value, so
# that one commit of many shards stays within the store's limit.
LARGE_JOB_SIZE_BYTES: typing.Final = 20_000
VALUE_SIZE_MAX_BYTES: typing.Final = 900_000
FAMILIES_MAX: typing.Final = 200
_LARGE_SIZE_MAX_BYTES: typing.Final = 1_000_000
_LARGE_WRITES_MAX: typing.Final = 50


class TaskMark(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a task that failed, was displaced or checkpointed."""

    index: int
    attempt: int = 0
    failures: int = 0
    preemptions: int = 0
    checkpoint: str | None = None


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of a job; done holds inclusive ranges of indices."""

    key: str
    created: int
    accepted_unix_s: float
    done: tuple[tuple[int, int], ...] = ()
    marks: tuple[TaskMark, ...] = ()
    failures: int = 0

    def done_indices(self) -> set[int]:
        """Return the indices of the tasks that are done."""
        return {
            index
            for first, last in self.done
            for index in range(first, last + 1)
        }


class FamilyRecord(msgspec.Struct, frozen=True, array_like=True):
    """Statistics of a family of jobs."""

    family: str
    count: int
    log_ratio: float
    cpu_cores: float
    memory_mb: float


class ShardProgress(msgspec.Struct, frozen=True):
    """Progress of all jobs of a shard, written by one epoch."""

    epoch: int
    jobs: tuple[JobProgress, ...] = ()
    large: tuple[str, ...] = ()
    families: tuple[FamilyRecord, ...] = ()
    layout: typing.Literal[1] = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ShardWrite:
    """Writes of one shard, head first, and the large jobs after them."""

    puts: tuple[ports.Put, ...]
    deletes: tuple[str, ...]
    large: dict[str, bytes]
    is_complete: bool

    @property
    def size_bytes(self) -> int:
        """Return the size of all values."""
        return sum(len(put.value) for put in self.puts)

    @property
    def operations(self) -> int:
        """Return the number of keys written or deleted."""
        return len(self.puts) + len(self.deletes)


class Layout:
    """Maps progress to keys and values below a prefix."""

    __slots__ = ('prefix',)

    def __init__(self, prefix: str) -> None:
        self.prefix = f'{prefix}jobs/'

    def shard_prefix(self, shard: int) -> str:
        """Return the prefix of all keys of a shard."""
        return f'{self.prefix}{shard}/'

    def head_key(self, shard: int) -> str:
        """Return the key whose revision guards a shard's writes."""
        return f'{self.shard_prefix(shard)}head'

    def large_key(self, shard: int, job: str) -> str:
        """Return the key of one large job."""
        return f'{self.shard_prefix(shard)}large/{job}'

    def write(
        self,
        shard: int,
        progress: ShardProgress,
        stored: collections.abc.Mapping[str, bytes],
    ) -> ShardWrite:
        """Return the writes of a shard, given its stored large jobs."""
        small = []
        large = {}
        for job in progress.jobs:
            value = _encode_bounded(job)
            if len(value) > LARGE_JOB_SIZE_BYTES:
                large[self.large_key(shard, job.key)] = value
            else:
                small.append(job)
        changed = sorted(
            (key for key in large if stored.get(key) != _digest(large[key])),
            key=lambda key: (key in stored, key),
        )
        selected = _select_for_commit(changed, large)
        start = len(self.large_key(shard, ''))
        listed = sorted((large.keys() & stored.keys()) | set(selected))
        head = msgspec.structs.replace(
            progress,
            jobs=tuple(small),
            large=tuple(key[start:] for key in listed),
        )
        return ShardWrite(
            puts=(
                ports.Put(self.head_key(shard), msgspec.json.encode(head)),
                *(ports.Put(key, large[key]) for key in selected),
            ),
            deletes=tuple(sorted(stored.keys() - large.keys())),
            large={
                **{key: stored[key] for key in listed if key in stored},
                **{key: _digest(large[key]) for key in selected},
            },
            is_complete=len(selected) == len(changed),
        )

    def stored_large(
        self, shard: int, values: collections.abc.Iterable[ports.StoredValue]
    ) -> dict[str, bytes]:
        """Return the digests of a shard's stored large jobs by key."""
        prefix = self.large_key(shard, '')
        return {
            item.key: _digest(item.value)
            for item in values
            if item.key.startswith(prefix)
        }

    def decode(
        self, shard: int, values: collections.abc.Iterable[ports.StoredValue]
    ) -> ShardProgress | None:
        """Return a shard's progress; raise if it is malformed."""
        found = {item.key: item.value for item in values}
        value = found.get(self.head_key(shard))
        if value is None:
            return None
        head = decoding.from_json(value, ShardProgress)
        large = tuple(
            decoding.from_json(found[self.large_key(shard, job)], JobProgress)
            for job in head.large
        )
        return msgspec.structs.replace(head, jobs=(*head.jobs, *large))


def _digest(value: bytes) -> bytes:
    return hashlib.blake2b(value, digest_size=8).digest()


def _select_for_commit(
    changed: list[str], values: collections.abc.Mapping[str, bytes]
) -> list[str]:
    """Return the keys that fit into one commit, at least the first."""
    selected: list[str] = []
    size_bytes = 0
    for key in changed[:_LARGE_WRITES_MAX]:
        size_bytes += len(values[key])
        if selected and size_bytes > _LARGE_SIZE_MAX_BYTES:
            break
        selected.append(key)
    return selected


def _encode_bounded(job: JobProgress) -> bytes:
    value = msgspec.json.encode(job)
    if len(value) <= VALUE_SIZE_MAX_BYTES:
        return value
    # Checkpoints are dropped, since that only repeats work. Dropping done
    # ranges would rerun tasks that were reported as done.
    marks = tuple(
        msgspec.structs.replace(mark, checkpoint=None) for mark in job.marks
    )
    return msgspec.json.encode(msgspec.structs.replace(job, marks=marks))


def to_ranges(
    indices: collections.abc.Iterable[int],
) -> tuple[tuple[int, int], ...]:
    """Return sorted ranges that cover exactly these indices."""
    ranges: list[tuple[int, int]] = []
    for index in sorted(indices):
        if ranges and ranges[-1][1] == index - 1:
            ranges[-1] = (ranges[-1][0], index)
        else:
            ranges.append((index, index))
    return tuple(ranges)


def merge(ours: JobProgress, theirs: JobProgress) -> JobProgress:
    """Return the union of two records of a job."""
    if ours.created != theirs.created:
        return ours if ours.created > theirs.created else theirs
    marks = {mark.index: mark for mark in theirs.marks}
    for mark in ours.marks:
        marks[mark.index] = _merge_mark(mark, marks.get(mark.index, mark))
    return JobProgress(
        ours.key,
        ours.created,
        min(ours.accepted_unix_s, theirs.accepted_unix_s),
        to_ranges(ours.done_indices() | theirs.done_indices()),
        tuple(marks.values()),
        max(ours.failures, theirs.failures),
    )


def _merge_mark(ours: TaskMark, theirs: TaskMark) -> TaskMark:
    return TaskMark(
        ours.index,
        max(ours.attempt, theirs.attempt),
        max(ours.failures, theirs.failures),
        max(ours.preemptions, theirs.preemptions),
        ours.checkpoint or theirs.checkpoint,
    )
