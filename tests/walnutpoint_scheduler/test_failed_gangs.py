"""Failed attempts of gangs, counted over changes of the scheduler."""

from __future__ import annotations

import unittest

import anyio

from tests.walnutpoint_scheduler import harness

# As many members as the queue allows attempts.
_MEMBERS = harness.QUEUE.attempts_max
_END_GAP_S = 0.5


class FailedGangTest(unittest.TestCase):
    """An attempt of a gang fails once, however many members say so."""

    def test_members_that_fail_in_different_terms_are_one_failure(
        self,
    ) -> None:
        """Guards against a job that is failed after a single attempt.

        Each member of the attempt fails on its own worker, and the scheduler
        changes after each of their ends.
        """
        bed = harness.Testbed(0)
        for number in range(_MEMBERS):
            bed.add_worker(number, cpu_millicores=1000)
        bed.run_time_s = lambda task: _END_GAP_S * (task.ordinal + 0.5)
        job = harness.job(1, harness.step(_MEMBERS, gang=True))

        async def scenario() -> None:
            for worker in bed.fleet.workers.values():
                worker.fails = True
            bed.submit(job)
            for _ in range(_MEMBERS):
                async with bed.scheduling():
                    await anyio.sleep(_END_GAP_S)
            for worker in bed.fleet.workers.values():
                worker.fails = False
            async with bed.scheduling():
                await anyio.sleep(10 * _END_GAP_S)

        harness.run_virtual(scenario)
        self.assertEqual('done', bed.state(job.job_id))
