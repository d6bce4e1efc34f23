"""Store keys of the scheduler."""

from __future__ import annotations

import typing

import xxhash

__all__ = (
    'CANCELS',
    'CONTROL',
    'ESTIMATES',
    'HEARTBEAT',
    'INTAKE',
    'JOBS',
    'MEMBERS',
    'POOLS',
    'RECORDS',
    'SCHEDULER',
    'cancel_key',
    'job_id',
    'job_key',
    'member_key',
    'record_key',
    'shards',
)

# Shards are read concurrently; with some hundred jobs each is one page.
_SHARD_COUNT: typing.Final = 8
# Jobs and cancels share a prefix, so that one watch covers both.
INTAKE: typing.Final = 'walnutpoint/in/'
JOBS: typing.Final = 'walnutpoint/in/job/'
CANCELS: typing.Final = 'walnutpoint/in/cancel/'
RECORDS: typing.Final = 'walnutpoint/run/'
CONTROL: typing.Final = 'walnutpoint/control/'
SCHEDULER: typing.Final = 'walnutpoint/control/scheduler'
POOLS: typing.Final = 'walnutpoint/pools'
ESTIMATES: typing.Final = 'walnutpoint/estimates'
HEARTBEAT: typing.Final = 'walnutpoint/pulse'
MEMBERS: typing.Final = 'walnutpoint/control/member/'


def job_key(job_id: str) -> str:
    """Return the key of a job's document."""
    return f'{JOBS}{_shard(job_id)}{job_id}'


def cancel_key(job_id: str) -> str:
    """Return the key that requests the cancellation of a job."""
    return CANCELS + job_id


def record_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return f'{RECORDS}{_shard(job_id)}{job_id}'


def job_id(key: str) -> str:
    """Return the job identifier in a job, record or cancel key."""
    return key.rpartition('/')[2]


def shards() -> tuple[str, ...]:
    """Return the key segments of all shards."""
    return tuple(f'{number:x}/' for number in range(_SHARD_COUNT))


def member_key(name: str) -> str:
    """Return the key under which a process registers itself."""
    return MEMBERS + name


def _shard(job_id: str) -> str:
    """Return a job's shard; pages of one prefix are read sequentially."""
    return f'{xxhash.xxh64_intdigest(job_id.encode()) % _SHARD_COUNT:x}/'
