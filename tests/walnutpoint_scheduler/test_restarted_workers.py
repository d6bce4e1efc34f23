"""Workers that start again under the name that they had."""

from __future__ import annotations

import unittest

import anyio

from tests.walnutpoint_scheduler import harness

DOWN_S = 3.0


class RestartedWorkerTest(unittest.TestCase):
    """A restarted worker numbers its ends from one again."""

    def setUp(self) -> None:
        """Prepare a cell with one worker."""
        self.bed = harness.Bed(1)

    async def _run_job(self, number: int, tasks: int = 4) -> None:
        job = harness.job(number, harness.step(tasks))
        self.bed.hand_in(job)
        await harness.until(lambda: self.bed.state(job.job_id) == 'done')

    async def _restart(self, down_s: float = DOWN_S) -> None:
        listed = self.bed.fleet.crash('worker-0')
        await anyio.sleep(down_s)
        self.bed.add_worker(0)
        self.assertEqual(listed.worker_id, 'worker-0')

    def _check(self, number: int, tasks: int = 4) -> None:
        starts = self.bed.fleet.ledger.starts
        job_id = f'{number:016x}'
        own = [n for task, n in starts.items() if task.job_id == job_id]
        self.assertEqual([1] * tasks, own)
        self.assertEqual([], self.bed.fleet.ledger.violations)

    def test_done_task_of_a_restarted_worker_is_not_started_again(
        self,
    ) -> None:
        """Guards against dropping ends whose numbers were seen before."""

        async def scene() -> None:
            async with self.bed.scheduling():
                await self._run_job(1)
                await self._restart()
                await self._run_job(2)

        harness.play(scene)
        self._check(2)

    def test_worker_that_is_back_at_once(self) -> None:
        """Guards against taking the old run for the new worker's."""

        async def scene() -> None:
            async with self.bed.scheduling():
                await self._run_job(1)
                await self._restart(0.0)
                await self._run_job(2)

        harness.play(scene)
        self._check(2)
