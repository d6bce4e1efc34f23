"""The order of the metrics."""

from __future__ import annotations

import unittest

from walnutpoint_core import metrics


class RenderTest(unittest.TestCase):
    """A reader of the beginning alone knows the state of the process."""

    def test_gauges_come_first(self) -> None:
        """Guards against losing the state where a long text is cut off."""
        metrics.Counter('order_test', 'A counter.').add('done')
        body, _ = metrics.render({'zz_order_test': 1.0})
        text = body.decode()
        gauge = text.index('walnutpoint_zz_order_test 1')
        counter = text.index('walnutpoint_order_test_total{')
        self.assertLess(gauge, counter)
