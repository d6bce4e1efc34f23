"""A burst of one account does not delay the others.

One account fills the cell with urgent jobs beyond the rate of its weight,
while another keeps its usual load.
"""

from __future__ import annotations

import typing
import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import settings

HOT = accounts.Account('hot', weight=2.0)
STEADY = accounts.Account('steady', weight=2.0)
CELL = cell.Cell(
    1,
    harness.CELL.queues,
    harness.CELL.pools,
    accounts=accounts.Accounts((HOT, STEADY)),
)
HOT_INTERVAL_S = 0.05
STEADY_INTERVAL_S = 0.5
BURST_S = 6.0
# The objective of the steady account's jobs.
OBJECTIVE_S = harness.RUN_TIME_S * harness.QUEUE.stretch + (
    harness.QUEUE.allowance_s
)


async def _steady_times_s(**changes: typing.Any) -> list[float]:
    """Return how long each job of the steady account takes."""
    bed = harness.Testbed(4)
    durations_s: list[float] = []

    async def submit(number: int, account: accounts.Account) -> None:
        submitted_ms = bed.now_ms()
        job = harness.job(
            number,
            harness.step(8),
            account=account.name,
            accepted_ms=submitted_ms,
        )
        bed.submit(job)
        if account is STEADY:
            await harness.until(lambda: bed.state(job.job_id) == 'done')
            durations_s.append((bed.now_ms() - submitted_ms) / 1000)

    async def burst() -> None:
        for number in range(int(BURST_S / HOT_INTERVAL_S)):
            await submit(1000 + number, HOT)
            await anyio.sleep(HOT_INTERVAL_S)

    async with bed.scheduling(CELL, **changes):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(burst)
            await anyio.sleep(BURST_S / 3)
            for number in range(1, 8):
                tasks.start_soon(submit, number, STEADY)
                await anyio.sleep(STEADY_INTERVAL_S)
    return durations_s


class HotAccountTest(unittest.TestCase):
    """The effect of a burst of one account on another."""

    def test_others_meet_their_objective(self) -> None:
        """Guards against urgent jobs behind another account's burst."""

        async def scenario() -> None:
            durations_s = await _steady_times_s()
            self.assertEqual(7, len(durations_s))
            self.assertLess(max(durations_s), OBJECTIVE_S)

        harness.run_virtual(scenario)

    def test_rates_alone_suffice(self) -> None:
        """Guards against rates that protect others only in a served set."""

        async def scenario() -> None:
            policies = settings.Policies(served_set=False)
            durations_s = await _steady_times_s(policies=policies)
            self.assertEqual(7, len(durations_s))
            self.assertLess(max(durations_s), OBJECTIVE_S)

        harness.run_virtual(scenario)

    def test_others_are_late_without_shares(self) -> None:
        """Guards against a load too small for the test above."""

        async def scenario() -> None:
            policies = settings.Policies(owed_first=False, served_set=False)
            durations_s = await _steady_times_s(policies=policies)
            self.assertGreater(max(durations_s), OBJECTIVE_S)

        harness.run_virtual(scenario)

    def test_burst_runs_if_no_other_account_waits(self) -> None:
        """Guards against idle workers while a burst waits."""

        async def scenario() -> None:
            bed = harness.Testbed(4)
            ids = []
            async with bed.scheduling(CELL):
                for number in range(1, 9):
                    job = harness.job(
                        number, harness.step(8), account=HOT.name
                    )
                    bed.submit(job)
                    ids.append(job.job_id)
                took_s = await harness.until(
                    lambda: all(bed.state(job_id) == 'done' for job_id in ids)
                )
            self.assertLess(took_s, harness.RUN_TIME_S + 0.2)

        harness.run_virtual(scenario)
