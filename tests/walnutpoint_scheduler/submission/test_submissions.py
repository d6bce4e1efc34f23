"""Answers to client accounts match what is stored."""

from __future__ import annotations

import asyncio
import dataclasses
import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from tests.walnutpoint_scheduler.submission import service as services
from walnutpoint_core import errors
from walnutpoint_core import resources
from walnutpoint_model import cell_model
from walnutpoint_model import store
from walnutpoint_model import workers
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import document
from walnutpoint_scheduler import submission


class SubmitTest(unittest.TestCase):
    """Accepted jobs are stored, and refused ones never run."""

    def test_accepted_job_is_stored_once(self) -> None:
        async def scenario() -> None:
            service = services.Service()
            first = await service.submit(1)
            again = await service.submit(1)
            self.assertIs(submission.SubmitOutcome.NEW, first.ok)
            self.assertIs(submission.SubmitOutcome.KNOWN, again.ok)
            key = _keys.job_key(harness.job(1).job_id)
            self.assertIn(key, service.store.items)

        harness.run_virtual(scenario)

    def test_another_job_under_a_known_name_is_refused(self) -> None:
        async def scenario() -> None:
            service = services.Service()
            await service.submit(1)
            other = await service.submissions.submit(
                harness.job(1, harness.step(7)), 2000.0
            )
            self.assertIs(errors.ErrorKind.KEY_MISMATCH, other.error.kind)

        harness.run_virtual(scenario)

    def test_refusing_store_means_refused_and_never_stored(self) -> None:
        """The caller is asked at once to retry.

        The store refuses every call, so the job is not stored now or later.
        """

        async def scenario() -> None:
            service = services.Service()
            service.store.fault = store.StoreFault.REFUSES
            began_s = asyncio.get_running_loop().time()
            answer = await service.submit(1)
            took_s = asyncio.get_running_loop().time() - began_s
            self.assertIs(
                errors.ErrorKind.STORE_UNAVAILABLE, answer.error.kind
            )
            self.assertLess(took_s, 0.1)
            await anyio.sleep(20)
            self.assertFalse(service.store.items)

        harness.run_virtual(scenario)

    def _delay_after_outage(self, early_s: float, wait_s: float) -> float:
        """Return how long after an outage's end a job is stored, or inf."""
        stored_s: list[float] = []

        async def scenario() -> None:
            service = services.Service()
            loop = asyncio.get_running_loop()
            await service.submit(1)
            service.store.fault = store.StoreFault.REFUSES
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(service.relayed.watch_outages)
                await service.submit(2)
                await anyio.sleep(3.0)
                end_s = loop.time() + early_s

                async def repair_store() -> None:
                    await anyio.sleep(early_s)
                    service.store.fault = store.StoreFault.NONE

                tasks.start_soon(repair_store)
                answer = await service.submit(3, wait_s)
                if answer.is_ok():
                    stored_s.append(loop.time() - end_s)
                else:
                    key = _keys.job_key(harness.job(3).job_id)
                    await anyio.sleep(20)
                    self.assertNotIn(key, service.store.items)
                tasks.cancel_scope.cancel()

        harness.run_virtual(scenario)
        return stored_s[0] if stored_s else float('inf')

    def test_call_near_the_end_of_an_outage_is_held(self) -> None:
        """Guards against late jobs submitted just before an outage ends.

        Refused callers would retry after a second, which is too late for
        jobs with 0.55 s to spare.
        """
        for early_s in (0.2, 0.4, 0.9):
            with self.subTest(early_s=early_s):
                self.assertLess(self._delay_after_outage(early_s, 3.0), 0.15)

    def test_call_is_held_for_a_third_of_its_callers_time(self) -> None:
        """After that the caller is refused, and its job never runs."""
        for early_s, wait_s in ((1.1, 3.0), (0.2, 0.3)):
            with self.subTest(early_s=early_s, wait_s=wait_s):
                stored_s = self._delay_after_outage(early_s, wait_s)
                self.assertEqual(float('inf'), stored_s)

    def test_lost_answer_is_resolved_before_the_reply(self) -> None:
        """Guards against refusing a job that was stored.

        The write was applied and its answer lost; a retry finds the job.
        """

        async def scenario() -> None:
            service = services.Service()
            service.store.fault = store.StoreFault.LOSES_ANSWERS

            async def repair_store() -> None:
                await anyio.sleep(0.3)
                service.store.fault = store.StoreFault.NONE

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(repair_store)
                answer = await service.submit(1)
            self.assertTrue(answer.is_ok())

        harness.run_virtual(scenario)

    def test_write_in_doubt_is_not_reported_as_refused(self) -> None:
        """The outcome is reported as unknown.

        Every commit is unanswered and may be applied after the deadline.
        """

        async def scenario() -> None:
            service = services.Service()
            service.store.fault = store.StoreFault.APPLIES_LATE
            answer = await service.submit(1)
            self.assertIs(errors.Outcome.UNKNOWN, answer.error.outcome)

        harness.run_virtual(scenario)

    def test_answer_precedes_the_deadline(self) -> None:
        """Guards against callers that get no answer and can't retry.

        The store falls silent during a write. Each retry uses all routes to
        the store, and the last one would end after the deadline.
        """

        async def scenario() -> None:
            for wait_s in (0.8, 1.0, 2.0, 3.0):
                service = services.Service()
                await service.submit(1)
                service.store.fault = store.StoreFault.APPLIES_LATE
                began_s = asyncio.get_running_loop().time()
                answer = await service.submit(2, wait_s)
                took_s = asyncio.get_running_loop().time() - began_s
                self.assertIs(errors.Outcome.UNKNOWN, answer.error.outcome)
                self.assertLess(took_s, wait_s - 0.05)

        harness.run_virtual(scenario)

    def test_known_outage_is_answered_at_once(self) -> None:
        """Guards against unknown outcomes for all callers in an outage.

        After the first timeouts the outage is known, and jobs are refused
        before a write is sent. Otherwise each caller would lose half a second
        and get an unknown outcome, after which it may not retry.
        """

        async def scenario() -> None:
            service = services.Service()
            await service.submit(1)
            service.store.fault = store.StoreFault.SILENT
            for _ in range(3):
                await service.relayed.get('any')
            began_s = asyncio.get_running_loop().time()
            answer = await service.submit(2)
            took_s = asyncio.get_running_loop().time() - began_s
            self.assertIs(errors.Outcome.NOT_RUN, answer.error.outcome)
            self.assertLess(took_s, 0.01)

        harness.run_virtual(scenario)

    def test_one_timeout_without_other_answers_detects_an_outage(
        self,
    ) -> None:
        """A process with few callers detects an outage by one timeout.

        Nothing else must have been answered since that call was sent.
        """

        async def scenario() -> None:
            service = services.Service()
            await service.submit(1)
            service.store.fault = store.StoreFault.SILENT
            await service.relayed.get('any')
            self.assertTrue(service.relayed.is_down)

        harness.run_virtual(scenario)

    def test_doubted_store_is_read_before_it_is_written(self) -> None:
        """Guards against unknown outcomes where a refusal is possible.

        The scheduler, which calls the store constantly, reports that it gets
        no answer. A read must then succeed before a job is written, as no
        refusal is certain after an unanswered write.
        """

        async def scenario() -> None:
            service = services.Service()
            await service.submit(1)
            service.store.fault = store.StoreFault.SILENT
            service.relayed.note_suspicion()
            answer = await service.submit(2)
            self.assertIs(errors.Outcome.NOT_RUN, answer.error.outcome)
            service.store.fault = store.StoreFault.NONE
            await service.relayed.get('any')
            answer = await service.submit(3)
            self.assertTrue(answer.is_ok())

        harness.run_virtual(scenario)

    def test_end_of_an_outage_is_detected_without_callers(self) -> None:
        """Guards against refusing callers after an outage has ended.

        The process probes the store itself, and detects the end in 0.7 s.
        """

        async def scenario() -> None:
            service = services.Service()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(service.relayed.watch_outages)
                await service.submit(1)
                service.store.fault = store.StoreFault.SILENT
                for _ in range(3):
                    await service.relayed.get('any')
                self.assertTrue(service.relayed.is_down)
                await anyio.sleep(3)
                service.store.fault = store.StoreFault.NONE
                await harness.until(
                    lambda: not service.relayed.is_down, limit_s=0.7
                )
                answer = await service.submit(2)
                self.assertTrue(answer.is_ok())
                tasks.cancel_scope.cancel()

        harness.run_virtual(scenario)


