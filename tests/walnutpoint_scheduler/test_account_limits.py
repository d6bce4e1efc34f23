"""Limits of client accounts, checked against the runs on the workers.

The batch of large accounts would fill the cell, with small accounts beside
them: limits bind long before the workers are full.
"""

from __future__ import annotations

import collections.abc
import contextlib
import typing
import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from walnutpoint_core import resources
from walnutpoint_model import account_audit
from walnutpoint_scheduler import _term
from walnutpoint_scheduler import _wait_cause
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document

LIMIT = resources.Resources(8000)
LIMITED = accounts.Account('limited', limit=LIMIT)
OTHER = accounts.Account('other')
WORKERS = 4
LONG_RUN_S = 3.0


def _cell(version: int, *configured: accounts.Account) -> cell.Cell:
    return cell.Cell(
        version,
        harness.CELL.queues,
        harness.CELL.pools,
        accounts=accounts.Accounts(configured),
    )


class _AuditedCell:
    """A cell of 64 cores, and an audit of the runs in it."""

    def __init__(self) -> None:
        self.bed = harness.Testbed(WORKERS)
        self.jobs: dict[str, document.Job] = {}
        self.cells = [_cell(1, LIMITED, OTHER)]
        self.audit = account_audit.AccountAudit(
            self.bed.fleet.ledger,
            self.jobs,
            lambda: (
                configuration.accounts
                for configuration in self.cells
                if configuration.accounts is not None
            ),
        )

    @contextlib.asynccontextmanager
    async def scheduling(
        self, **changes: typing.Any
    ) -> collections.abc.AsyncIterator[_term.Term]:
        """Run a term under the newest configuration."""
        async with self.bed.scheduling(self.cells[-1], **changes) as term:
            yield term

    def submit(
        self, number: int, *steps: document.Step, **fields: typing.Any
    ) -> str:
        """Submit a job of an account, and return its identifier."""
        fields = {'account': LIMITED.name} | fields
        job = harness.job(number, *steps, **fields)
        self.jobs[job.job_id] = job
        self.bed.submit(job)
        return job.job_id

    def running_cores(self, name: str) -> int:
        """Return how many cores an account's runs use."""
        return self.audit.usage(name).cpu_millicores // 1000

    async def until_done(self, *job_ids: str) -> float:
        """Wait until some jobs are done."""
        return await harness.until(
            lambda: all(self.bed.state(job_id) == 'done' for job_id in job_ids)
        )


