"""Progress of jobs as it is kept in the store, one value per shard.

What may have started is not kept: a write before each start would cost more
than asking the owners of the workers once after a takeover (`_search`). Kept
is what no worker remembers: tasks done, failures, displacements, checkpoints.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib
import typing

import msgspec

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

# A shard's value holds small jobs only; the rest have a key of their own, so
# that one commit of many shards stays under the store's limit.
LARGE_JOB_SIZE_BYTES: typing.Final = 20_000
VALUE_SIZE_MAX_BYTES: typing.Final = 900_000
FAMILIES_MAX: typing.Final = 200
_LARGE_SIZE_MAX_BYTES: typing.Final = 1_000_000
_LARGE_WRITES_MAX: typing.Final = 50


class TaskMark(msgspec.Struct, frozen=True, array_like=True):
    """A task that failed, was displaced or left a checkpoint."""

    index: int
    attempt: int = 0
    failures: int = 0
    preemptions: int = 0
    checkpoint: str | None = None


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """What a job has done, as ranges that include both of their ends."""

    key: str
    created: int
    accepted_unix_s: float
    done: tuple[tuple[int, int], ...] = ()
    marks: tuple[TaskMark, ...] = ()
    failures: int = 0

    def done_indices(self) -> set[int]:
        """Return the tasks that are done."""
        return {
            index
            for first, last in self.done
            for index in range(first, last + 1)
        }


class FamilyRecord(msgspec.Struct, frozen=True, array_like=True):
    """What was observed of a family of jobs."""

    family: str
    count: int
    log_ratio: float
    cpu_cores: float
    memory_mb: float


class ShardProgress(msgspec.Struct, frozen=True):
    """The progress of all jobs of a shard, written by one epoch."""

    epoch: int
    jobs: tuple[JobProgress, ...] = ()
    large: tuple[str, ...] = ()
    families: tuple[FamilyRecord, ...] = ()
    layout: typing.Literal[1] = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ShardWrite:
    """The writes of one shard, its head first, and what is large then."""

    puts: tuple[ports.Put, ...]
    deletes: tuple[str, ...]
    large: dict[str, bytes]
    is_whole: bool

    @property
    def size_bytes(self) -> int:
        """Return the size of all values."""
        return sum(len(put.value) for put in self.puts)

    @property
    def operations(self) -> int:
        """Return the number of keys written or deleted."""
        return len(self.puts) + len(self.deletes)


class Layout:
    """The keys and values of the progress below a prefix."""

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
        """Return the writes of a shard, given the large jobs stored."""
        small = []
        large = {}
        for job in progress.jobs:
            value = _bounded(job)
            if len(value) > LARGE_JOB_SIZE_BYTES:
                large[self.large_key(shard, job.key)] = value
            else:
                small.append(job)
        changed = sorted(
            (key for key in large if stored.get(key) != _digest(large[key])),
            key=lambda key: (key in stored, key),
        )
        kept = _fitting(changed, large)
        start = len(self.large_key(shard, ''))
        named = sorted((large.keys() & stored.keys()) | set(kept))
        head = msgspec.structs.replace(
            progress,
            jobs=tuple(small),
            large=tuple(key[start:] for key in named),
        )
        return ShardWrite(
            puts=(
                ports.Put(self.head_key(shard), msgspec.json.encode(head)),
                *(ports.Put(key, large[key]) for key in kept),
            ),
            deletes=tuple(sorted(stored.keys() - large.keys())),
            large={
                **{key: stored[key] for key in named if key in stored},
                **{key: _digest(large[key]) for key in kept},
            },
            is_whole=len(kept) == len(changed),
        )

    def stored_large(
        self, shard: int, values: collections.abc.Iterable[ports.StoredValue]
    ) -> dict[str, bytes]:
        """Return the digests of the large jobs that a shard's keys hold."""
        prefix = self.large_key(shard, '')
        return {
            one.key: _digest(one.value)
            for one in values
            if one.key.startswith(prefix)
        }

    def decode(
        self, shard: int, values: collections.abc.Iterable[ports.StoredValue]
    ) -> ShardProgress | None:
        """Return what a shard's keys hold; raise if it is malformed."""
        found = {one.key: one.value for one in values}
        value = found.get(self.head_key(shard))
        if value is None:
            return None
        head = msgspec.json.decode(value, type=ShardProgress)
        large = tuple(
            msgspec.json.decode(
                found[self.large_key(shard, job)], type=JobProgress
            )
            for job in head.large
        )
        return msgspec.structs.replace(head, jobs=(*head.jobs, *large))


def _digest(value: bytes) -> bytes:
    return hashlib.blake2b(value, digest_size=8).digest()


def _fitting(
    changed: list[str], values: collections.abc.Mapping[str, bytes]
) -> list[str]:
    """Return what one commit can carry; the first is always among it."""
    kept: list[str] = []
    size_bytes = 0
    for key in changed[:_LARGE_WRITES_MAX]:
        size_bytes += len(values[key])
        if kept and size_bytes > _LARGE_SIZE_MAX_BYTES:
            break
        kept.append(key)
    return kept


def _bounded(job: JobProgress) -> bytes:
    value = msgspec.json.encode(job)
    if len(value) <= VALUE_SIZE_MAX_BYTES:
        return value
    # Losing a checkpoint repeats work; losing what is done would repeat a
    # task that was reported as done.
    marks = tuple(
        msgspec.structs.replace(mark, checkpoint=None) for mark in job.marks
    )
    return msgspec.json.encode(msgspec.structs.replace(job, marks=marks))


def to_ranges(
    indices: collections.abc.Iterable[int],
) -> tuple[tuple[int, int], ...]:
    """Return sorted ranges that cover just these numbers."""
    ranges: list[tuple[int, int]] = []
    for index in sorted(indices):
        if ranges and ranges[-1][1] == index - 1:
            ranges[-1] = (ranges[-1][0], index)
        else:
            ranges.append((index, index))
    return tuple(ranges)


def merge(ours: JobProgress, theirs: JobProgress) -> JobProgress:
    """Return what either of two records of a job knows."""
    if ours.created != theirs.created:
        return ours if ours.created > theirs.created else theirs
    marks = {mark.index: mark for mark in theirs.marks}
    for mark in ours.marks:
        marks[mark.index] = _merge_marks(mark, marks.get(mark.index, mark))
    return JobProgress(
        ours.key,
        ours.created,
        min(ours.accepted_unix_s, theirs.accepted_unix_s),
        to_ranges(ours.done_indices() | theirs.done_indices()),
        tuple(marks.values()),
        max(ours.failures, theirs.failures),
    )


def _merge_marks(ours: TaskMark, theirs: TaskMark) -> TaskMark:
    return TaskMark(
        ours.index,
        max(ours.attempt, theirs.attempt),
        max(ours.failures, theirs.failures),
        max(ours.preemptions, theirs.preemptions),
        ours.checkpoint or theirs.checkpoint,
    )
