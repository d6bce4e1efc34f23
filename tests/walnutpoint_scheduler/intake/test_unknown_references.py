"""Entries and reports that name what a term does not know yet."""

from __future__ import annotations

import dataclasses
import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

LONG_S = 60.0
_WITHOUT_QUEUES = cell.Cell(1, (), harness.CELL.pools)
_NEXT_CELL = dataclasses.replace(harness.CELL, version=2)


class UnknownQueueTest(unittest.TestCase):
    """A job whose queue the scheduler's configuration does not have."""

    def test_job_of_a_queue_that_is_not_configured_yet(self) -> None:
        """Guards against a job that waits for the configuration.

        The process that accepted it has a newer configuration.
        """

        async def scenario() -> None:
            bed = harness.Testbed()
            submitted = harness.job(1)
            async with bed.scheduling(_WITHOUT_QUEUES) as term:
                bed.submit(submitted)
                await harness.until(
                    lambda: bed.fleet.ledger.starts.total() == 2, 1.0
                )
                term.apply_cell(_NEXT_CELL)
                await harness.until(
                    lambda: bed.state(submitted.job_id) == 'done', 2.0
                )

        harness.run_virtual(scenario)

    def test_job_of_a_removed_queue_ends_in_the_next_term(self) -> None:
        """Guards against jobs that a takeover leaves without a pool."""

        async def scenario() -> None:
            bed = harness.Testbed()
            submitted = harness.job(1, harness.step(1), harness.step(1))
            async with bed.scheduling():
                bed.submit(submitted)
                await harness.until(
                    lambda: bed.fleet.ledger.starts.total() > 0
                )
            async with bed.scheduling(_WITHOUT_QUEUES):
                await harness.until(
                    lambda: bed.state(submitted.job_id) == 'done', 5.0
                )

        harness.run_virtual(scenario)


class UnknownRunTest(unittest.TestCase):
    """A worker reports a run of a job that the term does not know."""

    def test_run_of_an_unknown_job_is_stopped(self) -> None:
        """Guards against a run that uses capacity counted as free."""

        async def scenario() -> None:
            bed = harness.Testbed(1)
            bed.run_time_s = lambda _task: LONG_S
            worker = bed.fleet.workers['worker-0']
            task = ports.TaskName('f' * 16, 0, 0, 0)
            lease_until_ms = worker.clock_ms() + 10_000
            worker.start(
                ports.Start(ports.RunName(task, 1), 'x', lease_until_ms, 0)
            )
            self.assertIn(task, bed.fleet.ledger.running)
            async with bed.scheduling():
                await harness.until(lambda: not bed.fleet.ledger.running, 1.0)

        harness.run_virtual(scenario)

    def test_end_of_an_unknown_job_is_acknowledged(self) -> None:
        """Guards against a worker that repeats such an end for good."""

        async def scenario() -> None:
            bed = harness.Testbed(1)
            worker = bed.fleet.workers['worker-0']
            task = ports.TaskName('f' * 16, 0, 0, 0)
            lease_until_ms = worker.clock_ms() + 10_000
            worker.start(
                ports.Start(ports.RunName(task, 1), 'x', lease_until_ms, 0)
            )
            await anyio.sleep(harness.RUN_TIME_S + 0.1)
            worker.advance()
            self.assertEqual(1, len(worker.ends))
            async with bed.scheduling():
                await harness.until(lambda: not worker.ends, 2.0)

        harness.run_virtual(scenario)
