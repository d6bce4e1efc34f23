"""The rate of a run, measured from its reports."""

from __future__ import annotations

import unittest

from walnutpoint_scheduler import _run_rate


class RunRateTest(unittest.TestCase):
    """Reports of progress, by the worker's clock."""

    def test_progress_that_falls(self) -> None:
        """Guards against a rate of zero, by which each pass would divide."""
        rate = _run_rate.RunRate()
        rate.begin(0)
        rate.update(1000, 20.0, 1.0)
        for clock_ms, percent in ((4000, 19.0), (9000, 15.0), (15_000, 15.0)):
            rate.update(clock_ms, percent, clock_ms / 1000)
            with self.subTest(percent=percent):
                self.assertGreater(rate.whole_s or 0.0, 0.0)
