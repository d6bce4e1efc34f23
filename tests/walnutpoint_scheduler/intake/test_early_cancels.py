"""Cancellations that a term reads before their job.

The store shows a job and its cancellation in any order: full reads return
keys in alphabetic order and page by page, notices overtake each other.
"""

from __future__ import annotations

import collections.abc
import contextlib
import typing
import unittest

import anyio
import expression

from tests.walnutpoint_scheduler import harness
from walnutpoint_core import ports as core_ports
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _term

# Far above the time of a pass, far below a task's run time.
_SETTLE_S = 0.3


class _GappedReadStore:
    """A store whose reads of some prefixes take effect at different times."""

    def __init__(
        self, inner: typing.Any, delays_s: collections.abc.Mapping[str, float]
    ) -> None:
        self._inner = inner
        self._delays_s = delays_s

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._inner, name)

    async def read(self, prefix: str) -> typing.Any:
        for delayed, delay_s in self._delays_s.items():
            if prefix.startswith(delayed):
                await anyio.sleep(delay_s)
        return await self._inner.read(prefix)


class _PagedStore(_GappedReadStore):
    """A store that calls a function after the first page of a full read."""

    def __init__(
        self, inner: typing.Any, at_gap: collections.abc.Callable[[], None]
    ) -> None:
        super().__init__(inner, {})
        self._at_gap = at_gap
        self.is_gap_due = False

    async def read(self, prefix: str) -> typing.Any:
        if prefix != _keys.INTAKE or not self.is_gap_due:
            return await super().read(prefix)
        self.is_gap_due = False
        first = await self._inner.read(_keys.CANCELS)
        self._at_gap()
        rest = await self._inner.read(_keys.JOBS)
        values = (*first.ok.values, *rest.ok.values)
        return expression.Ok(core_ports.Snapshot(first.ok.revision, values))


class EarlyCancelTest(unittest.TestCase):
    """A cancelled job never starts, whichever is read first."""

    def setUp(self) -> None:
        self.bed = harness.Testbed()
        self.bed.run_time_s = lambda _task: 5.0
        self.job = harness.job(1, harness.step(2))

    def store_both(self) -> None:
        """Store the job and its cancellation."""
        self.bed.submit(self.job)
        self.bed.cancel(self.job.job_id)

    @contextlib.asynccontextmanager
    async def scheduling(
        self,
    ) -> collections.abc.AsyncIterator[_term.Term]:
        """Run a term and wait until it follows the store."""
        async with self.bed.scheduling() as term:
            await harness.until(lambda: term.ready)
            await anyio.sleep(_SETTLE_S)
            yield term

    async def check(self) -> None:
        """Check that the job is cancelled and that no task started."""
        await anyio.sleep(_SETTLE_S)
        self.assertEqual('cancelled', self.bed.state(self.job.job_id))
        self.assertEqual(0, self.bed.fleet.ledger.starts.total())

    def test_resync_applies_cancels_of_the_jobs_that_it_adds(self) -> None:
        """Guards against a cancel that a full read lists before its job."""

        async def scenario() -> None:
            async with self.scheduling():
                self.store_both()
                self.bed.store.drop_history()
                await self.check()

        harness.run_virtual(scenario)

    def test_resync_applies_cancels_of_lasting_jobs(self) -> None:
        """Guards against tasks that last until the next term."""
        self.job = harness.job(1, harness.step(2, lasting=True))

        async def scenario() -> None:
            async with self.scheduling():
                self.store_both()
                self.bed.store.drop_history()
                await self.check()

        harness.run_virtual(scenario)

    def test_notice_of_a_cancel_overtakes_that_of_its_job(self) -> None:
        """Guards against a start while only the job's notice was heard."""

        async def scenario() -> None:
            async with self.scheduling() as term:
                # The watch shows neither before the notices come.
                term.cancel(self.job.job_id)
                term.add(self.job)
                await self.check()

        harness.run_virtual(scenario)

    def test_notice_of_a_cancel_whose_job_only_a_full_read_shows(self) -> None:
        """Guards against a cancel that comes by a notice and a full read."""

        async def scenario() -> None:
            async with self.scheduling() as term:
                self.store_both()
                term.cancel(self.job.job_id)
                self.bed.store.drop_history()
                await self.check()

        harness.run_virtual(scenario)

    def test_first_read_lists_a_cancel_without_its_job(self) -> None:
        """Guards against a term whose first read has a gap.

        The jobs are read before the job is stored, the cancels after; then
        the history is dropped, and a full read adds the job.
        """

        async def scenario() -> None:
            self.bed.store = _GappedReadStore(
                self.bed.store, {_keys.CANCELS: 0.1}
            )
            async with self.bed.scheduling():
                await anyio.sleep(0.05)
                self.store_both()
                await anyio.sleep(0.05)
                self.bed.store.drop_history()
                await self.check()

        harness.run_virtual(scenario)

    def test_full_read_with_a_gap(self) -> None:
        """Guards against a cancel stored between two pages of a full read.

        The first page, with all cancels, is read before the job is stored,
        and the page with the job after its cancel.
        """

        async def scenario() -> None:
            other = harness.job(2)
            paged = _PagedStore(self.bed.store, self.store_both)
            self.bed.store = paged
            async with self.scheduling():
                paged.is_gap_due = True
                self.bed.submit(other)
                paged.drop_history()
                await anyio.sleep(_SETTLE_S)
                self.assertFalse(paged.is_gap_due)
                self.assertEqual('cancelled', self.bed.state(self.job.job_id))
                running = self.bed.fleet.ledger.running
                self.assertEqual({other.job_id}, {t.job_id for t in running})

        harness.run_virtual(scenario)