class UnplaceableJobTest(unittest.TestCase):
    """A job that no worker can run is refused at once."""

    def test_task_larger_than_any_worker_is_refused_unstored(self) -> None:
        """Guards against callers that wait forever."""

        async def scenario() -> None:
            service = services.Service()
            service.submissions.add_capacities(
                [
                    _messages.PoolCapacities(
                        'pool', (resources.Resources(8000, 1000, 0),)
                    )
                ]
            )
            large = harness.job(1, harness.step(1, cpu_millicores=9000))
            answer = await service.submissions.submit(large, 2000.0)
            self.assertIs(errors.ErrorKind.TOO_LARGE, answer.error.kind)
            self.assertFalse(service.store.items)
            fitting = harness.job(2, harness.step(1, cpu_millicores=8000))
            answer = await service.submissions.submit(fitting, 2000.0)
            self.assertTrue(answer.is_ok())

        harness.run_virtual(scenario)

    def test_capacity_of_an_absent_worker_counts(self) -> None:
        """No job is refused because a large worker is away for a while."""

        async def scenario() -> None:
            service = services.Service()
            for millicores in (16000, 8000):
                service.submissions.add_capacities(
                    [
                        _messages.PoolCapacities(
                            'pool', (resources.Resources(millicores, 1000, 0),)
                        )
                    ]
                )
            large = harness.job(1, harness.step(1, cpu_millicores=16000))
            answer = await service.submissions.submit(large, 2000.0)
            self.assertTrue(answer.is_ok())

        harness.run_virtual(scenario)

    def test_nothing_is_refused_while_no_worker_is_known(self) -> None:
        async def scenario() -> None:
            service = services.Service()
            answer = await service.submit(1)
            self.assertTrue(answer.is_ok())

        harness.run_virtual(scenario)


