"""Messages between the processes of the system."""

from __future__ import annotations

import typing

import msgspec

from walnutpoint_core import ports as core_ports
from walnutpoint_core import resources

__all__ = (
    'AdviceReply',
    'AdviceRequest',
    'Backlog',
    'Claim',
    'HandoverReply',
    'HandoverRequest',
    'Member',
    'PendingReply',
    'PendingRequest',
    'PoolBacklog',
    'PoolCapacities',
    'Probe',
    'ProbeReply',
    'StateReply',
    'StateRequest',
    'StoreReply',
    'StoreRequest',
    'WaitingWork',
)


class Member(msgspec.Struct, frozen=True):
    """A process, as it registers itself."""

    name: str
    address: str
    domain: str
    # New at each start of the process.
    incarnation: str
    # How well its host suits a scheduler; 1 is the best.
    strength: float = 1.0


class Claim(msgspec.Struct, frozen=True):
    """A claim to schedule; its key's revision is the fencing token."""

    member: Member
    # Distinguishes attempts to claim by the same process.
    nonce: str
    # The scheduler stopped as planned: any process may replace it at once.
    released: bool = False
    # The duration of the leases of this term, and the longest one of earlier
    # terms that may not have lapsed; zero in claims of earlier versions.
    lease_s: float = 0.0
    earlier_lease_s: float = 0.0


class Probe(msgspec.Struct, frozen=True):
    """Asks whether a process is still the scheduler."""

    sender: str
    token: int


class PoolCapacities(msgspec.Struct, frozen=True):
    """The distinct capacities of a pool's workers."""

    pool: str
    capacities: tuple[resources.Resources, ...]


class HandoverRequest(msgspec.Struct, frozen=True):
    """Asks a process to replace one that stops or lost the store."""

    token: int
    # Accept only if the store answers the successor directly.
    needs_store: bool = False


class HandoverReply(msgspec.Struct, frozen=True):
    """Whether the answering process now is the scheduler."""

    won: bool


class WaitingWork(msgspec.Struct, frozen=True, array_like=True):
    """Waiting jobs of one size class, and whom they precede."""

    is_owed: bool
    is_begun: bool
    size_class: int
    jobs: int
    # Time for which the whole pool would work on the waiting tasks.
    work_pool_ms: int


class PoolBacklog(msgspec.Struct, frozen=True, array_like=True):
    """The waiting work of one priority in one pool."""

    pool: str
    priority: int
    # The pool's capacity, by which work is measured.
    cpu_millicores: int
    memory_mb: int
    accelerators: int
    # Estimated work done per second, in seconds of the whole pool.
    rate: float
    work: tuple[WaitingWork, ...]


class Backlog(msgspec.Struct, frozen=True):
    """The work that waits before a job that is accepted now."""

    # Increases with each figure of a term.
    version: int
    # Checksums of the names of accounts beyond their rate.
    accounts_beyond: tuple[int, ...] = ()
    pools: tuple[PoolBacklog, ...] = ()


class ProbeReply(msgspec.Struct, frozen=True):
    """The status of the answering process, and what it knows."""

    incarnation: str
    schedules: bool
    token: int
    # Age of the last answer of the store.
    store_age_s: float
    # Age of the scheduler's last answer; zero if it is the scheduler.
    scheduler_age_s: float
    cell_version: int
    members: tuple[Member, ...] = ()
    # From the scheduler only.
    rooms: tuple[PoolCapacities, ...] = ()
    # An encoded Backlog, from the scheduler only; empty if little work waits.
    # Encoded separately, so that an unreadable one leaves the probe valid.
    backlog: bytes = b''
    # Age of the backlog when the reply was sent.
    backlog_age_s: float = 0.0


class PendingRequest(msgspec.Struct, frozen=True):
    """Asks for the number of waiting jobs of a queue."""

    queue: str


class PendingReply(msgspec.Struct, frozen=True):
    """The count, or None if the process is not the scheduler."""

    count: int | None


class StateRequest(msgspec.Struct, frozen=True):
    """Asks for a job's state while the store is down."""

    job_id: str


class StateReply(msgspec.Struct, frozen=True):
    """The state, or None where it is uncertain."""

    state: str | None
    # Why a job failed, where a cause is known.
    reason: str = ''
    # The job's client account; empty for a public job.
    account: str = ''


class AdviceRequest(msgspec.Struct, frozen=True):
    """Asks for a call of the advice service from another host."""

    step: str
    workers: tuple[str, ...]
    expected_s: float


class AdviceReply(msgspec.Struct, frozen=True):
    """Tickets by worker, or a failure."""

    tickets: dict[str, str]
    valid_s: float
    failure: str = ''


class StoreRequest(msgspec.Struct, frozen=True):
    """One store operation, to execute for another process."""

    operation: typing.Literal['get', 'read', 'commit']
    key: str = ''
    batch: core_ports.Batch | None = None


class StoreReply(msgspec.Struct, frozen=True):
    """The result of a store operation."""

    failure_kind: str = ''
    detail: str = ''
    value: core_ports.StoredValue | None = None
    snapshot: core_ports.Snapshot | None = None
    reply: core_ports.CommitReply | None = None
