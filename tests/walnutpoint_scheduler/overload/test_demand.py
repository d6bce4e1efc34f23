"""The time that the caller of a job waits for."""

from __future__ import annotations

import unittest

from tests.walnutpoint_scheduler import harness
from walnutpoint_core import resources
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import document
from walnutpoint_scheduler import estimates
from walnutpoint_scheduler import overload

CAPACITY = resources.Resources(8000, 8000)
QUEUE = harness.BATCH
ERROR = 1.9


class _LearnedRunTimes(estimates.DeclaredRunTimes):
    """Every declared time is too short."""

    def task_s(self, queue: str, step_key: str, step: document.Step) -> float:
        return ERROR * step.expected_s


class ObjectiveTest(unittest.TestCase):
    """The objective of a job of which the first step may be done."""

    def setUp(self) -> None:
        steps = (
            harness.step(2, estimate_ms=1700),
            harness.step(2, estimate_ms=900),
            harness.step(1, estimate_ms=600, after=(0, 1)),
        )
        job = harness.job(1, *steps, queue=QUEUE, accepted_ms=1000)
        self.job = _state.JobProgress(job, QUEUE, 0.0)
        self.allowance_ms = QUEUE.allowance_s * 1000.0

    def _demand(self, run_times: estimates.RunTimes) -> overload.JobDemand:
        return overload.demand_of(self.job, QUEUE, CAPACITY, run_times)

    def test_declared_times_give_the_declared_objective(self) -> None:
        """Guards against another result where nothing was learned."""
        objective_ms = self.job.chain_ms * QUEUE.stretch + self.allowance_ms
        demand = self._demand(estimates.DeclaredRunTimes())
        self.assertEqual(1000.0 + objective_ms, demand.deadline_ms)
        self.assertEqual(1000.0 + 3 * objective_ms, demand.useful_until_ms)
        self.assertEqual(self.job.chain_ms, demand.chain_s * 1000.0)

    def test_learned_times_count_for_all_steps(self) -> None:
        """Guards against an under-declared queue that is all late."""
        chain_ms = ERROR * self.job.chain_ms
        objective_ms = chain_ms * QUEUE.stretch + self.allowance_ms
        for done_count, done_ms in ((0, 0.0), (2, ERROR * 1700.0)):
            self.job.occurrence(0)[0].done_count = done_count
            demand = self._demand(_LearnedRunTimes())
            self.assertAlmostEqual(1000.0 + objective_ms, demand.deadline_ms)
            left_ms = max(chain_ms - done_ms, ERROR * 1500.0)
            self.assertAlmostEqual(left_ms, demand.chain_s * 1000.0)
