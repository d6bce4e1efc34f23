"""Filling tasks beside serving ones."""

from __future__ import annotations

import unittest

from walnutpoint_scheduler import _pacing


class PaceTest(unittest.TestCase):
    """Pattern: serving and filling tasks share a worker.

    Harm counts when a tail stays over its target for 4 s, and the tail is
    told for the last half second: three steps down must be enough.
    """

    def test_three_readings_stop_what_harms(self) -> None:
        percent = 100
        for _ in range(3):
            percent = _pacing.next_percent(percent, 1.2)
        self.assertEqual(0, percent)

    def test_recovery_is_gradual(self) -> None:
        steps = []
        percent = 0
        while percent < 100:
            percent = _pacing.next_percent(percent, 0.2)
            steps.append(percent)
        self.assertGreater(len(steps), 5)

    def test_near_the_target_nothing_changes(self) -> None:
        self.assertEqual(40, _pacing.next_percent(40, 0.7))
