"""Which jobs are served when a pool can't serve all in time."""

from __future__ import annotations

import typing
import unittest

from walnutpoint_scheduler import overload

OBJECTIVE_MS = 10_000.0
CHAIN_S = 2.0


def demand(
    number: int, work_pool_s: float, **fields: typing.Any
) -> overload.JobDemand:
    """Return the demand of a job accepted number ms after the first."""
    accepted_ms = float(fields.pop('accepted_ms', number))
    values = {
        'job_id': str(number),
        'account': 'a',
        'priority': 2,
        'is_owed': True,
        'is_begun': False,
        'accepted_ms': accepted_ms,
        'deadline_ms': accepted_ms + OBJECTIVE_MS,
        'useful_until_ms': accepted_ms + 3 * OBJECTIVE_MS,
        'chain_s': CHAIN_S,
        'work_pool_s': work_pool_s,
    }
    return overload.JobDemand(**(values | fields))


def _numbers(demands: tuple[overload.JobDemand, ...]) -> list[int]:
    return [int(each.job_id) for each in demands]


class ServedSetTest(unittest.TestCase):
    """The choice of the jobs that end in time."""

    def test_all_jobs_that_fit_are_served_by_deadline(self) -> None:
        """Guards against an order other than today's without overload."""
        demands = [demand(number, 1.0) for number in (3, 1, 2)]
        selection = overload.select(demands, 0.9, 0.0)
        self.assertEqual([1, 2, 3], _numbers(selection.served))
        self.assertFalse(selection.is_overloaded)

    def test_largest_job_leaves(self) -> None:
        """Guards against many small jobs late for the sake of a large one."""
        demands = [demand(1, 5.0), *(demand(n, 1.0) for n in range(2, 6))]
        selection = overload.select(demands, 0.9, 0.0)
        self.assertEqual([2, 3, 4, 5], _numbers(selection.served))
        self.assertEqual([1], _numbers(selection.dropped))
        self.assertTrue(selection.is_overloaded)

    def test_begun_job_stays_before_smaller_ones(self) -> None:
        """Guards against work that is wasted in the middle of a job."""
        demands = [
            demand(1, 4.0, is_begun=True),
            *(demand(n, 1.0) for n in range(2, 6)),
        ]
        selection = overload.select(demands, 0.9, 0.0)
        self.assertIn(1, _numbers(selection.served))
        self.assertEqual(3, len(selection.dropped))

    def test_running_work_delays_nothing(self) -> None:
        """Guards against an overload that is seen in a pool without queue."""
        demands = [
            demand(n, 3.0, is_begun=True, running_pool_s=3.0)
            for n in range(1, 6)
        ]
        selection = overload.select(demands, 0.9, 0.0)
        self.assertEqual(5, len(selection.served))

    def test_job_that_fails_alone_evicts_no_other(self) -> None:
        """Guards against one begun job that empties the set."""
        jobs = [demand(n, 0.29) for n in range(35)]
        before = overload.select(jobs, 0.9, 2_000.0)
        self.assertEqual(12, len(before.served))
        for running_pool_s in (0.1, 0.15):
            # It has the latest deadline, and 0.2 s more than its chain.
            tight = demand(
                99,
                0.15,
                is_begun=True,
                running_pool_s=running_pool_s,
                chain_s=7.9,
            )
            after = overload.select([*jobs, tight], 0.9, 2_000.0)
            kept = [n for n in _numbers(after.served) if n != 99]
            self.assertEqual(_numbers(before.served), kept)
            is_served = 99 in _numbers(after.served)
            self.assertEqual(running_pool_s == 0.15, is_served)

    def test_late_job_is_no_overload(self) -> None:
        """Guards against another order after a lost worker."""
        demands = [demand(1, 0.5), demand(2, 0.5, accepted_ms=-9_000)]
        selection = overload.select(demands, 0.9, 0.0)
        self.assertEqual([2], _numbers(selection.late))
        self.assertFalse(selection.is_overloaded)

    def test_job_late_by_its_own_chain_is_no_overload(self) -> None:
        """Guards against a chain beyond the objective that ends its order."""
        late = demand(3, 0.0, chain_s=1.1 * OBJECTIVE_MS / 1000)
        demands = [*(demand(n, 0.009) for n in range(3)), late]
        selection = overload.select(demands, 0.9, 0.0)
        self.assertEqual([3], _numbers(selection.late))
        self.assertAlmostEqual(0.03, selection.drain_s)
        self.assertFalse(selection.is_overloaded)

    def test_useless_jobs_are_set_apart(self) -> None:
        """Guards against work on results that nobody waits for."""
        demands = [demand(1, 9.0), demand(2, 0.5, accepted_ms=-30_000)]
        selection = overload.select(demands, 0.9, 0.0)
        self.assertEqual([2], _numbers(selection.useless))

    def test_work_ahead_counts(self) -> None:
        """Guards against jobs beyond their rate that count on full pools."""
        demands = [demand(1, 1.0)]
        selection = overload.select(demands, 0.9, 0.0, ahead_pool_s=7.0)
        self.assertEqual([1], _numbers(selection.dropped))
