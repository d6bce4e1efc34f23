"""The schema of the operators' document, version 1."""

from __future__ import annotations

import collections.abc
import typing

import msgspec

__all__ = (
    'BatchJob',
    'BatchPolicy',
    'Deletions',
    'Document',
    'GangJob',
    'GangPolicy',
    'Item',
    'ItemName',
    'Name',
    'Policies',
    'Quota',
    'Restart',
    'Service',
    'ServicePolicy',
    'Size',
    'Team',
    'UrgentPolicy',
)

# \Z and not $: in Python $ also matches before a trailing line feed, which
# would let two names differ by an invisible character.
Name: typing.TypeAlias = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[a-z0-9][a-z0-9-]{0,62}\Z',
        description='lower-case letters, digits and hyphens',
    ),
]
ItemName: typing.TypeAlias = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[a-z0-9][a-z0-9-]{0,62}/[a-z0-9][a-z0-9.-]{0,62}\Z',
        description='team/name',
    ),
]
_SubmissionId = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{7,63}\Z',
        description='8 to 64 letters, digits, dots, underscores and hyphens',
    ),
]
_Action = typing.Literal['put', 'create', 'change']
_Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=10**15)]
_ShortTime = typing.Annotated[float, msgspec.Meta(ge=0.1, le=3600.0)]
_RunTime = typing.Annotated[float, msgspec.Meta(ge=0.1, le=2_592_000.0)]
_UnixTime = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e11)]
_Tasks = typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]
_Domains = typing.Annotated[int, msgspec.Meta(ge=1, le=64)]
_Attempts = typing.Annotated[int, msgspec.Meta(ge=1, le=100)]
_QueueLength = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
_Share = typing.Annotated[float, msgspec.Meta(ge=0.0, le=0.9)]
_Argument = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[^\x00-\x1f\x7f]{1,256}\Z',
        description='1 to 256 characters, no control characters',
    ),
]
_Command = typing.Annotated[
    tuple[_Argument, ...], msgspec.Meta(min_length=1, max_length=32)
]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A section of a document; unknown fields are faults."""


class Item(_Section, frozen=True, kw_only=True):
    """A named item: create must add, change must find, put does either."""

    action: _Action = 'put'


class Size(_Section, frozen=True):
    """What one task takes of its host, besides one slot."""

    cpu_cores: typing.Annotated[float, msgspec.Meta(ge=0.01, le=1024.0)]
    memory_mb: typing.Annotated[int, msgspec.Meta(ge=1, le=16_777_216)]
    accelerators: typing.Annotated[int, msgspec.Meta(ge=0, le=64)] = 0


class Quota(_Section, frozen=True):
    """What a team may use at any time without borrowing."""

    cpu_cores: typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
    memory_mb: typing.Annotated[int, msgspec.Meta(ge=0, le=10**10)]
    slots: typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    accelerators: typing.Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0


class Team(Item, frozen=True, kw_only=True):
    """A team, its quota, and its weight against the other teams."""

    quota: Quota
    weight: typing.Annotated[float, msgspec.Meta(ge=0.01, le=1000.0)] = 1.0
    may_borrow: bool = True


class Restart(_Section, frozen=True):
    """How long a failed instance waits before it starts again."""

    backoff_s: _ShortTime = 1.0
    backoff_max_s: _ShortTime = 60.0


class Service(Item, frozen=True, kw_only=True):
    """Instances that stay up, spread over failure domains."""

    instances: typing.Annotated[int, msgspec.Meta(ge=1, le=1000)]
    size: Size
    command: _Command
    spread_over: _Domains = 1
    restart: Restart = Restart()


class BatchJob(Item, frozen=True, kw_only=True):
    """Tasks that may run slowly, apart from each other."""

    tasks: _Tasks
    size: Size
    command: _Command
    declared_run_s: _RunTime
    checkpointable: bool = False
    latest_finish_unix_s: _UnixTime | None = None
    max_attempts: _Attempts = 3


class GangJob(Item, frozen=True, kw_only=True):
    """Tasks that must all start together."""

    tasks: _Tasks
    size: Size
    command: _Command
    declared_run_s: _RunTime
    on_member_lost: typing.Literal['restart_all', 'continue', 'fail'] = (
        'restart_all'
    )
    hold_s: _ShortTime = 10.0
    max_attempts: _Attempts = 3


class UrgentPolicy(_Section, frozen=True):
    """How urgent requests wait, and what is kept free for them."""

    queue_length: _QueueLength = 2000
    deadline_s: _ShortTime = 10.0
    reserved_share: _Share = 0.0


class ServicePolicy(_Section, frozen=True):
    """When a lost instance of a service is replaced."""

    replace_after_s: _ShortTime = 5.0
    may_preempt_batch: bool = True


class BatchPolicy(_Section, frozen=True):
    """How batch tasks wait, and how they make room for urgent work."""

    queue_length: _QueueLength = 100_000
    preemption: typing.Literal['checkpoint', 'throttle', 'stop', 'none'] = (
        'checkpoint'
    )
    checkpoint_grace_s: _ShortTime = 5.0
    wait_max_s: _RunTime = 86_400.0
    preemptions_max: typing.Annotated[int, msgspec.Meta(ge=0, le=1000)] = 10


class GangPolicy(_Section, frozen=True):
    """How gangs wait, and how long they may hold what they reserved."""

    queue_length: _QueueLength = 1000
    hold_max_s: _ShortTime = 60.0
    wait_max_s: _RunTime = 86_400.0
    may_preempt_batch: bool = True


class Policies(_Section, frozen=True):
    """The policy of each class; a class that is left out stays as it is."""

    urgent: UrgentPolicy | None = None
    service: ServicePolicy | None = None
    batch: BatchPolicy | None = None
    gang: GangPolicy | None = None


class Deletions(_Section, frozen=True):
    """The teams and services to remove; jobs are cancelled instead."""

    teams: tuple[Name, ...] = ()
    services: tuple[ItemName, ...] = ()


class Document(_Section, frozen=True, kw_only=True):
    """One change by an operator, accepted whole or refused."""

    version: typing.Literal[1]
    submission_id: _SubmissionId
    based_on: _Revision = 0
    teams: collections.abc.Mapping[Name, Team] = {}
    services: collections.abc.Mapping[ItemName, Service] = {}
    batch_jobs: collections.abc.Mapping[ItemName, BatchJob] = {}
    gang_jobs: collections.abc.Mapping[ItemName, GangJob] = {}
    policies: Policies = Policies()
    deletions: Deletions = Deletions()
    cancellations: tuple[ItemName, ...] = ()
