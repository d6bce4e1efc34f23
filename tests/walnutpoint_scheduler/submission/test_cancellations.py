"""Cancellations beside jobs that change meanwhile."""

from __future__ import annotations

import typing
import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from tests.walnutpoint_scheduler.submission import service as services
from walnutpoint_core import errors
from walnutpoint_core import ports as core_ports
from walnutpoint_model import store
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import document

# Longer than a write may be applied after its answer was lost.
_LATE_S = 7.0
# Less than the first timeout of a call to the store.
_UNDER_WAY_S = 0.2
# Above _LATE_S.
_KEEP_S = 10.0


class _ChangingStore(store.MemoryStore):
    """A store that changes a job just before its cancellation is stored."""

    def __init__(
        self, change: typing.Callable[[store.MemoryStore, str], None]
    ) -> None:
        super().__init__()
        self._change = change

    async def commit(self, batch: core_ports.Batch) -> typing.Any:
        """Apply a batch, after the change if it is a cancellation."""
        job_id = _keys.job_id(batch.puts[0].key)
        if batch.puts[0].key == _keys.cancel_key(job_id):
            self._change(self, _keys.job_key(job_id))
        return await super().commit(batch)


class CancelTest(unittest.TestCase):
    """A cancellation is stored only beside a job that has not ended."""

    def _cancel(
        self, change: typing.Callable[[store.MemoryStore, str], None]
    ) -> typing.Any:
        """Cancel a job that changes meanwhile; return the answer."""
        answers: list[typing.Any] = []

        async def scenario() -> None:
            service = services.Service(_ChangingStore(change))
            await service.submit(1)
            job_id = harness.job(1).job_id
            answer = await service.submissions.cancel(job_id, '', 2000.0)
            self.assertNotIn(_keys.cancel_key(job_id), service.store.items)
            answers.append(answer)

        harness.run_virtual(scenario)
        return answers[0]

    def test_job_that_is_removed_meanwhile_leaves_no_cancel(self) -> None:
        """Guards against an entry that nothing removes."""
        answer = self._cancel(lambda changed, key: changed.delete(key))
        self.assertIs(False, answer.ok)

    def test_cancel_that_is_applied_late_needs_its_job(self) -> None:
        """Guards against a late write after the job was removed."""

        async def scenario() -> None:
            service = services.Service()
            await service.submit(1)
            job_id = harness.job(1).job_id
            service.store.fault = store.StoreFault.APPLIES_LATE
            answer = await service.submissions.cancel(job_id, '', 2000.0)
            self.assertTrue(answer.is_error())
            service.store.fault = store.StoreFault.NONE
            for key in (_keys.job_key(job_id), _keys.cancel_key(job_id)):
                service.store.delete(key)
            await anyio.sleep(_LATE_S)
            self.assertNotIn(_keys.cancel_key(job_id), service.store.items)

        harness.run_virtual(scenario)

    def test_job_that_ends_meanwhile_needs_no_cancel(self) -> None:
        """Guards against a cancel of a job whose document is gone."""
        answer = self._cancel(
            lambda changed, key: changed.put(
                key, document.encode_final_marker('')
            )
        )
        self.assertIs(True, answer.ok)


class OvertakenSubmissionTest(unittest.TestCase):
    """A job is cancelled while its submission is still under way."""

    def setUp(self) -> None:
        self.bed = harness.Testbed()
        self.job_id = harness.job(1).job_id

    async def _cancel(self, service: services.Service) -> None:
        """Cancel the job, which is not stored yet."""
        answer = await service.submissions.cancel(self.job_id, '', 2000.0)
        self.assertIs(False, answer.ok)

    async def _submit_and_cancel(self, service: services.Service) -> None:
        """Cancel the job while the answer to its submission is lost."""
        self.bed.store.fault = store.StoreFault.APPLIES_LATE
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.submit, 1)
            await anyio.sleep(_UNDER_WAY_S)
            self.bed.store.fault = store.StoreFault.NONE
            await self._cancel(service)

    async def _cancel_and_submit(self, service: services.Service) -> None:
        """Submit the job after its cancel."""
        await self._cancel(service)
        answer = await service.submit(1)
        self.assertIs(errors.ErrorKind.CANCELLED, answer.error.kind)

    def _run(
        self,
        calls: typing.Callable[[services.Service], typing.Awaitable[None]],
        then_s: float,
    ) -> None:
        """Make the calls beside a term, and wait."""

        async def scenario() -> None:
            async with self.bed.scheduling(keep_final_s=_KEEP_S) as term:
                await harness.until(lambda: term.ready)
                await calls(services.Service(self.bed.store))
                await anyio.sleep(then_s)

        harness.run_virtual(scenario)

    def _check_never_ran(self) -> None:
        self.assertEqual(0, self.bed.fleet.ledger.starts.total())
        marker = self.bed.store.items[_keys.job_key(self.job_id)].value
        self.assertTrue(document.is_reserved_marker(marker))

    def test_submission_that_is_applied_late_never_runs(self) -> None:
        """Guards against a job that is stored after its cancel."""
        self._run(self._submit_and_cancel, _LATE_S)
        self._check_never_ran()

    def test_submission_that_comes_later_never_runs(self) -> None:
        """Guards against an attempt of the caller that arrives last."""
        self._run(self._cancel_and_submit, _LATE_S)
        self._check_never_ran()

    def test_cancelled_name_is_removed_with_the_others(self) -> None:
        """Guards against entries of unknown jobs that nothing removes."""
        self._run(self._cancel, 2 * _KEEP_S)
        self.assertNotIn(_keys.job_key(self.job_id), self.bed.store.items)

    def test_cancelled_name_is_not_shown(self) -> None:
        """Guards against showing a job that nobody has submitted."""
        states: list[typing.Any] = []

        async def cancel_twice(service: services.Service) -> None:
            await self._cancel(service)
            await self._cancel(service)
            states.append(await service.job_status.state(self.job_id, ''))

        self._run(cancel_twice, 0.0)
        self.assertIsNone(states[0].ok)

    def test_full_read_shows_no_other_end(self) -> None:
        """Guards against a job that was done and is shown as cancelled.

        The term has removed the job when a full read that lists it is
        applied.
        """
        states: list[str | None] = []

        async def scenario() -> None:
            async with self.bed.scheduling(keep_final_s=_KEEP_S) as term:
                await harness.until(lambda: term.ready)
                self.bed.submit(harness.job(1))
                await anyio.sleep(_LATE_S)
                key = _keys.job_key(self.job_id)
                marker = self.bed.store.items[key].value
                await harness.until(lambda: key not in self.bed.store.items)
                self.bed.store.put(key, marker)
                await anyio.sleep(1.0)
                states.append(term.state(self.job_id).state)

        harness.run_virtual(scenario)
        self.assertEqual([None], states)