class RepeatTest(unittest.TestCase):
    """A repeated submission of a job that has ended."""

    def test_repeat_after_the_end_starts_nothing(self) -> None:
        """Guards against running a job again whose record is damaged.

        The scheduler passes over the record, and so doesn't know the job. A
        caller's repeat finds what replaced the document.
        """

        async def scenario() -> None:
            async with cell_model.running(harness.CELL, 1) as model:
                submitted = harness.job(1)
                model.store.put(
                    _keys.job_key(submitted.job_id),
                    document.encode_final_marker(''),
                )
                model.store.put(_keys.record_key(submitted.job_id), b'?')
                model.fleet.add(workers.listed_worker(0), lambda _task: 0.6, 0)
                await harness.until(lambda: model.scheduler() is not None)
                await anyio.sleep(1.0)
                host = model.processes[model.scheduler()].process
                deadline_s = model.timer.now_s() + 3.0
                answer = await host.submissions.submit(submitted, deadline_s)
                self.assertIs(submission.SubmitOutcome.KNOWN, answer.ok)
                await anyio.sleep(1.0)
                self.assertEqual(0, model.fleet.ledger.starts.total())

        harness.run_virtual(scenario)


class OwnerTest(unittest.TestCase):
    """Client accounts have no access to each other's jobs."""

    def test_another_account_can_not_see_or_cancel_a_job(self) -> None:
        """Guards against access with another account's key."""

        async def scenario() -> None:
            service = services.Service()
            owned = harness.job(1, account='one')
            await service.submissions.submit(owned, 2000.0)
            refused = errors.ErrorKind.OTHER_ACCOUNT
            for caller in ('two', ''):
                state = await service.job_status.state(owned.job_id, caller)
                self.assertIs(refused, state.error.kind)
                cancelled = await service.submissions.cancel(
                    owned.job_id, caller, 2000.0
                )
                self.assertIs(refused, cancelled.error.kind)
            self.assertNotIn(
                _keys.cancel_key(owned.job_id), service.store.items
            )
            state = await service.job_status.state(owned.job_id, 'one')
            self.assertEqual('queued', state.ok.state)

        harness.run_virtual(scenario)

    def test_identifier_of_another_account_is_taken(self) -> None:
        """Guards against reporting another account's job as accepted."""

        async def scenario() -> None:
            for final in (False, True):
                service = services.Service()
                owned = harness.job(1, account='one')
                await service.submissions.submit(owned, 2000.0)
                if final:
                    service.store.put(
                        _keys.job_key(owned.job_id),
                        document.encode_final_marker('one'),
                    )
                same = await service.submissions.submit(owned, 2000.0)
                self.assertTrue(same.is_ok())
                other = harness.job(1, account='two')
                answer = await service.submissions.submit(other, 2000.0)
                mismatch = errors.ErrorKind.KEY_MISMATCH
                self.assertIs(mismatch, answer.error.kind)

        harness.run_virtual(scenario)

    def test_job_is_stored_with_the_terms_of_its_account(self) -> None:
        """Guards against a scheduler that doesn't know the account."""

        async def scenario() -> None:
            service = services.Service()
            account = accounts.Account(
                'one',
                frozenset((b'digest',)),
                weight=2.5,
                limit=resources.Resources(8000, 100, 1),
            )
            service.accounts = accounts.Accounts((account,))
            owned = harness.job(1, account='one')
            await service.submissions.submit(owned, 2000.0)
            stored = service.store.items[_keys.job_key(owned.job_id)]
            terms = document.decode_job(stored.value).accepted_for
            expected = dataclasses.replace(account, key_digests=frozenset())
            self.assertEqual(expected, terms.account('one'))

        harness.run_virtual(scenario)

    def test_gang_above_its_accounts_limit_is_refused(self) -> None:
        """Guards against accepting a job that can never start."""

        async def scenario() -> None:
            service = services.Service()
            limit = resources.Resources(8000)
            service.accounts = accounts.Accounts(
                (accounts.Account('one', limit=limit),)
            )
            for number, step, is_accepted in (
                (1, harness.step(9, gang=True), False),
                (2, harness.step(8, gang=True), True),
                (3, harness.step(9), True),
                (4, harness.step(1, cpu_millicores=8001), False),
            ):
                answer = await service.submissions.submit(
                    harness.job(number, step, account='one'), 2000.0
                )
                self.assertEqual(is_accepted, answer.is_ok())

        harness.run_virtual(scenario)
