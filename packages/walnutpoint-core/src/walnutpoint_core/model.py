"""Domain types shared along the request path."""

from __future__ import annotations

import dataclasses
import enum

from walnutpoint_core import errors

__all__ = (
    'Answer',
    'Header',
    'HostListing',
    'HostState',
    'ListedHost',
    'Request',
    'WorkClass',
)


class WorkClass(enum.IntEnum):
    """The class of a request; a lower value is placed first."""

    URGENT = 0
    STANDARD = 1
    BATCH = 2


class HostState(enum.Enum):
    """Whether a listed host may receive new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, with times of the local timer."""

    request_id: str
    team: str
    work_class: WorkClass
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    received_at_s: float
    deadline_at_s: float
    idempotent: bool
    key: str | None = None
    # How long after the deadline its answer is awaited for repeats.
    late_answer_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer of an endpoint."""

    status: int
    headers: tuple[Header, ...]
    body: bytes
    endpoint: str
    owner: str
    waited_s: float
    outcome: errors.Outcome = errors.Outcome.DONE


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """An endpoint as it stands in the platform's host list."""

    address: str
    domain: str
    rack: str
    slots: int
    connections: int
    state: HostState
    cpu_cores: float = 16.0
    memory_mb: int = 65_536
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HostListing:
    """The hosts of one version of the host list."""

    version: int
    hosts: tuple[ListedHost, ...]
