"""Protocols and messages between the scheduler and its environment."""

from __future__ import annotations

import dataclasses
import enum
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import ports
from walnutpoint_core import resources
from walnutpoint_scheduler import cell

__all__ = (
    'Advice',
    'AdviceSource',
    'CellSource',
    'End',
    'EndKind',
    'OrderOutcome',
    'Renewal',
    'Report',
    'RunName',
    'RunningTask',
    'Start',
    'Store',
    'TaskName',
    'WorkerChanges',
    'WorkerDirectory',
    'WorkerOrders',
)

Store = ports.WatchableStore


class TaskName(typing.NamedTuple):
    """One task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    ordinal: int


class RunName(typing.NamedTuple):
    """One attempt to run a task; later attempts have higher numbers."""

    task: TaskName
    attempt: int


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    # Another gang member ended.
    BROKEN = 'broken'
    # The other gang members did not start in time.
    ALONE = 'alone'


class OrderOutcome(enum.Enum):
    """Known outcome of an order to a worker."""

    DONE = 'done'
    # The worker has seen a higher token: this scheduler is deposed.
    FENCED = 'fenced'
    # The worker has ended or stopped this or a later attempt.
    OUTDATED = 'outdated'
    # The lease sent with the order had expired.
    EXPIRED = 'expired'
    NO_ROOM = 'no_room'
    BAD_TICKET = 'bad_ticket'
    UNHEALTHY = 'unhealthy'
    # Another incarnation of the worker answered.
    OTHER_INCARNATION = 'other_life'
    REJECTED = 'rejected'
    # There was no connection to send the order on.
    UNSENT = 'unsent'
    # No answer: the order may still take effect at any time.
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Order to start one run."""

    run: RunName
    payload: str
    lease_until_ms: int
    token: int
    checkpoint: str = ''
    ticket: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """Order to extend a lease, drop acknowledged ends and report."""

    token: int
    acknowledged: int
    lease_until_ms: int | None
    wait_s: float
    # Added to the usual timeout of the answer.
    extra_timeout_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """One run that a worker reports as running."""

    run: RunName
    checkpoint: str
    progress_percent: float
    # For a serving task the tail latency in ms, for any other task its CPU
    # use in millicores.
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """One run that ended on a worker, numbered in sequence."""

    number: int
    run: RunName
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """All running tasks of a worker and its oldest unacknowledged ends."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ends: tuple[End, ...]
    # Current capacity, where the worker reports it.
    capacity: resources.Resources | None = None
    # Start time of the reporting incarnation; zero where unknown.
    born_ms: int = 0
    # Whether no further ends wait: only then has a run that is not listed
    # certainly not ended here.
    is_complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReply:
    """Outcome of an order, and the worker's clock if it answered."""

    outcome: OrderOutcome
    clock_ms: int | None = None


class WorkerOrders(typing.Protocol):
    """Sends orders to workers."""

    async def start(
        self, worker: cell.ListedWorker, order: Start
    ) -> OrderReply:
        """Start a run."""

    async def stop(
        self, worker: cell.ListedWorker, run: RunName, token: int
    ) -> OrderReply:
        """Stop a run, or block its attempt if it has not started."""

    async def renew(
        self, worker: cell.ListedWorker, order: Renewal
    ) -> Report | OrderReply:
        """Extend the lease and return the report."""

    async def pace(
        self,
        worker: cell.ListedWorker,
        run: RunName,
        percent: int,
        token: int,
    ) -> OrderReply:
        """Limit a task to a percentage of its CPU time."""

    def disconnect(self, worker: cell.ListedWorker) -> None:
        """Close all connections to a worker."""


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Tickets of one step by worker, and how long they are valid."""

    tickets: dict[str, str]
    valid_s: float


class AdviceSource(typing.Protocol):
    """Service that decides which workers may run a step."""

    async def request(
        self, step: str, worker_ids: tuple[str, ...], expected_s: float
    ) -> expression.Result[Advice, errors.Failure]:
        """Request which of the given workers may run a step.

        Waits a little longer than the expected time for the answer.
        """

    def max_concurrent(self, expected_s: float) -> int | None:
        """Return how many requests of a duration may be in flight.

        None means no limit.
        """


class CellSource(typing.Protocol):
    """Source of the operators' cell configuration."""

    async def watch(
        self, wait_s: float
    ) -> expression.Result[cell.Cell | None, errors.Failure]:
        """Return the newest configuration, or None where there is none.

        Returns on a change, or when the wait time is over.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerListing:
    """All listed workers at a store revision."""

    workers: tuple[cell.ListedWorker, ...]
    revision: int
    # Workers whose entries can't be decoded; their capacity is unknown.
    unreadable: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerChanges:
    """Entries written or removed up to a store revision."""

    workers: tuple[cell.ListedWorker, ...]
    removed: tuple[str, ...]
    revision: int
    # The removed whose entries exist but can't be decoded.
    unreadable: tuple[str, ...] = ()


class WorkerDirectory(typing.Protocol):
    """Directory in which workers register themselves."""

    async def fetch(
        self,
    ) -> expression.Result[WorkerListing, errors.Failure]:
        """Return every listed worker."""

    async def changes(
        self, revision: int, wait_s: float
    ) -> expression.Result[WorkerChanges | None, errors.Failure]:
        """Wait for changes; None if the whole list must be fetched again."""
