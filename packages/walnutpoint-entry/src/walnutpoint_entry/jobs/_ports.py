"""Interfaces and settings that the job owner depends on."""

from __future__ import annotations

import dataclasses
import typing

import expression

from walnutpoint_core import documents
from walnutpoint_core import errors

__all__ = (
    'ConfigurationSource',
    'JobSettings',
    'Ownership',
)


class ConfigurationSource(typing.Protocol):
    """Access to the operators' configuration."""

    def current(self) -> documents.Configuration:
        """Return the configuration in force in this process."""

    async def refresh(
        self,
    ) -> expression.Result[documents.Configuration, errors.Failure]:
        """Read the configuration in force from the store."""

    async def finish(
        self, jobs: tuple[str, ...]
    ) -> expression.Result[documents.Accepted, documents.Refusal]:
        """Remove ended jobs from the configuration."""


class Ownership(typing.Protocol):
    """Access to the ownership of shards."""

    @property
    def table_revision(self) -> int:
        """Return the revision of the newest table known here."""

    def may_act(self, asset: str) -> bool:
        """Return whether this process may act for an asset now."""


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
    deferred_write_s: float = 60.0
    starts_in_flight: int = 32
    borrow_delay_s: float = 1.0

    @property
    def lapse_s(self) -> float:
        """Return the time after which a lease has lapsed on any clock."""
        # The worker's clock may run slow and the local clock fast.
        return self.lease_s * (1.0 + 2.0 * self.clock_rate_margin)
