"""Tasks that crash each worker which starts them."""

from __future__ import annotations

import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from walnutpoint_model import crashes
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports

WORKERS = 12
JOBS = 150
JOB_GAP_S = 0.1
# After the third crash a task may be started twice more.
STARTS_MAX = 5


class CrashingTaskTest(unittest.TestCase):
    """Workers crash in turn until the task that does it is given up.

    Callers see over a tenth of all urgent jobs late or lost, all day. One
    task ends each worker that starts it, within 10 ms and with all that runs
    there. When the lease has lapsed all of that waits again, and the task is
    placed on the next worker at once, with its victims beside it.
    """

    def _play(self, *crashing: document.Job) -> tuple[harness.Bed, list[int]]:
        """Hand jobs in for 15 s, one of which crashes its workers."""
        bed = harness.Bed(WORKERS)
        starts: list[int] = []

        async def scene() -> None:
            names = {job.job_id for job in crashing}
            beside = crashes.Crashes(
                bed.fleet,
                lambda task: bed.length_s(task),
                lambda task: task.job_id in names,
            )
            async with bed.scheduling():
                for number in range(JOBS):
                    bed.hand_in(harness.job(1000 + number, harness.step(6)))
                    if number in range(30, 30 + len(crashing)):
                        bed.hand_in(crashing[number - 30])
                    await anyio.sleep(JOB_GAP_S)
                await anyio.sleep(30)
            starts.extend(beside.crashed_by.values())
            self.assertEqual([], bed.fleet.ledger.violations)

        harness.play(scene)
        return bed, starts

    def test_crashing_task_is_given_up(self) -> None:
        """The job is shown as failed after at most five crashes.

        All other jobs end, also those whose tasks lost a worker beside it.
        """
        crashing = harness.job(1, harness.step(1))
        bed, starts = self._play(crashing)
        task = ports.TaskName(crashing.job_id, 0, 0, 0)
        self.assertLessEqual(bed.fleet.ledger.starts[task], STARTS_MAX)
        self.assertLessEqual(sum(starts), STARTS_MAX)
        self.assertEqual('failed', bed.state(crashing.job_id))
        for number in range(JOBS):
            job_id = f'{1000 + number:016x}'
            self.assertEqual('done', bed.state(job_id), job_id)
