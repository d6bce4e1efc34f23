"""Ends that count as failed attempts, over many changes of the scheduler."""

from __future__ import annotations

import collections
import dataclasses
import random
import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from walnutpoint_model import fleet as fleets
from walnutpoint_model import store
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

_ATTEMPTS = harness.QUEUE.attempts_max
_WORKERS = 6
_SEEDS = 10
_TERMS_MAX = 60
_TERM_S = (0.05, 1.2)
_FAULT_SHARE = 0.3


class _CountingFleet(fleets.Fleet):
    """Counts the attempts that workers report as failed."""

    def __init__(self) -> None:
        super().__init__()
        self._failed: collections.defaultdict[ports.TaskName, set[int]] = (
            collections.defaultdict(set)
        )

    async def renew(
        self, worker: cell.ListedWorker, order: ports.Renewal
    ) -> ports.Report | ports.OrderReply:
        """Renew a lease and return the report."""
        reply = await super().renew(worker, order)
        for end in getattr(reply, 'ends', ()):
            if end.kind is ports.EndKind.FAILED:
                self._failed[end.run.task].add(end.run.attempt)
        return reply

    def failed_attempts(self, *, gang: bool) -> int:
        """Return the failed attempts of a gang, or the most of any task."""
        if gang:
            return len(set().union(*self._failed.values()))
        return max(map(len, self._failed.values()))


def _testbed() -> tuple[harness.Testbed, _CountingFleet]:
    """Return a cell whose workers fail all that they run."""
    bed = harness.Testbed(0)
    bed.fleet = fleet = _CountingFleet()
    for number in range(_WORKERS):
        bed.add_worker(number).fails = True
    bed.run_time_s = lambda task: 0.4 + 0.05 * task.ordinal
    return bed, fleet


class FailedEndsTest(unittest.TestCase):
    """A job is failed for as many failed attempts as its queue allows."""

    def _check(
        self, seed: int, *, gang: bool, has_faults: bool = False
    ) -> None:
        """Change the scheduler at random times until the job has failed."""
        drawn = random.Random(seed)  # noqa: S311
        bed, fleet = _testbed()
        job = harness.job(1, harness.step(4, gang=gang))

        async def scenario() -> None:
            bed.submit(job)
            for _ in range(_TERMS_MAX):
                async with bed.scheduling():
                    if has_faults and drawn.random() < _FAULT_SHARE:
                        bed.store.fault = drawn.choice(list(store.StoreFault))
                    await anyio.sleep(drawn.uniform(*_TERM_S))
                    bed.store.fault = store.StoreFault.NONE
                if bed.state(job.job_id) == 'failed':
                    return

        harness.run_virtual(scenario)
        self.assertEqual('failed', bed.state(job.job_id))
        self.assertEqual(_ATTEMPTS, fleet.failed_attempts(gang=gang), seed)

    def test_task_over_changes_of_the_scheduler(self) -> None:
        """Guards against counting an end in the term after it was stored."""
        for seed in range(_SEEDS):
            self._check(seed, gang=False)

    def test_gang_over_changes_of_the_scheduler(self) -> None:
        """Guards against counting an attempt once for each member."""
        for seed in range(_SEEDS):
            self._check(seed, gang=True)

    def test_task_while_the_store_fails(self) -> None:
        """Guards against counting an end whose record is stored late."""
        for seed in range(_SEEDS):
            self._check(seed, gang=False, has_faults=True)

    def test_gang_while_the_store_fails(self) -> None:
        """Guards against storing a gang's failure without its attempt."""
        for seed in range(_SEEDS):
            self._check(seed, gang=True, has_faults=True)

    def test_queue_that_the_configuration_lacks(self) -> None:
        """Guards against the single attempt of an unknown queue."""
        bed, fleet = _testbed()
        job = harness.job(1, harness.step(4))
        without = dataclasses.replace(harness.CELL, queues=(harness.BATCH,))

        async def scenario() -> None:
            bed.submit(job)
            async with bed.scheduling():
                await harness.until(lambda: bed.fleet.ledger.starts.total())
            async with bed.scheduling(without):
                await anyio.sleep(10)
            async with bed.scheduling():
                await anyio.sleep(10)

        harness.run_virtual(scenario)
        self.assertEqual('failed', bed.state(job.job_id))
        self.assertEqual(_ATTEMPTS, fleet.failed_attempts(gang=False))
