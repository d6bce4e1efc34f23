"""The estimates survive a takeover, and faults of the store."""

from __future__ import annotations

import math
import types
import typing
import unittest
from unittest import mock

import anyio
import msgspec

from tests.walnutpoint_scheduler.estimates import test_observed
from tests.walnutpoint_scheduler import harness
from walnutpoint_model import store as stores
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _run_time_store
from walnutpoint_scheduler import estimates

VALUE_MAX_BYTES = 64 * 1024
# The next term needs the estimates within its first second.
READ_WITHIN_S = 1.0


def _encoded(load: test_observed.Load) -> bytes:
    snapshot = load.run_times.changed_snapshot()
    assert snapshot is not None
    return estimates.encode_snapshot(snapshot)


def _stored_queue(weight: float) -> bytes:
    queues = {'queue': ('pool', 0, weight)}
    return msgspec.msgpack.encode([1, {}, queues])


class SnapshotTest(unittest.TestCase):
    """What a snapshot holds, and which ones are refused."""

    def test_restored_estimates_are_those_stored(self) -> None:
        """Guards against seconds of learning after each takeover."""
        load = test_observed.Load(1)
        load.run(8.0)
        after = estimates.ObservedRunTimes()
        self.assertEqual(test_observed.WORKERS, after.restore(_encoded(load)))
        self.assertTrue(after.is_mixed('pool'))
        for number, worker in enumerate(load.workers):
            change = after.slowdown(worker) / load.slowdown(number)
            self.assertLess(abs(math.log(change)), math.log(1.15))
        new = test_observed.listed(900, 'b')
        self.assertGreater(after.slowdown(new), math.sqrt(1.9))
        self.assertIsNone(after.changed_snapshot())

    def test_restored_estimates_are_updated(self) -> None:
        """Guards against a snapshot that outweighs later runs."""
        load = test_observed.Load(1, slowdown=lambda _: 1.0)
        load.run(8.0)
        other = test_observed.Load(2)
        other.run_times.restore(_encoded(load))
        other.run(20.0)
        self.assertTrue(other.run_times.is_mixed('pool'))

    def test_snapshot_of_large_cell_fits(self) -> None:
        """Guards against a value that the store refuses."""
        load = test_observed.Load(1, workers_count=900)
        load.run(20.0)
        self.assertLess(len(_encoded(load)), VALUE_MAX_BYTES)

    def test_snapshot_is_cut_to_its_limit(self) -> None:
        """Guards against a value that the store refuses for its size."""
        load = test_observed.Load(1)
        load.run(3.0)
        snapshot = load.run_times.changed_snapshot()
        assert snapshot is not None
        whole = len(estimates.encode_snapshot(snapshot))
        for limit_bytes in (whole, whole // 2, 100, 10):
            value, cut = estimates.encode_snapshot_within(
                snapshot, limit_bytes
            )
            with self.subTest(limit_bytes=limit_bytes):
                self.assertLessEqual(len(value), limit_bytes)
                self.assertEqual(limit_bytes == whole, cut is snapshot)
                estimates.ObservedRunTimes().restore(value)

    def test_unusable_values_change_nothing(self) -> None:
        """Guards against a term that fails at a damaged value."""
        load = test_observed.Load(1)
        load.run(3.0)
        value = _encoded(load)
        run_times = estimates.ObservedRunTimes()
        for damaged in (
            b'',
            value[: len(value) // 2],
            value[:1] + b'\x63' + value[2:],
            b'\x93\x01\x81\xa1p\x90\x80',
            # Nested more deeply than the decoder recurses.
            b'\x91' * 100_000,
            # Numbers by which a later division would fail.
            *(
                _stored_queue(weight)
                for weight in (-1.0, math.nan, math.inf, 1e30)
            ),
            msgspec.msgpack.encode(
                [1, {'p': [True, 2**63, 1, [], [], {}]}, {}]
            ),
            msgspec.msgpack.encode([1, {'p': [True, 5, 6, [], [], {}]}, {}]),
        ):
            with (
                self.subTest(damaged=damaged[:20]),
                self.assertRaises(estimates.UnreadableError),
            ):
                run_times.restore(damaged)
        run_times.restore(_stored_queue(1.0))
        self.assertFalse(run_times.is_mixed('pool'))
        self.assertEqual(1.0, run_times.slowdown(load.workers[0]))


class RunTimeStoreTest(unittest.TestCase):
    """Reading and writing while the store fails or the token is lost."""

    def _stored_after(
        self,
        stored: bytes | None,
        fault: stores.StoreFault,
        token_offset: int = 0,
        later_fault: stores.StoreFault = stores.StoreFault.NONE,
    ) -> tuple[bool, bytes | None]:
        """Return whether estimates were restored in time, and the value.

        The store has a fault for the first half second, and perhaps another
        from the first second on.
        """
        results = []

        async def scenario() -> None:
            bed = harness.Testbed(0)
            if stored is not None:
                bed.store.put(_keys.ESTIMATES, stored)
            load = test_observed.Load(1)
            context = types.SimpleNamespace(
                timer=bed.timer,
                started_s=bed.timer.now_s(),
                token=bed.claim() + token_offset,
                roster=types.SimpleNamespace(
                    workers={w.worker_id: w for w in load.workers}
                ),
            )
            bed.store.fault = fault
            run_time_store = _run_time_store.RunTimeStore(
                typing.cast(_context.Context, context),
                load.run_times,
                bed.store,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run_time_store.run)
                await anyio.sleep(READ_WITHIN_S / 2)
                bed.store.fault = stores.StoreFault.NONE
                await anyio.sleep(READ_WITHIN_S / 2)
                bed.store.fault = later_fault
                is_restored = load.run_times.is_mixed('pool')
                load.run(8.0)
                await anyio.sleep(11.0)
                tasks.cancel_scope.cancel()
            item = bed.store.items.get(_keys.ESTIMATES)
            results.append((is_restored, None if item is None else item.value))

        harness.run_virtual(scenario)
        return results[0]

    def test_read_is_retried_while_the_store_fails(self) -> None:
        """Guards against a term without estimates after an outage."""
        load = test_observed.Load(1)
        load.run(8.0)
        value = _encoded(load)
        for fault in (stores.StoreFault.NONE, stores.StoreFault.REFUSES):
            with self.subTest(fault=fault):
                self.assertTrue(self._stored_after(value, fault)[0])

    def test_estimates_start_afresh_without_a_snapshot(self) -> None:
        """Guards against a damaged value that is never replaced."""
        for stored in (None, b'damaged', b'\x91' * 100_000):
            with self.subTest(stored=stored and stored[:10]):
                is_restored, value = self._stored_after(
                    stored, stores.StoreFault.NONE
                )
                self.assertFalse(is_restored)
                after = estimates.ObservedRunTimes()
                self.assertGreater(after.restore(value or b''), 0)

    def test_deposed_term_writes_nothing(self) -> None:
        """Guards against old estimates over those of the next term."""
        _, value = self._stored_after(None, stores.StoreFault.NONE, -1)
        self.assertIsNone(value)

    def test_failed_writes_are_logged(self) -> None:
        """Guards against estimates that are never stored without a trace."""
        none, refuses = stores.StoreFault.NONE, stores.StoreFault.REFUSES
        for token_offset, fault in ((-1, none), (0, refuses)):
            with (
                self.subTest(fault=fault),
                mock.patch.object(
                    _run_time_store, '_LOG', spec=['info', 'warning']
                ) as log,
            ):
                self._stored_after(None, none, token_offset, fault)
                log.warning.assert_called_once()
                (event,), fields = log.warning.call_args
                self.assertEqual('estimates.write_failed', event)
                expected = 'deposed' if fault is none else 'store_unavailable'
                self.assertEqual(expected, fields['reason'])
                self.assertGreater(fields['size_bytes'], 100)


class TakeoverTest(unittest.TestCase):
    """The estimates of one term are those of the next."""

    def test_next_term_knows_the_workers(self) -> None:
        """Guards against urgent tasks on slow workers after a takeover."""
        known = []

        async def scenario() -> None:
            bed = harness.Testbed(8)
            load = test_observed.Load(1)
            load.run(8.0)
            bed.store.put(_keys.ESTIMATES, _encoded(load))
            async with bed.scheduling() as term:
                await anyio.sleep(READ_WITHIN_S)
                context = term._context
                assert context is not None
                known.append(context.run_times.is_mixed('pool'))

        harness.run_virtual(scenario)
        self.assertEqual([True], known)

    def test_term_outlives_a_fault_of_the_estimates(self) -> None:
        """Guards against a record that ends each term at its start."""
        reasons = []

        async def scenario() -> None:
            bed = harness.Testbed(8)
            bed.store.put(_keys.ESTIMATES, b'\x91' * 100_000)
            with mock.patch.object(
                estimates.ObservedRunTimes,
                'restore',
                autospec=True,
                side_effect=ValueError,
            ):
                async with bed.scheduling() as term:
                    bed.submit(harness.job(1))
                    await harness.until(
                        lambda: bed.state(harness.job(1).job_id) == 'done'
                    )
                    reasons.append(term.reason)

        harness.run_virtual(scenario)
        self.assertEqual([''], reasons)
