"""Interface of the owners of workers to job owners."""

from __future__ import annotations

import collections.abc
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_entry.tasks import _model

__all__ = (
    'OwnerClient',
    'OwnerClients',
)


class OwnerClient(typing.Protocol):
    """A client of the owner of some workers."""

    @property
    def owner(self) -> str:
        """Return the owner's name."""

    def free_tasks(self, spec: _model.TaskSpec) -> int:
        """Estimate how many such tasks could start now."""

    def displaceable_tasks(self, spec: _model.TaskSpec) -> int:
        """Estimate how many could start if batch tasks were displaced."""

    async def hold(
        self,
        spec: _model.TaskSpec,
        hold_s: float,
        avoid_domains: frozenset[str] = frozenset(),
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Hold capacity for a task until the hold expires."""

    async def start(
        self,
        spec: _model.TaskSpec,
        avoid_domains: frozenset[str] = frozenset(),
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Start a task where it is held, or on any that has capacity."""

    async def stop(
        self,
        key: _model.TaskKey,
        attempt: int,
        mode: _model.StopMode,
    ) -> expression.Result[_model.TaskReport, errors.Failure]:
        """Release a hold or stop a task; STOPPED confirms the end."""

    async def inventory(
        self, shard: int, shard_epoch: int
    ) -> expression.Result[_model.Inventory, errors.Failure]:
        """Return a shard's tasks and fence older epochs."""

    async def acknowledge(
        self,
        shard: int,
        ended: collections.abc.Collection[_model.TaskReport],
    ) -> expression.Result[None, errors.Failure]:
        """Drop ended tasks whose end the job owner has recorded."""


class OwnerClients(typing.Protocol):
    """The clients of all owners."""

    def reachable(self) -> tuple[OwnerClient, ...]:
        """Return clients of the reachable owners, the local one first."""

    def are_all_reachable(self) -> bool:
        """Return whether every owner in the table can be reached."""
