"""The share of a pool that a priority can get."""

from __future__ import annotations

import unittest

from walnutpoint_scheduler.overload import _pool_use

PERIOD_S = 0.25


class PoolUseTest(unittest.TestCase):
    """Observed use of a pool."""

    def test_short_burst_of_urgent_work_takes_little(self) -> None:
        """Guards against a set that shrinks with each urgent job."""
        use = _pool_use.PoolUse()
        use.add(0.9, {0: 0.1, None: 0.1, 2: 0.7}, True, 0.0)
        usual = use.rate(2)
        use.add(0.9, {0: 0.7, None: 0.1, 2: 0.1}, True, PERIOD_S)
        self.assertAlmostEqual(usual, use.rate(2), delta=0.05)

    def test_lasting_urgent_work_takes_its_share(self) -> None:
        """Guards against a set for capacity that other work holds."""
        use = _pool_use.PoolUse()
        for number in range(200):
            shares = {0: 0.3, None: 0.2, 2: 0.4}
            use.add(0.9, shares, True, number * PERIOD_S)
        self.assertAlmostEqual(0.4, use.rate(2), delta=0.01)
        self.assertAlmostEqual(0.7, use.rate(0), delta=0.01)

    def test_idle_pool_does_not_lower_the_utilization(self) -> None:
        """Guards against a small set after a quiet hour."""
        use = _pool_use.PoolUse()
        for number in range(200):
            use.add(0.1, {2: 0.1}, False, number * PERIOD_S)
        self.assertGreaterEqual(use.rate(2), 0.85)
