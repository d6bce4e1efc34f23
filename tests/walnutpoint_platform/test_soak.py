"""A short seeded soak of real processes."""

from __future__ import annotations

import unittest

from walnutpoint_standins import soak

# Seeds and draws that ever failed, how long they play, and the cause.
REGRESSIONS = (
    # Jobs refused, and run: a server error of the store after a commit was
    # taken for a refusal.
    (2, 1, 6.0),
    # A process that was told to stop just after its start ended with -15: its
    # handlers were set after imports of 0.1 s.
    (231, 1, 8.0),
    (248, 1, 8.0),
)


class SoakTest(unittest.TestCase):
    """Promises hold through a series of faults."""

    def test_seeds_that_failed_once(self) -> None:
        for seed, draw, duration_s in REGRESSIONS:
            with self.subTest(seed=seed, draw=draw):
                result = soak.play(seed, duration_s, draw)
                self.assertEqual([], result.faults)

    def test_short_run(self) -> None:
        for draw in (3, 4, 5, 6, soak.NEWEST_DRAW):
            with self.subTest(draw=draw):
                self.assertEqual([], soak.play(101, 8.0, draw).faults)
