"""Workers whose capacity changes, and that don't enforce it themselves."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import dataclasses
import typing

import anyio

from walnutpoint_core import resources
from walnutpoint_model import fleet as fleets
from walnutpoint_scheduler import ports

__all__ = ('CapacityChanges',)

# Each heartbeat writes the worker's current capacity.
_HEARTBEAT_INTERVAL_S: typing.Final = 1.5
# How long the scheduler may use a former capacity: until the next heartbeat,
# and 3 s to learn of it.
_GRACE_S: typing.Final = 4.5

Need = collections.abc.Callable[[ports.TaskName], resources.Resources]


class _Change(typing.NamedTuple):
    at_s: float
    capacity: resources.Resources


class CapacityChanges:
    """Changes workers' capacities and records starts that exceed them."""

    __slots__ = ('_changes', '_fleet', '_need', 'overruns')

    def __init__(self, fleet: fleets.Fleet, need: Need) -> None:
        self._fleet = fleet
        self._need = need
        self._changes: collections.defaultdict[str, list[_Change]] = (
            collections.defaultdict(list)
        )
        self.overruns: list[str] = []
        fleet.ledger.add_start_listener(self._check_start)

    def set_capacity(
        self, worker_id: str, capacity: resources.Resources
    ) -> None:
        """Set a worker's capacity, which its next heartbeat reports."""
        changes = self._changes[worker_id]
        if not changes:
            listed = self._fleet.workers[worker_id].listed
            changes.append(_Change(0.0, listed.capacity))
        now_s = asyncio.get_running_loop().time()
        changes.append(_Change(now_s, capacity))

    async def write_heartbeats(self) -> None:
        """Write all entries, then one after another until cancelled."""
        for worker_id in list(self._fleet.workers):
            self._write_entry(worker_id)
        while True:
            names = list(self._fleet.workers)
            for worker_id in names:
                self._write_entry(worker_id)
                await anyio.sleep(_HEARTBEAT_INTERVAL_S / len(names))
            if not names:
                await anyio.sleep(_HEARTBEAT_INTERVAL_S)

    def _write_entry(self, worker_id: str) -> None:
        worker = self._fleet.workers.get(worker_id)
        if worker is None or self._fleet.is_frozen:
            return
        capacity = worker.listed.capacity
        if self._changes[worker_id]:
            capacity = self._changes[worker_id][-1].capacity
        self._fleet.update_entry(
            dataclasses.replace(
                worker.listed, capacity=capacity, clock_ms=worker.clock_ms()
            )
        )

    def _check_start(self, task: ports.TaskName, worker_id: str) -> None:
        """Compare a start with every capacity within its grace period."""
        now_s = asyncio.get_running_loop().time()
        usage = self._need(task)
        for run in self._fleet.workers[worker_id].runs:
            usage += self._need(run.task)
        candidates = [
            change.capacity
            for change, replaced_s in self._with_replacement_times(worker_id)
            if replaced_s > now_s - _GRACE_S
        ]
        if not any(capacity.covers(usage) for capacity in candidates):
            self.overruns.append(
                f'{task} raises {worker_id} to {usage} of {candidates[-1]}'
            )

    def _with_replacement_times(
        self, worker_id: str
    ) -> collections.abc.Iterator[tuple[_Change, float]]:
        """Return each capacity with the time of its replacement."""
        changes = self._changes[worker_id]
        if not changes:
            listed = self._fleet.workers[worker_id].listed
            changes = [_Change(0.0, listed.capacity)]
        replaced_s = [change.at_s for change in changes[1:]]
        return zip(changes, [*replaced_s, float('inf')], strict=True)