class LimitTest(unittest.TestCase):
    """What an account may run at the same time."""

    def test_wide_step_runs_in_waves_within_the_limit(self) -> None:
        """Guards against a wide step that exceeds its account's limit."""

        async def scenario() -> None:
            audited = _AuditedCell()
            job_id = audited.submit(1, harness.step(40))
            async with audited.scheduling():
                took_s = await audited.until_done(job_id)
            self.assertEqual([], audited.audit.violations)
            self.assertEqual(
                LIMIT,
                audited.audit.peak_usage['limited'].elementwise_min(
                    resources.Resources(10**6)
                ),
            )
            # Five waves of tasks.
            self.assertLess(took_s, 5 * (harness.RUN_TIME_S + 0.15))

        harness.run_virtual(scenario)

    def test_other_account_starts_beside_one_at_its_limit(self) -> None:
        """Guards against work that waits for another account's limit."""

        async def scenario() -> None:
            audited = _AuditedCell()
            audited.bed.run_time_s = lambda _task: LONG_RUN_S
            for number in range(1, 40):
                audited.submit(number, harness.step(8))
            async with audited.scheduling() as term:
                await harness.until(
                    lambda: audited.running_cores('limited') == 8
                )
                job_id = audited.submit(
                    99,
                    harness.step(8),
                    queue=harness.BATCH,
                    account=OTHER.name,
                    accepted_ms=audited.bed.now_ms(),
                )
                waited_s = await harness.until(
                    lambda: audited.running_cores('other') == 8
                )
                self.assertLess(waited_s, 0.2)
                self.assertEqual(0.0, term.figures()['runs_displaced'])
                await audited.until_done(job_id)
            self.assertEqual([], audited.audit.violations)

        harness.run_virtual(scenario)

    def test_step_at_the_limit_requests_no_advice(self) -> None:
        """Guards against tickets for tasks that may not start."""

        async def scenario() -> None:
            audited = _AuditedCell()
            audited.bed.run_time_s = lambda _task: LONG_RUN_S
            first = audited.submit(1, harness.step(8))
            async with audited.scheduling() as term:
                await harness.until(
                    lambda: audited.running_cores('limited') == 8
                )
                second = audited.submit(
                    2, harness.step(8), queue=harness.ADVISED
                )
                await anyio.sleep(LONG_RUN_S / 2)
                self.assertEqual(0.0, term.figures()['advice_calls'])
                await audited.until_done(first, second)

        harness.run_virtual(scenario)

    def test_gang_waits_until_it_fits_the_limit(self) -> None:
        """Guards against a gang started in part by its account's limit."""

        async def scenario() -> None:
            audited = _AuditedCell()
            audited.bed.run_time_s = lambda _task: LONG_RUN_S
            first = audited.submit(1, harness.step(4))
            async with audited.scheduling():
                await harness.until(
                    lambda: audited.running_cores('limited') == 4
                )
                gang = audited.submit(2, harness.step(6, gang=True))
                await anyio.sleep(LONG_RUN_S / 2)
                self.assertEqual(4, audited.running_cores('limited'))
                await audited.until_done(first, gang)
            self.assertEqual([], audited.audit.violations)

        harness.run_virtual(scenario)

    def test_gang_is_not_starved(self) -> None:
        """Guards against a gang starved by its account's small jobs."""

        async def scenario() -> None:
            audited = _AuditedCell()
            async with audited.scheduling(patience_s=2.0):
                gang = ''
                for number in range(1, 400):
                    audited.submit(
                        number,
                        harness.step(1),
                        accepted_ms=audited.bed.now_ms(),
                    )
                    if number == 40:
                        gang = audited.submit(
                            1000,
                            harness.step(6, gang=True),
                            queue=harness.BATCH,
                            accepted_ms=audited.bed.now_ms(),
                        )
                    await anyio.sleep(0.06)
                    if gang and audited.bed.state(gang) == 'done':
                        return
                self.fail('the gang never started')

        harness.run_virtual(scenario)

    def test_lowered_limit_neither_stops_nor_starts_runs(self) -> None:
        """Guards against runs stopped or started when a limit is lowered."""

        async def scenario() -> None:
            audited = _AuditedCell()
            audited.bed.run_time_s = lambda _task: LONG_RUN_S
            first = audited.submit(1, harness.step(8))
            async with audited.scheduling() as term:
                await harness.until(
                    lambda: audited.running_cores('limited') == 8
                )
                lowered = accounts.Account(
                    'limited', limit=resources.Resources(2000)
                )
                audited.cells[:] = [_cell(2, lowered, OTHER)]
                term.apply_cell(audited.cells[-1])
                second = audited.submit(2, harness.step(4))
                await anyio.sleep(LONG_RUN_S / 2)
                self.assertEqual(8, audited.running_cores('limited'))
                await harness.until(lambda: audited.bed.state(first) == 'done')
                await anyio.sleep(0.5)
                self.assertEqual(2, audited.running_cores('limited'))
                audited.cells[:] = [_cell(3, LIMITED, OTHER)]
                term.apply_cell(audited.cells[-1])
                waited_s = await harness.until(
                    lambda: audited.running_cores('limited') == 4
                )
                self.assertLess(waited_s, 0.1)
                await audited.until_done(second)
            self.assertEqual([], audited.audit.violations)

        harness.run_virtual(scenario)

    def test_task_above_the_limit_blocks_no_others(self) -> None:
        """Guards against small jobs blocked by one that can never start."""

        async def scenario() -> None:
            audited = _AuditedCell()
            lowered = accounts.Account(
                'limited', weight=10.0, limit=resources.Resources(2000)
            )
            audited.cells[:] = [_cell(1, lowered)]
            large = audited.submit(1, harness.step(1, cpu_millicores=4000))
            small = audited.submit(2, harness.step(2))
            async with audited.scheduling():
                await harness.until(
                    lambda: audited.bed.state(small) == 'done', 5.0
                )
            self.assertEqual('queued', audited.bed.state(large))
            self.assertEqual([], audited.audit.violations)

        harness.run_virtual(scenario)

    def test_job_of_an_account_that_is_not_configured_yet(self) -> None:
        """Guards against an account without a limit until its terms come.

        The process that accepts the job has a newer configuration than the
        scheduler, which learns of the account while the job runs.
        """

        async def scenario() -> None:
            audited = _AuditedCell()
            audited.cells = [_cell(1, OTHER)]
            terms = accounts.Terms.of(LIMITED)
            job_id = audited.submit(1, harness.step(24), accepted_for=terms)
            async with audited.scheduling() as term:
                await harness.until(
                    lambda: audited.running_cores(LIMITED.name) > 0
                )
                self.assertEqual(8, audited.running_cores(LIMITED.name))
                audited.cells.append(_cell(2, OTHER, LIMITED))
                term.apply_cell(audited.cells[-1])
                await audited.until_done(job_id)
            peak = audited.audit.peak_usage[LIMITED.name]
            self.assertEqual(LIMIT.cpu_millicores, peak.cpu_millicores)

        harness.run_virtual(scenario)

    def test_removed_account_keeps_its_limit_in_the_next_term(self) -> None:
        """Guards against a takeover that lifts the limit of an account."""

        async def scenario() -> None:
            audited = _AuditedCell()
            terms = accounts.Terms.of(LIMITED)
            job_id = audited.submit(1, harness.step(40), accepted_for=terms)
            async with audited.scheduling():
                await harness.until(
                    lambda: audited.running_cores(LIMITED.name) == 8
                )
            audited.cells.append(_cell(2, OTHER))
            async with audited.scheduling():
                await audited.until_done(job_id)
            peak = audited.audit.peak_usage[LIMITED.name]
            self.assertEqual(LIMIT.cpu_millicores, peak.cpu_millicores)

        harness.run_virtual(scenario)

    def test_job_of_a_removed_account_keeps_its_limit(self) -> None:
        """Guards against a lost or unlimited job of a removed account."""

        async def scenario() -> None:
            audited = _AuditedCell()
            job_id = audited.submit(1, harness.step(40))
            async with audited.scheduling() as term:
                await harness.until(
                    lambda: audited.running_cores('limited') == 8
                )
                term.apply_cell(_cell(2, OTHER))
                await audited.until_done(job_id)
            self.assertEqual([], audited.audit.violations)

        harness.run_virtual(scenario)


