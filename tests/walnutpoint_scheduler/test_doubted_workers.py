"""Workers that left a start unanswered, and run tasks that last."""

from __future__ import annotations

import unittest

import anyio

from tests.walnutpoint_scheduler import harness

WORKERS = 4


class DoubtedWorkerTest(unittest.TestCase):
    """A worker that is sound again gets as much as any other."""

    def setUp(self) -> None:
        """Prepare a cell whose workers each run a task that lasts."""
        self.bed = harness.Bed(WORKERS)
        self.bed.length_s = lambda task: (
            1000.0 if int(task.job_id, 16) == 1 else harness.LENGTH_S
        )

    async def _lose_answers(self) -> None:
        """Lose the answers to some starts on each worker."""
        fleet = self.bed.fleet
        for worker in fleet.workers.values():
            worker.loses_answers_share = 1.0
        self.bed.hand_in(harness.job(2, harness.step(2 * WORKERS)))
        await anyio.sleep(0.5)
        for worker in fleet.workers.values():
            worker.loses_answers_share = 0.0

    def _play(self, job: harness.document.Job) -> None:
        async def scene() -> None:
            async with self.bed.scheduling():
                lasting = harness.step(WORKERS, lasting=True, per_worker_max=1)
                self.bed.hand_in(harness.job(1, lasting))
                await harness.until(
                    lambda: len(self.bed.fleet.ledger.running) == WORKERS
                )
                await self._lose_answers()
                await anyio.sleep(10)
                self.bed.hand_in(job)
                await harness.until(
                    lambda: self.bed.state(job.job_id) == 'done', 3.0
                )

        harness.play(scene)
        self.assertEqual([], self.bed.fleet.ledger.violations)

    def test_gang_starts_beside_tasks_that_last(self) -> None:
        """Guards against closing a worker for as long as a task lasts."""
        self._play(harness.job(3, harness.step(12, gang=True)))

    def test_urgent_step_starts_beside_tasks_that_last(self) -> None:
        """Guards against one task at a time on a worker that is sound."""
        self._play(harness.job(3, harness.step(12)))
