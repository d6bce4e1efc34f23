"""Workers that report their changing capacities."""

from __future__ import annotations

import unittest

import anyio

from walnutpoint_core import resources
from walnutpoint_model import capacity_changes
from walnutpoint_model import fleet as fleets
from walnutpoint_model import virtual_time


class HeartbeatTest(unittest.TestCase):
    """Heartbeats of a fleet that loses all its workers."""

    def test_empty_fleet_lets_time_pass(self) -> None:
        """Guards against a series that never ends after all workers crash."""
        changes = capacity_changes.CapacityChanges(
            fleets.Fleet(), lambda _task: resources.Resources(1, 1)
        )

        async def scenario() -> bool:
            with anyio.move_on_after(10) as scope:
                await changes.write_heartbeats()
            return scope.cancelled_caught

        self.assertTrue(virtual_time.run(scenario()))
