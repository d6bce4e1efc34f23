"""Job states as shown to client accounts."""

from __future__ import annotations

import typing
import unittest

import msgspec

from tests.walnutpoint_scheduler import harness
from tests.walnutpoint_scheduler.submission import service as services
from walnutpoint_model import store
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _record
from walnutpoint_scheduler import document


class _EndingStore(store.MemoryStore):
    """A store in which a job ends once its missing record was read."""

    async def get(self, key: str) -> typing.Any:
        """Read one key."""
        item = await super().get(key)
        if key.startswith(_keys.RECORDS) and item.ok is None:
            record = _record.JobRecord('done', True, 0, [])
            marker = document.encode_final_marker('')
            self.put(key, msgspec.msgpack.encode(record))
            self.put(_keys.job_key(_keys.job_id(key)), marker)
        return item


class StateTest(unittest.TestCase):
    """Job states and cancellations."""

    def test_unknown_job_has_no_state(self) -> None:
        async def scenario() -> None:
            service = services.Service()
            state = await service.job_status.state('f' * 16, '')
            self.assertIsNone(state.ok)
            cancelled = await service.submissions.cancel('f' * 16, '', 2000.0)
            self.assertFalse(cancelled.ok)

        harness.run_virtual(scenario)

    def test_stored_job_is_queued_until_its_record_says_more(self) -> None:
        async def scenario() -> None:
            service = services.Service()
            await service.submit(1)
            job_id = harness.job(1).job_id
            state = await service.job_status.state(job_id, '')
            self.assertEqual('queued', state.ok.state)
            cancelled = await service.submissions.cancel(job_id, '', 2000.0)
            self.assertTrue(cancelled.ok)
            self.assertIn(_keys.cancel_key(job_id), service.store.items)

        harness.run_virtual(scenario)

    def test_job_that_ends_between_two_reads_is_final(self) -> None:
        """Guards against showing an ended job as queued.

        Its record is read before the end is stored, and its document after.
        """

        async def scenario() -> None:
            service = services.Service(_EndingStore())
            await service.submit(1)
            state = await service.job_status.state(harness.job(1).job_id, '')
            self.assertEqual('done', state.ok.state)

        harness.run_virtual(scenario)

    def test_state_is_not_guessed_in_an_outage(self) -> None:
        """The caller is asked to retry, not told that its job is unknown."""

        async def scenario() -> None:
            service = services.Service()
            await service.submit(1)
            service.store.fault = store.StoreFault.REFUSES
            state = await service.job_status.state(harness.job(1).job_id, '')
            self.assertTrue(state.is_error())

        harness.run_virtual(scenario)
