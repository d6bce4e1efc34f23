"""A term publishes the work that waits once its service rate is known."""

from __future__ import annotations

import dataclasses
import typing
import unittest
import zlib

import anyio
import msgspec

from tests.walnutpoint_scheduler import harness
from walnutpoint_model import advice
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _term
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import admission
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import settings

_WORKERS = 4
_RUN_TIME_S = 1.0


def _job(
    number: int, count: int, now_ms: int, **fields: typing.Any
) -> typing.Any:
    step = harness.step(count, cpu_millicores=8000, estimate_ms=1000)
    return harness.job(number, step, accepted_ms=now_ms, **fields)


def _backlog(term: _term.Term) -> _messages.Backlog | None:
    encoded, _ = term.backlog()
    if not encoded:
        return None
    return msgspec.msgpack.decode(encoded, type=_messages.Backlog)


def _bed() -> harness.Testbed:
    bed = harness.Testbed(_WORKERS)
    bed.run_time_s = lambda _: _RUN_TIME_S
    return bed


class PublisherTest(unittest.TestCase):
    """Eight tasks of a second run at a time; far more wait."""

    def test_backlog_and_rate_are_those_of_the_pool(self) -> None:
        """Guards against refusals by a wrong rate or amount of work."""

        async def scenario() -> None:
            bed = _bed()
            batch = harness.BATCH
            async with bed.scheduling() as term:
                await anyio.sleep(0.5)
                for number in range(1, 13):
                    count = 8 if number % 2 else 32
                    bed.submit(_job(number, count, bed.now_ms(), queue=batch))
                await anyio.sleep(4.0)
                self.assertIsNone(_backlog(term))
                await anyio.sleep(4.0)
                encoded, age_s = term.backlog()
                self.assertLess(len(encoded), 1000)
                self.assertLessEqual(age_s, 0.3)
                (pool,) = _backlog(term).pools
                self.assertEqual(('pool', 2), (pool.pool, pool.priority))
                # A sixth wave of tasks may end within the window of 5 s.
                self.assertGreaterEqual(pool.rate, 1.0 - 1e-9)
                self.assertLessEqual(pool.rate, 1.2 + 1e-9)
                # 240 tasks, of which eight a second have started.
                waiting_s = sum(row.work_pool_ms for row in pool.work) / 1000
                self.assertAlmostEqual(30.0 - 8.5, waiting_s, delta=1.5)

        harness.run_virtual(scenario)

    def test_burst_of_urgent_work_refuses_nobody(self) -> None:
        """Guards against a rate that more urgent work has lowered."""

        async def scenario() -> None:
            bed = _bed()
            bed.run_time_s = lambda task: (
                9.0 if task.job_id == f'{0x100:016x}' else _RUN_TIME_S
            )
            gate = admission.AdmissionGate(bed.timer, lambda: True)
            async with bed.scheduling() as term:
                bed.submit(_job(0x100, 7, bed.now_ms()))
                await anyio.sleep(0.5)
                for number in range(1, 17):
                    job = _job(number, 4, bed.now_ms(), queue=harness.BATCH)
                    bed.submit(job)
                await anyio.sleep(8.0)
                gate.note(1, *term.backlog(), bed.timer.now_s())
                (pool,) = _backlog(term).pools
                self.assertGreaterEqual(pool.rate, 1.0 - 1e-9)
                large = _job(0x200, 40, bed.now_ms(), queue=harness.BATCH)
                self.assertIsNone(gate.refusal(large))

        harness.run_virtual(scenario)

    def test_lasting_work_leaves_the_rest_of_the_pool(self) -> None:
        """Guards against a rate that counts capacity that is never free."""

        async def scenario() -> None:
            bed = _bed()
            bed.run_time_s = lambda task: (
                99.0 if task.job_id == f'{0x100:016x}' else _RUN_TIME_S
            )
            lasting = harness.step(4, cpu_millicores=8000, lasting=True)
            async with bed.scheduling() as term:
                bed.submit(harness.job(0x100, lasting))
                await anyio.sleep(0.5)
                bed.submit(_job(1, 200, bed.now_ms(), queue=harness.BATCH))
                await anyio.sleep(8.0)
                (pool,) = _backlog(term).pools
                self.assertGreaterEqual(pool.rate, 0.5 - 1e-9)
                self.assertLessEqual(pool.rate, 0.6 + 1e-9)

        harness.run_virtual(scenario)

    def test_fitting_load_publishes_nothing(self) -> None:
        """Guards against a rate that demand limits, not the capacity."""

        async def scenario() -> None:
            bed = _bed()
            async with bed.scheduling() as term:
                for number in range(1, 40):
                    bed.submit(_job(number, 2, bed.now_ms()))
                    await anyio.sleep(0.3)
                    self.assertIsNone(_backlog(term))

        harness.run_virtual(scenario)


