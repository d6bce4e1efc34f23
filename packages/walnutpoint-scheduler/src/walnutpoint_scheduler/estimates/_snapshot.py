"""The stored form of the estimates, read by the next term."""

from __future__ import annotations

import typing

import msgspec

__all__ = (
    'FORMAT',
    'Pool',
    'Snapshot',
    'UnreadableError',
    'Worker',
    'decode',
    'differs',
    'encode',
    'encode_within',
    'from_milli',
    'to_milli',
)

# Raised with each change of the fields.
FORMAT: typing.Final = 1
_MILLI: typing.Final = 1000.0
# A factor of 20 either way: no estimate is further off.
_LEVEL_MAX: typing.Final = 3000
# Sums of counts stay exact as floats.
_COUNT_MAX: typing.Final = 2**40
# Room for the parts of a cut snapshot that do not shrink with its workers.
_CUT_MARGIN: typing.Final = 0.9
# Changes worth a write, in thousandths: of a group by 3%, of a worker or a
# queue by a tenth.
_GROUP_CHANGE: typing.Final = 30
_CHANGE: typing.Final = 100

Level = typing.Annotated[int, msgspec.Meta(ge=-_LEVEL_MAX, le=_LEVEL_MAX)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_COUNT_MAX)]
# Also refuses NaN, which is in no range.
_Weight = typing.Annotated[float, msgspec.Meta(ge=0.0, le=_COUNT_MAX)]
# A level and the number of runs that support it.
Estimate = tuple[Level, _Count]


class Worker(typing.NamedTuple):
    """A worker's group, capacity, level and number of runs."""

    group: _Count
    cpu_millicores: _Count
    level: Level
    runs: _Count


class Pool(msgspec.Struct, frozen=True, array_like=True):
    """The estimates of one pool, relative to its usual workers."""

    is_mixed: bool
    runs: _Count
    large_runs: _Count
    labels: tuple[tuple[str, ...], ...]
    # In the order of the labels.
    groups: tuple[Estimate, ...]
    workers: dict[str, Worker]


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The estimates of a term."""

    format: int
    pools: dict[str, Pool]
    # The error of declared times, with the pool of the queue.
    queues: dict[str, tuple[str, Level, _Weight]]


class UnreadableError(Exception):
    """A stored snapshot can't be used."""


_DECODER: typing.Final = msgspec.msgpack.Decoder(Snapshot)


def encode(snapshot: Snapshot) -> bytes:
    """Serialize a snapshot."""
    return msgspec.msgpack.encode(snapshot)


def encode_within(
    snapshot: Snapshot, limit_bytes: int
) -> tuple[bytes, Snapshot]:
    """Serialize as much of a snapshot as fits, and return that as well.

    The workers with the fewest runs are left out first: their levels are
    about those of their groups.
    """
    value = encode(snapshot)
    while len(value) > limit_bytes:
        share = limit_bytes / len(value) * _CUT_MARGIN
        snapshot = _cut(snapshot, share)
        value = encode(snapshot)
    return value, snapshot


def _cut(snapshot: Snapshot, share: float) -> Snapshot:
    """Return a snapshot with a share of its workers, or else an empty one."""
    pools = {}
    for name, pool in snapshot.pools.items():
        by_runs = sorted(pool.workers.items(), key=lambda item: -item[1].runs)
        kept = dict(by_runs[: int(len(by_runs) * share)])
        pools[name] = msgspec.structs.replace(pool, workers=kept)
    if any(pool.workers for pool in snapshot.pools.values()):
        return msgspec.structs.replace(snapshot, pools=pools)
    return Snapshot(FORMAT, {}, {})


def decode(value: bytes) -> Snapshot:
    """Decode a snapshot; raise UnreadableError with the reason."""
    try:
        fields = msgspec.msgpack.decode(value)
        if isinstance(fields, list) and fields and fields[0] != FORMAT:
            raise UnreadableError(f'format {fields[0]!r}')
        snapshot = _DECODER.decode(value)
    except UnreadableError:
        raise
    except Exception as error:
        # Not all faults are DecodeErrors: deep nesting is a RecursionError.
        # Any would end each term at its start.
        raise UnreadableError(f'torn: {error}') from error
    for pool in snapshot.pools.values():
        groups = len(pool.labels)
        if len(pool.groups) != groups or any(
            worker.group >= groups for worker in pool.workers.values()
        ):
            raise UnreadableError('torn: a group is missing')
        if pool.large_runs > pool.runs:
            raise UnreadableError('torn: more large runs than runs')
    return snapshot


def differs(new: Snapshot, old: Snapshot | None) -> bool:
    """Return whether a snapshot differs materially from an older one."""
    if old is None or new.pools.keys() != old.pools.keys():
        return True
    if _has_moved(
        {queue: level for queue, (_, level, _) in new.queues.items()},
        {queue: level for queue, (_, level, _) in old.queues.items()},
        _CHANGE,
    ):
        return True
    return any(
        _pool_differs(pool, old.pools[name])
        for name, pool in new.pools.items()
    )


def _pool_differs(new: Pool, old: Pool) -> bool:
    groups = dict(zip(new.labels, (g[0] for g in new.groups), strict=True))
    old_groups = dict(zip(old.labels, (g[0] for g in old.groups), strict=True))
    return (
        new.is_mixed != old.is_mixed
        or _has_moved(groups, old_groups, _GROUP_CHANGE)
        or _has_moved(
            {name: worker.level for name, worker in new.workers.items()},
            {name: worker.level for name, worker in old.workers.items()},
            _CHANGE,
        )
    )


def _has_moved(
    new: dict[typing.Any, int], old: dict[typing.Any, int], change: int
) -> bool:
    return new.keys() != old.keys() or any(
        abs(level - old[key]) > change for key, level in new.items()
    )


def to_milli(level: float) -> int:
    """Return a level in thousandths, within the bounds of a snapshot."""
    return max(-_LEVEL_MAX, min(_LEVEL_MAX, round(level * _MILLI)))


def from_milli(level: int) -> float:
    """Return a level from thousandths."""
    return level / _MILLI
