"""Where the scheduler's values lie in the store."""

from __future__ import annotations

import typing

__all__ = (
    'CANCELS',
    'CONTROL',
    'INTAKE',
    'JOBS',
    'MEMBERS',
    'RECORDS',
    'SCHEDULER',
    'cancel_key',
    'job_key',
    'member_key',
    'record_key',
)

# Jobs and cancels lie below one prefix, so that one watch follows both.
INTAKE: typing.Final = 'walnutpoint/in/'
JOBS: typing.Final = 'walnutpoint/in/job/'
CANCELS: typing.Final = 'walnutpoint/in/cancel/'
RECORDS: typing.Final = 'walnutpoint/run/'
CONTROL: typing.Final = 'walnutpoint/control/'
SCHEDULER: typing.Final = 'walnutpoint/control/scheduler'
MEMBERS: typing.Final = 'walnutpoint/control/member/'


def job_key(job_id: str) -> str:
    """Return the key of a job's document."""
    return JOBS + job_id


def cancel_key(job_id: str) -> str:
    """Return the key that asks for the cancel of a job."""
    return CANCELS + job_id


def record_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return RECORDS + job_id


def member_key(name: str) -> str:
    """Return the key under which a process lists itself."""
    return MEMBERS + name