class AccountsBeyondTest(unittest.TestCase):
    """An account whose rate allows a job every 20 s hands in two at once."""

    def _backlogs(self, **changes: typing.Any) -> list[_messages.Backlog]:
        """Return the figures at 8 s and at 24 s."""
        account = accounts.Account('slow', weight=0.05)
        config = dataclasses.replace(
            harness.CELL, accounts=accounts.Accounts((account,))
        )
        backlogs = []

        async def scenario() -> None:
            bed = _bed()
            async with bed.scheduling(config, **changes) as term:
                for number in (1, 2):
                    fields = {'queue': harness.BATCH, 'account': 'slow'}
                    bed.submit(_job(number, 200, bed.now_ms(), **fields))
                for wait_s in (8.0, 16.0):
                    await anyio.sleep(wait_s)
                    backlogs.append(_backlog(term))

        harness.run_virtual(scenario)
        return backlogs

    def test_account_is_beyond_only_until_its_next_job_is_owed(self) -> None:
        """Guards against refusing owed jobs as beyond the account's rate."""
        early, late = self._backlogs()
        self.assertEqual((zlib.crc32(b'slow'),), early.accounts_beyond)
        (pool,) = early.pools
        self.assertEqual({True, False}, {row.is_owed for row in pool.work})
        self.assertEqual((), late.accounts_beyond)
        self.assertTrue(late.pools)

    def test_nothing_is_beyond_a_rate_without_that_order(self) -> None:
        """Guards against a forecast by an order that is not in force."""
        policies = settings.Policies(owed_first=False)
        early, _ = self._backlogs(policies=policies)
        self.assertEqual((), early.accounts_beyond)
        (pool,) = early.pools
        self.assertEqual({True}, {row.is_owed for row in pool.work})


class _OneRequest(advice.AdviceService):
    """Handles one request at a time, so that useful steps compete."""

    def max_concurrent(self, _expected_s: float) -> int | None:
        """Return the limit on requests in flight."""
        return 1


class UselessStepTest(unittest.TestCase):
    """Jobs that are useless, beside a stream of useful ones."""

    def _run(self, wait_s: float, **changes: typing.Any) -> tuple[int, str]:
        """Return the advice requests and state of a useless job."""
        results: list[tuple[int, str]] = []
        useless = _job(0x999, 1, 1, queue=harness.ADVISED)

        async def stream(bed: harness.Testbed) -> None:
            for number in range(1, 200):
                bed.submit(
                    _job(number, 8, bed.now_ms(), queue=harness.ADVISED)
                )
                await anyio.sleep(0.5)

        async def scenario() -> None:
            bed = _bed()
            bed.advice = _OneRequest(
                typing.cast(cell.AdviceTerms, harness.ADVISED.advice), 0.6
            )
            async with bed.scheduling(**changes):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(stream, bed)
                    await anyio.sleep(3.0)
                    bed.submit(useless)
                    await anyio.sleep(wait_s)
                    calls = bed.advice.calls[f'{useless.job_id}.0.0']
                    results.append((calls, bed.state(useless.job_id)))
                    tasks.cancel_scope.cancel()

        harness.run_virtual(scenario)
        return results[0]

    def test_useless_step_requests_no_advice_from_useful_ones(self) -> None:
        """Guards against requests that delay useful work."""
        calls, _ = self._run(10.0)
        self.assertEqual(0, calls)

    def test_overdue_useless_step_is_not_starved(self) -> None:
        """Guards against a job that never ends, as nothing grants it."""
        calls, state = self._run(40.0)
        self.assertGreater(calls, 0)
        self.assertEqual('done', state)
