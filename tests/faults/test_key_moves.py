"""Tests of keyed requests while the home of their key changes."""

from __future__ import annotations

import asyncio
import signal
import typing
import unittest

from tests.faults import cluster as clusters
from tests.faults import load as loads
from tests.faults import scenarios

_KIND = loads.Kind
_WAITING: typing.Final = 12
_SLOTS: typing.Final = 12


class KeyMoveTest(unittest.TestCase):
    """A planned stop moves the keys of a process to its peers."""

    def test_stop_serves_requests_that_wait_at_the_home(self) -> None:
        """Waiting requests of a stopping home can be run by no process.

        All slots are in use, and requests with keys of the first process
        wait there for one when it is told to stop.
        """

        async def scenario(
            cluster: clusters.Cluster, load: loads.Load
        ) -> None:
            minted = [await load.mint(0) for _ in range(_WAITING)]
            async with asyncio.TaskGroup() as tasks:
                # Twice the slots, so that the keyed requests wait longer
                # than the stop takes to begin.
                for number in range(2 * _SLOTS):
                    tasks.create_task(
                        load.send(
                            _KIND.PLAIN,
                            number % 3,
                            f'busy-{number}',
                            run_s=1.2,
                            deadline_s=8.0,
                        )
                    )
                await asyncio.sleep(0.3)
                calls = [
                    tasks.create_task(
                        load.send(
                            _KIND.MINTED,
                            1 + number % 2,
                            f'keyed-{number}',
                            key=key,
                            deadline_s=8.0,
                        )
                    )
                    for number, key in enumerate(minted)
                ]
                await asyncio.sleep(0.3)
                cluster.entries[0].send_signal(signal.SIGTERM)
            for call in calls:
                reply = call.result()
                self.assertEqual('done', reply.outcome, str(reply))
                self.assertEqual(1, cluster.worker.tags[reply.tag])

        scenarios.run(scenario)
