"""The rate of a run, measured from its reports."""

from __future__ import annotations

import unittest

from walnutpoint_scheduler import _run_rate


class RunRateTest(unittest.TestCase):
    """Reports of progress, by the worker's clock."""

    def test_progress_that_falls(self) -> None:
        """Guards against a rate of zero, by which each pass would divide."""
        rate = _run_rate.RunRate()
        rate.begin(0, 0.0)
        rate.update(1000, 20.0, 1.0)
        for clock_ms, percent in ((4000, 19.0), (9000, 15.0), (15_000, 15.0)):
            rate.update(clock_ms, percent, clock_ms / 1000)
            with self.subTest(percent=percent):
                self.assertGreater(rate.whole_s or 0.0, 0.0)

    def test_steps_of_the_clock(self) -> None:
        """Guards against a slow worker found by a clock that was set."""
        for step_ms in (60_000, -60_000):
            rate = _run_rate.RunRate()
            rate.begin(100_000, 0.0)
            rate.update(100_400, 20.0, 0.4)
            before = rate.whole_s
            with self.subTest(step_ms=step_ms):
                self.assertAlmostEqual(2.0, before or 0.0)
                clock_ms = 100_800 + step_ms
                self.assertTrue(rate.has_clock_stepped(clock_ms, 0.8))
                rate.update(clock_ms, 40.0, 0.8)
                self.assertEqual(before, rate.whole_s)
                self.assertIsNone(rate.predicted_s)
                rate.update(clock_ms + 400, 60.0, 1.2)
                self.assertAlmostEqual(2.0, rate.whole_s or 0.0)

    def test_clock_that_is_slow(self) -> None:
        """Guards against a start dropped for a clock that is 2% slow."""
        rate = _run_rate.RunRate()
        rate.begin(0, 0.0)
        for number in range(1, 400):
            rate.update(int(number * 490), number / 100.0, number * 0.5)
        self.assertEqual(0, rate.started_clock_ms)