class UncertainRunsTest(unittest.TestCase):
    """Runs that may or may not exist count against the limit."""

    def test_unanswered_starts_count(self) -> None:
        """Guards against late starts that exceed a full limit."""

        async def scenario() -> None:
            audited = _AuditedCell()
            for worker in audited.bed.fleet.workers.values():
                worker.late_share = 0.3
            ids = [
                audited.submit(number, harness.step(6))
                for number in range(1, 12)
            ]
            async with audited.scheduling():
                await audited.until_done(*ids)
                await anyio.sleep(12.0)
            self.assertEqual([], audited.audit.violations)

        harness.run_virtual(scenario)

    def test_runs_of_the_previous_term_count(self) -> None:
        """Guards against a takeover that fills an account's limit twice."""

        async def scenario() -> None:
            audited = _AuditedCell()
            audited.bed.run_time_s = lambda _task: LONG_RUN_S
            first = audited.submit(1, harness.step(8))
            async with audited.scheduling():
                await harness.until(
                    lambda: audited.running_cores('limited') == 8
                )
            second = audited.submit(2, harness.step(8))
            for worker in audited.bed.fleet.workers.values():
                worker.is_cut_off = True
            async with audited.scheduling():
                await anyio.sleep(0.5)
                for worker in audited.bed.fleet.workers.values():
                    worker.is_cut_off = False
                await anyio.sleep(0.5)
                self.assertEqual(8, audited.running_cores('limited'))
                await audited.until_done(first, second)
            self.assertEqual([], audited.audit.violations)

        harness.run_virtual(scenario)

    def test_usage_is_released(self) -> None:
        """Guards against usage that an account never gets back."""

        async def scenario() -> None:
            audited = _AuditedCell()
            for worker in audited.bed.fleet.workers.values():
                worker.late_share = 0.2
                worker.loses_answers_share = 0.2
            ids = [
                audited.submit(number, harness.step(3))
                for number in range(1, 20)
            ]
            async with audited.scheduling() as term:
                await audited.until_done(*ids[:10])
                audited.bed.cancel(ids[-1])
                await audited.until_done(*ids[:-1])
                context = term._context  # noqa: SLF001
                await harness.until(
                    lambda: not context.roster.usage.run_count('limited'), 20.0
                )

        harness.run_virtual(scenario)


class WaitCauseTest(unittest.TestCase):
    """The logged cause of a wait for an account's limit."""

    def test_wait_cause_is_the_account_limit(self) -> None:
        """Guards against a wait reported as one for worker capacity."""

        async def scenario() -> None:
            audited = _AuditedCell()
            audited.bed.run_time_s = lambda _task: LONG_RUN_S
            audited.submit(1, harness.step(8))
            async with audited.scheduling() as term:
                await harness.until(
                    lambda: audited.running_cores('limited') == 8
                )
                second = audited.submit(2, harness.step(1))
                await anyio.sleep(1.0)
                context = term._context  # noqa: SLF001
                step = context.open_jobs[second].occurrence(0)[0]
                limit = _wait_cause.Cause.ACCOUNT_LIMIT.value
                self.assertEqual(limit, step.wait_cause)
                self.assertEqual(0.0, term.figures()['longest_wait_s'])

        harness.run_virtual(scenario)
