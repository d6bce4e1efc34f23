"""Crashing tasks among healthy ones, and workers lost for other causes."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from walnutpoint_core import logs
from walnutpoint_model import crash_history

_SETTINGS = hypothesis.settings(
    max_examples=25, deadline=None, derandomize=True, database=None
)
# One of 18 workers is lost every 2.5 s or less often: at more, two
# coincidental losses in a row are as likely as a crashing task.
_LOSSES_PER_S = (0.0, 0.1, 0.2)
# Mean number of workers that a crashing task may crash: one until it is
# suspected, and two on trial.
_CRASHES_GOAL = 3.0


class HistoryTest(unittest.TestCase):
    """Crashing tasks are given up, and no healthy job is."""

    def setUp(self) -> None:
        logs.configure('critical')

    @_SETTINGS
    @hypothesis.given(
        seed=strategies.integers(1, 100_000),
        crashing=strategies.integers(0, 5),
        losses_per_s=strategies.sampled_from(_LOSSES_PER_S),
        workers=strategies.integers(6, 24),
    )
    def test_only_crashing_tasks_are_given_up(
        self, seed: int, crashing: int, losses_per_s: float, workers: int
    ) -> None:
        """Within five crashes, for any cell size and rate of losses."""
        history = crash_history.simulate(
            seed,
            crash_history.Parameters(
                workers=workers,
                jobs=40,
                jobs_per_s=workers / 4,
                crashing_jobs=crashing,
                losses_per_s=losses_per_s,
            ),
        )
        self.assertEqual([], history.violations)

    def test_identified_culprit_clears_other_tasks(self) -> None:
        """A healthy job was given up after sharing a crash with a culprit.

        After the crashing task was identified, the shared loss still counted
        against the other one, whose next worker was lost for another cause.
        """
        self.assertEqual([], crash_history.simulate(3730).violations)

    def test_mean_crashes_without_other_losses(self) -> None:
        """Without other losses the mean stays within the goal."""
        crashes = [
            count
            for seed in range(1, 9)
            for count in crash_history.simulate(
                seed, crash_history.Parameters(losses_per_s=0.0)
            ).crashes
        ]
        self.assertLessEqual(sum(crashes) / len(crashes), _CRASHES_GOAL)
