"""Cancellations beside jobs that change meanwhile."""

from __future__ import annotations

import typing
import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from tests.walnutpoint_scheduler.submission import service as services
from walnutpoint_core import ports as core_ports
from walnutpoint_model import store
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import document

# Longer than a write may be applied after its answer was lost.
_LATE_S = 7.0


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
