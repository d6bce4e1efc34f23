"""The guaranteed rate of jobs of an account."""

from __future__ import annotations

import unittest

from walnutpoint_scheduler import accounts

ACCOUNT = accounts.Account('account', weight=2.0)


class EntitlementTest(unittest.TestCase):
    """Jobs within the rate are owed, those beyond it are not."""

    def test_steady_rate_is_owed(self) -> None:
        entitlement = accounts.Entitlement()
        for at_ms in range(0, 10_000, 500):
            self.assertTrue(entitlement.consume(ACCOUNT, at_ms))

    def test_burst_beyond_the_rate_is_not_owed(self) -> None:
        entitlement = accounts.Entitlement()
        owed = [entitlement.consume(ACCOUNT, at_ms) for at_ms in range(0, 100)]
        self.assertEqual(2, sum(owed))
        self.assertTrue(entitlement.consume(ACCOUNT, 700))

    def test_accounts_do_not_share_a_rate(self) -> None:
        entitlement = accounts.Entitlement()
        for number in range(10):
            other = accounts.Account(f'account-{number}', weight=0.5)
            self.assertTrue(entitlement.consume(other, 0))

    def test_rate_below_one_job_per_second_adds_up(self) -> None:
        slow = accounts.Account('slow', weight=0.5)
        entitlement = accounts.Entitlement()
        owed = [entitlement.consume(slow, 1000 * s) for s in range(10)]
        self.assertEqual(5, sum(owed))
        self.assertTrue(owed[0])

    def test_query_counts_no_job(self) -> None:
        """Guards against a query that changes which jobs are owed."""
        slow = accounts.Account('slow', weight=0.2)
        entitlement = accounts.Entitlement()
        for at_ms, is_owed in ((0, True), (4900, False), (5000, True)):
            self.assertIs(not is_owed, entitlement.would_deny(slow, at_ms))
            self.assertIs(not is_owed, entitlement.would_deny(slow, at_ms))
            self.assertIs(is_owed, entitlement.consume(slow, at_ms))

    def test_clock_that_steps_back_grants_nothing(self) -> None:
        """Guards against a rate granted twice if hosts' clocks differ."""
        entitlement = accounts.Entitlement()
        for at_ms in (1000, 1001, 900, 1000, 950):
            entitlement.consume(ACCOUNT, at_ms)
        self.assertFalse(entitlement.consume(ACCOUNT, 1001))
