"""The operators' configuration of a cell, and its workers as listed."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from walnutpoint_core import resources
from walnutpoint_scheduler import accounts as client_accounts

__all__ = (
    'USEFUL_FACTOR',
    'AdviceTerms',
    'Cell',
    'ListedWorker',
    'Pool',
    'Queue',
)

# A job that ends within this many times its objective still has some value.
USEFUL_FACTOR: typing.Final = 3.0
_BODY_SIZE_BYTES: typing.Final = 262_144


class AdviceTerms(msgspec.Struct, frozen=True):
    """The cost and validity of advice on which workers may run a step.

    An answer takes decide_s, and per_worker_s for each worker named.
    """

    decide_s: float
    per_worker_s: float
    valid_s: float


class Queue(msgspec.Struct, frozen=True):
    """Where jobs are submitted, and how they are scheduled."""

    name: str
    host: str
    prefix: str
    pool: str
    # Zero is the most urgent and may preempt others.
    priority: int = 0
    attempts_max: int = 1
    # The objective is the job's longest chain of steps times the stretch,
    # plus the allowance.
    stretch: float = 1.0
    allowance_s: float = 0.0
    timeout_s: float = 0.0
    advice: AdviceTerms | None = None
    # Whether callers need no key.
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A set of workers that serve the same queues."""

    name: str
    standby: bool = False
    # Whether its workers refuse tasks that do not fit.
    checks_room: bool = False
    health_path: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One version of the configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    body_size_bytes: int = _BODY_SIZE_BYTES
    # None where callers need no key in any queue.
    accounts: client_accounts.Accounts | None = None

    def queue(self, name: str) -> Queue | None:
        """Return the queue with a name."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None

    @property
    def lowest_priority(self) -> int:
        """Return the least urgent priority of any queue."""
        return max((queue.priority for queue in self.queues), default=0)

    def account(self, name: str) -> client_accounts.Account | None:
        """Return the client account with a name."""
        return None if self.accounts is None else self.accounts.get(name)

    def queue_at(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching path prefix."""
        found: Queue | None = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if found is None or len(queue.prefix) > len(found.prefix):
                    found = queue
        return found


@dataclasses.dataclass(frozen=True, slots=True)
class ListedWorker:
    """One incarnation of a worker as it lists itself."""

    worker_id: str
    pool: str
    address: str
    domain: str
    draining: bool
    capacity: resources.Resources
    labels: tuple[str, ...]
    rack: str
    clock_ms: int = 0
    # The shortest time for which a draining worker stays.
    remaining_s: float | None = None
    # Start of this incarnation as Unix time; zero if unknown.
    born_ms: int = 0
