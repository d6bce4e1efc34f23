"""A worker becomes free early, and the first waiting step has no ticket.

The cell is overloaded with batch whose estimates are far off, so that tickets
are not renewed in time for capacity that is released early.
"""

from __future__ import annotations

import typing
import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from walnutpoint_scheduler import ports
from walnutpoint_scheduler import settings

WHOLE_MILLICORES = 16_000
# Answers take 0.4 s and tickets are valid for 2 s: the run ends in between.
RUN_S = 2.45
ESTIMATE_MS = 20_000
START_DELAY_S = 0.15


def _run_s(task: ports.TaskName) -> float:
    return RUN_S


class ExpiredTicketTest(unittest.TestCase):
    """The step that gets capacity released earlier than estimated."""

    def test_step_with_a_ticket_starts_first(self) -> None:
        """Guards against a worker idle for a step that lacks a ticket."""
        self._release_early(settings.Policies(), is_ticketed_first=True)

    def test_release_comes_as_a_surprise(self) -> None:
        """Guards against an idle worker where run times are not observed."""
        policies = settings.Policies(
            observed_run_times=False, served_set=False
        )
        self._release_early(policies, is_ticketed_first=True)

    def test_release_is_foreseen(self) -> None:
        """Guards against a ticket that expires before a foreseen release.

        In the order of deadlines the first step renews it in time.
        """
        policies = settings.Policies(served_set=False)
        self._release_early(policies, is_ticketed_first=False)

    def _release_early(
        self, policies: settings.Policies, *, is_ticketed_first: bool
    ) -> None:
        async def scenario() -> None:
            bed = harness.Testbed(1)
            bed.run_time_s = _run_s
            bed.advice = harness.advice.AdviceService(
                typing.cast(typing.Any, harness.ADVISED.advice), 1.0
            )

            def submit(number: int, millicores: int, after_ms: int) -> str:
                step = harness.step(
                    1, cpu_millicores=millicores, estimate_ms=ESTIMATE_MS
                )
                job = harness.job(
                    number,
                    step,
                    queue=harness.ADVISED,
                    accepted_ms=bed.now_ms() + after_ms,
                )
                bed.submit(job)
                return job.job_id

            def is_running(job_id: str) -> bool:
                running_tasks = bed.fleet.ledger.running
                return any(task.job_id == job_id for task in running_tasks)

            async with bed.scheduling(policies=policies):
                running_id = submit(1, WHOLE_MILLICORES, 0)
                await harness.until(lambda: is_running(running_id))
                unticketed = submit(2, WHOLE_MILLICORES, 0)
                await anyio.sleep(RUN_S - 1.0)
                ticketed = submit(3, WHOLE_MILLICORES // 2, 1000)
                await harness.until(lambda: not is_running(running_id))
                first = ticketed if is_ticketed_first else unticketed
                waited_s = await harness.until(lambda: is_running(first))
                self.assertLess(waited_s, START_DELAY_S)
                await harness.until(lambda: bed.state(unticketed) == 'done')

        harness.run_virtual(scenario)
