"""Wide steps that wait for advice, on a full pool, with lost hosts."""

from __future__ import annotations

import unittest

from tests.walnutpoint_scheduler.advice import load as loads
from tests.walnutpoint_scheduler import harness
from walnutpoint_scheduler import settings

# The share of the processor that may be idle for work that fits.
IDLE_MAX = 0.05
_OFF = settings.Policies(advice_working_set=False)


def _idle(measured: loads.Measurement) -> float:
    return measured.share(*(measured.idle.keys() - {'packing'}))


class WorkingSetLoadTest(unittest.TestCase):
    """The processor that is idle while a hundred wide steps wait."""

    def test_lost_hosts(self) -> None:
        """Guards against workers idle for lack of tickets.

        With requests by every step 7.5% are idle, as steps that come late
        occupy the hosts while tickets of the first ones expire.
        """
        load = loads.Load(from_s=2.5, until_s=9.0, lost_at_s=4.0)
        measured = loads.Measurement(load).run()
        self.assertLess(_idle(measured), IDLE_MAX)
        self.assertEqual([], measured.bed.fleet.ledger.violations)

    def test_refused_requests(self) -> None:
        """Guards against steps that lose their place by a refusal."""
        load = loads.Load(from_s=2.5, until_s=7.0, refused_share=0.3, lost=())
        self.assertLess(_idle(loads.Measurement(load).run()), IDLE_MAX)

    def test_slow_service(self) -> None:
        """Guards against requests so large that none is answered in time."""
        load = loads.Load(from_s=6.0, until_s=9.0, slowness=2.0, lost=())
        measured = loads.Measurement(load).run()
        without = loads.Measurement(load, policies=_OFF).run()
        self.assertLess(_idle(measured), _idle(without) / 2)

    def test_service_that_is_back(self) -> None:
        """Guards against steps that wait on for answers after an outage."""
        load = loads.Load(
            steps=60,
            workers=88,
            lost=tuple(range(40)),
            lost_at_s=3.0,
            lost_s=2.0,
            from_s=10.0,
            until_s=12.0,
        )
        self.assertLess(_idle(loads.Measurement(load).run()), IDLE_MAX)

    def test_hopeless_step_enters_in_time(self) -> None:
        """Guards against a step that never enters the working set."""
        patience_s = 5.0
        load = loads.Load(
            steps=60, workers=60, has_hopeless_job=True, until_s=6.0
        )
        measured = loads.Measurement(load, patience_s=patience_s).run()
        job_id = harness.job(loads.HOPELESS_JOB).job_id
        self.assertLess(measured.hosts.first_request_s[job_id], patience_s)

    def test_urgent_steps_are_not_delayed(self) -> None:
        """Guards against urgent steps that wait for requests of batch."""
        load = loads.Load(
            steps=60, workers=60, from_s=2.5, until_s=7.0, urgent_per_s=5.0
        )
        waits_s = sorted(loads.Measurement(load).run().urgent_waits_s)
        self.assertGreater(len(waits_s), 100)
        self.assertLess(
            waits_s[int(0.95 * len(waits_s))], loads.URGENT.allowance_s
        )
