"""Shares of accounts and of size classes in an overload."""

from __future__ import annotations

import unittest

from tests.walnutpoint_scheduler.overload import test_served_set
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import overload

demand = test_served_set.demand


class AccountSharesTest(unittest.TestCase):
    """Which account's jobs leave the served set first."""

    def test_account_above_its_share_leaves_first(self) -> None:
        """Guards against one account that fills the set with small jobs."""
        demands = [
            *(demand(n, 1.0, account='hot') for n in range(1, 7)),
            demand(7, 1.4, account='cold'),
            demand(8, 1.4, account='other'),
        ]
        levels = overload.ShareLevels({'hot': 1.0}, {})
        leaving = overload.Leaving(levels)
        selection = overload.select(demands, 0.9, 0.0, members=leaving)
        dropped = {each.account for each in selection.dropped}
        self.assertEqual({'hot'}, dropped)

    def test_weight_raises_the_share(self) -> None:
        """Guards against equal shares of accounts of unequal weight."""
        levels = overload.ShareLevels(
            {'large': 4.0, 'small': 1.0, 'tiny': 1.0}, {'large': 4.0}
        )
        self.assertIsNone(levels.furthest_above(('large', 'small')))
        equal = overload.ShareLevels(
            {'large': 4.0, 'small': 1.0, 'tiny': 1.0}, {}
        )
        self.assertEqual('large', equal.furthest_above(('large', 'small')))

    def test_account_of_weight_0_is_above_its_share(self) -> None:
        """Guards against a computation that fails at an account."""
        levels = overload.ShareLevels({'a': 1.0, 'none': 1.0}, {'none': 0.0})
        self.assertEqual('none', levels.furthest_above(('a', 'none')))
        alone = overload.ShareLevels({'none': 1.0}, {'none': 0.0})
        self.assertEqual(1.0, alone.excess('none'))

    def test_account_alone_is_within_its_share(self) -> None:
        """Guards against shares kept for accounts that do not use them."""
        levels = overload.ShareLevels({'only': 5.0}, {})
        self.assertIsNone(levels.furthest_above(('only',)))


class RecentUseTest(unittest.TestCase):
    """What an account has used of late."""

    def test_new_term_counts_what_runs(self) -> None:
        """Guards against use that a takeover resets or counts twice."""
        recent = accounts.RecentUse()
        recent.add({'a': 0.5}, 100.0)
        first_s = recent.pool_s()['a']
        recent.add({'a': 0.5}, 100.25)
        self.assertAlmostEqual(first_s, recent.pool_s()['a'])

    def test_account_that_returns_is_not_charged_for_the_past(self) -> None:
        """Guards against an old burst that delays an account for minutes."""
        recent = accounts.RecentUse()
        recent.add({'a': 0.5}, 100.0)
        for second in range(101, 161):
            recent.add({}, float(second))
        self.assertEqual({}, recent.pool_s())


class SizeClassesTest(unittest.TestCase):
    """Whether large jobs get their due."""

    def _served(self, large_end_usefully: bool) -> float:
        sizes = overload.SizeClasses()
        for number in range(40):
            is_large = number % 10 == 9
            work_pool_s = 9.0 if is_large else 2.0 - number / 100
            job = demand(number, work_pool_s)
            sizes.add('batch', job, work_pool_s)
            if number >= 20 and number != 39:
                is_done = large_end_usefully or not is_large
                sizes.record_end(job.job_id, is_done, 0.0)
        sizes.update(0.0)
        return sizes.served_share('39')

    def test_class_that_ends_too_rarely_is_starved(self) -> None:
        """Guards against large jobs that are never served."""
        self.assertEqual(0.0, self._served(large_end_usefully=False))

    def test_class_that_is_served_has_no_precedence(self) -> None:
        """Guards against large jobs before others without need."""
        self.assertEqual(1.0, self._served(large_end_usefully=True))

    def test_two_sizes_are_told_apart(self) -> None:
        """Guards against a guard without effect on jobs of few sizes."""
        sizes = overload.SizeClasses()
        for number in range(200):
            is_large = number % 5 == 4
            work_pool_s = 9.0 if is_large else 2.0
            job = demand(number, work_pool_s)
            sizes.add('batch', job, work_pool_s)
            if number < 198:
                sizes.record_end(job.job_id, not is_large, 0.0)
        sizes.update(0.0)
        self.assertEqual(0.0, sizes.served_share('199'))
        self.assertEqual(1.0, sizes.served_share('198'))

    def test_large_job_of_a_starved_class_goes_first(self) -> None:
        """Guards against a guard without effect on the order."""
        demands = [demand(1, 9.0), demand(2, 5.0), demand(3, 5.0)]
        selection = overload.select(demands, 0.5, 0.0)
        standings = dict(
            overload.standings(selection, lambda job: float(job != '1'))
        )
        self.assertLess(standings['1'].order, standings['2'].order)

    def test_starved_class_leaves_the_share_of_its_account(self) -> None:
        """Guards against large jobs of a hot account before all others."""
        demands = [demand(1, 9.0, account='hot'), demand(2, 9.0), demand(3, 5)]
        selection = overload.select(demands, 0.5, 0.0)
        levels = overload.ShareLevels({'hot': 9.0, 'a': 1.0, 'b': 1.0}, {})
        standings = dict(
            overload.standings(selection, lambda job: 0.5, levels)
        )
        excess = standings['1'].order / standings['2'].order
        self.assertAlmostEqual(levels.excess('hot') ** 4, excess)
