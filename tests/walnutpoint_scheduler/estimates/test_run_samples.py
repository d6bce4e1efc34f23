"""The expected run times of runs, and which reports are evidence."""

from __future__ import annotations

import math
import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from walnutpoint_scheduler import _remaining


class LastingTaskTest(unittest.TestCase):
    """A lasting task has no expected run time."""

    def test_late_failure_makes_no_worker_suspect(self) -> None:
        """Guards against failures that are all early by an infinite time."""
        results = []

        async def scenario() -> None:
            bed = harness.Testbed(2)
            bed.run_time_s = lambda _task: 2.0
            bed.fleet.workers['worker-0'].fails = True
            async with bed.scheduling() as term:
                lasting = harness.step(2, lasting=True, per_worker_max=1)
                bed.submit(harness.job(1, lasting))
                await harness.until(lambda: len(bed.fleet.ledger.running) == 2)
                await anyio.sleep(1.0)
                context = term._context
                assert context is not None
                worker = context.roster.workers['worker-0']
                for run in worker.runs.values():
                    assert run.task is not None
                    results.append(_remaining.expected_s(run, run.task))
                    results.append(
                        _remaining.step_s(
                            run.task.step, 0.0, context.run_times
                        )
                    )
                await anyio.sleep(1.2)
                results.append(context.health.is_suspect('worker-0'))

        harness.run_virtual(scenario)
        self.assertEqual([0.6, math.inf, False], results)
