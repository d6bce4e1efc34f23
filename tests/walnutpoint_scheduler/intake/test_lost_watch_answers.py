"""Watches of the intake whose connection goes silent."""

from __future__ import annotations

import typing
import unittest

import anyio
import expression

from tests.walnutpoint_scheduler import harness
from walnutpoint_core import errors
from walnutpoint_model import store
from walnutpoint_scheduler import _keys

# The shortest bound of the platform on a start after an acknowledged cancel.
_CANCEL_S = 3.0
# The store's client waits this much longer than the watch itself.
_TIMEOUT_SLACK_S = 0.45


class _LostAnswerStore(store.MemoryStore):
    """A store that answers no watch of the intake that is waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.loses_answers = False

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> typing.Any:
        """Wait for changes, or without an answer until the timeout."""
        if prefix != _keys.INTAKE or not self.loses_answers:
            return await super().watch(prefix, after_revision, wait_s)
        await anyio.sleep(wait_s + _TIMEOUT_SLACK_S)
        self.loses_answers = False
        return expression.Error(
            errors.Failure(errors.ErrorKind.STORE_UNAVAILABLE, 'no answer')
        )


class LostAnswerTest(unittest.TestCase):
    """A watch gets no answer, and the notices are lost as well."""

    def setUp(self) -> None:
        self.bed = harness.Testbed()
        self.bed.store = self.store = _LostAnswerStore()
        self.bed.run_time_s = lambda _task: _CANCEL_S

    async def _begin(self, job: harness.document.Job) -> None:
        """Let a job begin, and the watch after it get no answer."""
        self.store.loses_answers = True
        self.bed.submit(job)
        await harness.until(lambda: bool(self.bed.fleet.ledger.running))

    def test_cancel_is_applied_within_the_bound(self) -> None:
        """Guards against tasks that run on after an acknowledged cancel."""
        job = harness.job(1, harness.step(2, lasting=True))

        async def scenario() -> None:
            async with self.bed.scheduling() as term:
                await harness.until(lambda: term.ready)
                await self._begin(job)
                self.bed.cancel(job.job_id)
                took_s = await harness.until(
                    lambda: self.bed.state(job.job_id) == 'cancelled'
                )
            self.assertLess(took_s, _CANCEL_S)

        harness.run_virtual(scenario)

    def test_no_step_starts_after_the_bound(self) -> None:
        """Guards against a start long after an acknowledged cancel."""
        job = harness.job(1, harness.step(1), harness.step(1, after=(0,)))

        async def scenario() -> None:
            async with self.bed.scheduling() as term:
                await harness.until(lambda: term.ready)
                await self._begin(job)
                self.bed.cancel(job.job_id)
                await anyio.sleep(3 * _CANCEL_S)
            started = {task.step for task in self.bed.fleet.ledger.starts}
            self.assertEqual({0}, started)

        harness.run_virtual(scenario)
