"""Crashing tasks among sound ones, and workers that are lost besides."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from walnutpoint_core import logs
from walnutpoint_model import crash_history

_SETTINGS = hypothesis.settings(
    max_examples=25, deadline=None, derandomize=True, database=None
)
# Of 18 workers one is lost every 2.5 s or less: more, and two coincidences in
# a row are as likely as a crashing task.
_LOSSES_PER_S = (0.0, 0.1, 0.2)
# What callers' jobs may cost the cell, in the mean of crashing tasks.
_CRASHES_GOAL = 2.5


class HistoryTest(unittest.TestCase):
    """Each crashing task is given up, and nobody else's job is."""

    def setUp(self) -> None:
        logs.configure('critical')

    @_SETTINGS
    @hypothesis.given(
        seed=strategies.integers(1, 100_000),
        crashing=strategies.integers(0, 5),
        losses_per_s=strategies.sampled_from(_LOSSES_PER_S),
        workers=strategies.integers(6, 24),
    )
    def test_culprits_and_innocents_are_told_apart(
        self, seed: int, crashing: int, losses_per_s: float, workers: int
    ) -> None:
        """Within five crashes, whatever the size and the losses."""
        history = crash_history.play(
            seed,
            crash_history.Wanted(
                workers=workers,
                jobs=40,
                jobs_per_s=workers / 4,
                crashing=crashing,
                losses_per_s=losses_per_s,
            ),
        )
        self.assertEqual([], history.faults)

    def test_victim_of_a_culprit_that_is_found_is_cleared(self) -> None:
        """A sound job was given up in one of some 2,600 histories.

        One of its tasks started on a worker together with a crashing one,
        and both were as likely to have ended it. The culprit was found; its
        victim's next worker was lost for another cause, and the first loss
        still counted against it.
        """
        self.assertEqual([], crash_history.play(3730).faults)

    def test_quiet_cell_finds_them_soon(self) -> None:
        """Without other losses the goal is reached with room to spare."""
        crashes = [
            count
            for seed in range(1, 9)
            for count in crash_history.play(
                seed, crash_history.Wanted(losses_per_s=0.0)
            ).crashes
        ]
        self.assertLessEqual(sum(crashes) / len(crashes), _CRASHES_GOAL)
