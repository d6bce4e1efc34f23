"""Which jobs end in time and usefully on an overloaded pool.

Compares the served set with the order of deadlines and late tiers, and with
least remaining work. The report is in docs/design/overload.md.
"""

from __future__ import annotations

import statistics
import typing
import unittest

from bench import slot_pool
from walnutpoint_scheduler import accounts

SEEDS = range(3)
LOADS = ((1.3, 5.0), (1.3, 30.0), (2.0, 5.0), (2.0, 30.0))
# What least remaining work may gain in the number of jobs in time, for the
# large jobs and accounts that it neglects.
TOLERANCE = 0.05
LARGE_AT_LEAST = 0.5
WAIT_AT_MOST = 1.1


def _mean(
    measure: typing.Callable[[list[slot_pool.Job]], float],
    runs: list[list[slot_pool.Job]],
) -> float:
    return statistics.mean(map(measure, runs))


def _runs(
    order: typing.Callable[[], slot_pool.Order],
    load: float,
    burst_s: float,
    error: float = 0.0,
) -> list[list[slot_pool.Job]]:
    return [
        slot_pool.serve(slot_pool.jobs_of(seed, load, burst_s, error), order())
        for seed in SEEDS
    ]


class BurstTest(unittest.TestCase):
    """Bursts of batch jobs beyond the capacity."""

    def test_more_jobs_end_in_time_than_by_deadline(self) -> None:
        """Guards against jobs that all reach their deadline half done."""
        for load, burst_s in LOADS:
            with self.subTest(load=load, burst_s=burst_s):
                today = _runs(lambda: slot_pool.by_deadline, load, burst_s)
                served = _runs(slot_pool.ServedSet, load, burst_s)
                self.assertGreaterEqual(
                    _mean(slot_pool.in_time, served),
                    _mean(slot_pool.in_time, today),
                )
                self.assertGreaterEqual(
                    _mean(slot_pool.value, served),
                    _mean(slot_pool.value, today),
                )

    def test_estimates_that_are_off(self) -> None:
        """Guards against a rule that needs exact run times."""
        for error in (-1.0, 1.0):
            with self.subTest(error=error):
                today = _runs(lambda: slot_pool.by_deadline, 2.0, 30.0, error)
                served = _runs(slot_pool.ServedSet, 2.0, 30.0, error)
                self.assertGreaterEqual(
                    _mean(slot_pool.value, served),
                    _mean(slot_pool.value, today),
                )

    def test_large_jobs_are_served(self) -> None:
        """Guards against large jobs that never run in a long overload."""
        least = _runs(lambda: slot_pool.by_work, 2.0, 30.0)
        served = _runs(slot_pool.ServedSet, 2.0, 30.0)
        self.assertGreater(
            _mean(slot_pool.in_time, served),
            _mean(slot_pool.in_time, least) - TOLERANCE,
        )
        shares = zip(*map(slot_pool.large_share, served), strict=True)
        largest, large, rest = map(statistics.mean, shares)
        self.assertGreaterEqual(largest, LARGE_AT_LEAST * rest)
        self.assertGreaterEqual(large, LARGE_AT_LEAST * rest)


class HotAccountTest(unittest.TestCase):
    """One of six accounts sends seven times its usual load."""

    def _waits_s(self, is_hot: bool, fair_shares: bool) -> dict[bool, float]:
        """Return the mean times of the other accounts, by whether owed."""
        times_s: dict[bool, list[float]] = {False: [], True: []}
        for seed in range(6):
            jobs = [
                job
                for job in slot_pool.jobs_of(
                    seed, 1.4, 40.0, account_count=6, hot_factor=7
                )
                if is_hot or job.account != '0' or not job.number % 7
            ]
            entitlement = accounts.Entitlement()
            for job in jobs:
                # Rates that together take the whole capacity.
                account = accounts.Account(
                    job.account, weight=slot_pool.CAPACITY_RATE / 6
                )
                job.is_owed = entitlement.consume(
                    account, int(job.accepted_s * 1000)
                )
            slot_pool.serve(jobs, slot_pool.ServedSet(fair_shares))
            for job in jobs:
                if job.account != '0':
                    took_s = job.ended_s - job.accepted_s
                    times_s[job.is_owed].append(took_s)
        return {owed: statistics.mean(each) for owed, each in times_s.items()}

    def test_other_accounts_wait_hardly_longer(self) -> None:
        """Guards against a hot account that takes the others' share."""
        usual_s = self._waits_s(is_hot=False, fair_shares=True)
        shared_s = self._waits_s(is_hot=True, fair_shares=True)
        unshared_s = self._waits_s(is_hot=True, fair_shares=False)
        self.assertLess(shared_s[True], WAIT_AT_MOST * usual_s[True])
        # Jobs of the others that exceed their rate for a moment.
        self.assertLess(
            shared_s[False] - usual_s[False],
            (unshared_s[False] - usual_s[False]) / 2,
        )
