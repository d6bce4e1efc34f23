"""What the job owner needs of the rest of the process."""

from __future__ import annotations

import dataclasses
import typing

import expression

from walnutpoint_core import documents
from walnutpoint_core import errors

__all__ = (
    'Configurations',
    'JobSettings',
    'Ownership',
)


class Configurations(typing.Protocol):
    """The operators' configuration, as the jobs use it."""

    def current(self) -> documents.Configuration:
        """Return the configuration in force here."""

    async def refresh(
        self,
    ) -> expression.Result[documents.Configuration, errors.Failure]:
        """Read what is in force from the store, and return it."""

    async def finish(
        self, jobs: tuple[str, ...]
    ) -> expression.Result[documents.Accepted, documents.Refusal]:
        """Take ended jobs out of the configuration."""


class Ownership(typing.Protocol):
    """Which shards this process may act for."""

    @property
    def table_revision(self) -> int:
        """Return the revision of the newest table known here."""

    def may_act(self, asset: str) -> bool:
        """Tell whether this process may act for an asset now."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobSettings:
    """Timings and limits of the job owner."""

    shards: int = 64
    lease_s: float = 30.0
    clock_rate_margin: float = 0.01
    settle_s: float = 0.8
    tick_s: float = 0.2
    rest_tick_s: float = 1.0
    poll_period_s: float = 1.0
    rest_poll_period_s: float = 2.5
    search_period_s: float = 0.2
    write_period_s: float = 1.0
    lazy_write_s: float = 60.0
    starts_in_flight: int = 32
    borrow_delay_s: float = 1.0

    @property
    def lapse_s(self) -> float:
        """Return after how long a lease has lapsed on any clock."""
        # Both clocks may be off: the worker's may run slow, ours fast.
        return self.lease_s * (1.0 + 2.0 * self.clock_rate_margin)
