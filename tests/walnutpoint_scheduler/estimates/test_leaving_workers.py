"""Workers that leave, restart or change, and what remains of them."""

from __future__ import annotations

import dataclasses
import math
import typing
import unittest

from tests.walnutpoint_scheduler.estimates import test_observed
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import estimates

COUNT = 30
GENERATIONS = 60


def _entry(number: int, **changes: typing.Any) -> cell.ListedWorker:
    return dataclasses.replace(test_observed.labelled(number), **changes)


def _observe(
    run_times: estimates.ObservedRunTimes,
    worker: cell.ListedWorker,
    run_s: float,
    now_s: float,
    runs: int = 1,
) -> None:
    for _ in range(runs):
        run_times.observe(worker, 'queue', 'step', 1.0, run_s, now_s)


class LeavingWorkersTest(unittest.TestCase):
    """Workers leave for good, and others come."""

    def test_records_do_not_grow(self) -> None:
        """Guards against a snapshot that holds all workers ever seen."""
        run_times = estimates.ObservedRunTimes()
        sizes = []
        for generation in range(GENERATIONS):
            workers = [
                _entry(
                    number,
                    worker_id=f'worker-{generation}-{number}',
                    address=f'10.0.{generation}.{number}:1',
                )
                for number in range(COUNT)
            ]
            for worker in workers:
                _observe(run_times, worker, 1.0, generation, runs=3)
            run_times.refresh(generation)
            for worker in workers:
                run_times.slowdown(worker)
            snapshot = run_times.changed_snapshot()
            assert snapshot is not None
            sizes.append(len(estimates.encode_snapshot(snapshot)))
            self.assertEqual(COUNT, len(run_times._slowdowns))
            for worker in workers:
                run_times.forget(worker.worker_id)
        self.assertLess(sizes[-1], sizes[0] * 1.5)

    def test_pool_is_not_mixed_once_slow_workers_left(self) -> None:
        """Guards against placement by the speeds of workers that left."""
        load = test_observed.Load(1)
        load.run(8.0)
        self.assertTrue(load.run_times.is_mixed('pool'))
        for number in range(0, test_observed.WORKERS, 3):
            load.run_times.forget(load.workers[number].worker_id)
        load.run_times.refresh(load.now_s + 1.0)
        self.assertFalse(load.run_times.is_mixed('pool'))

    def test_restored_workers_that_left_are_dropped(self) -> None:
        """Guards against estimates passed on from term to term for good."""
        load = test_observed.Load(1)
        load.run(8.0)
        before = load.run_times.changed_snapshot()
        assert before is not None
        run_times = estimates.ObservedRunTimes()
        run_times.restore(estimates.encode_snapshot(before))
        listed = {worker.worker_id for worker in load.workers[1::3]}
        snapshot = run_times.changed_snapshot(listed)
        assert snapshot is not None
        self.assertEqual(listed, snapshot.pools['pool'].workers.keys())
        self.assertEqual((('a',),), snapshot.pools['pool'].labels)
        run_times.retain(listed)
        run_times.refresh(1.0)
        self.assertFalse(run_times.is_mixed('pool'))
        self.assertEqual(len(listed), len(run_times._slowdowns))

    def test_group_outlives_its_workers(self) -> None:
        """Guards against learning anew after a restart of all workers."""
        load = test_observed.Load(1)
        load.run(8.0)
        for number, worker in enumerate(load.workers):
            load.run_times.forget(worker.worker_id)
            restarted = dataclasses.replace(worker, address=f'other-{number}')
            load.workers[number] = restarted
            load.slowdown(number)
        load.run_times.refresh(load.now_s + 1.0)
        ratio = load.slowdown(0) / load.slowdown(1) / test_observed.SLOWDOWN
        self.assertLess(abs(math.log(ratio)), math.log(1.15))


class RestartedWorkersTest(unittest.TestCase):
    """A worker restarts under the same id and labels."""

    def _level_after(self, *, is_forgotten: bool, is_listed: bool) -> float:
        """Return a worker's slowdown after 32 slow runs and some as usual."""
        run_times = estimates.ObservedRunTimes()
        workers = [
            _entry(number, labels=(), born_ms=1000) for number in range(12)
        ]
        for now_s in range(40):
            for number, worker in enumerate(workers):
                run_s = 3.0 if number == 0 else 1.0
                _observe(run_times, worker, run_s, now_s)
            run_times.refresh(now_s)
        self.assertGreater(run_times.slowdown(workers[0]), 2.0)
        if is_forgotten:
            run_times.forget(workers[0].worker_id)
        restarted = workers[0]
        if is_listed:
            restarted = dataclasses.replace(restarted, born_ms=2000)
        _observe(run_times, restarted, 1.0, 41.0, runs=12)
        run_times.refresh(42.0)
        return run_times.slowdown(restarted)

    def test_former_incarnation_has_little_weight(self) -> None:
        """Guards against a repaired worker that stays slow for 32 runs."""
        self.assertGreater(
            self._level_after(is_forgotten=False, is_listed=False), 1.5
        )
        for forgotten, listed in ((False, True), (True, False), (True, True)):
            with self.subTest(forgotten=forgotten, listed=listed):
                slowdown = self._level_after(
                    is_forgotten=forgotten, is_listed=listed
                )
                self.assertLess(slowdown, 1.15)


class ChangedEntriesTest(unittest.TestCase):
    """A worker's entry changes under the same id."""

    def test_changed_entry_has_its_own_slowdown(self) -> None:
        """Guards against the slowdown of former labels or another pool."""
        load = test_observed.Load(1)
        load.run(8.0)
        run_times = load.run_times
        slow = load.workers[0]
        bound = math.sqrt(test_observed.SLOWDOWN)
        heartbeat = dataclasses.replace(slow, clock_ms=slow.clock_ms + 1)
        for changes, is_slow in (
            ({}, True),
            ({'labels': ('a', slow.rack)}, False),
            ({'labels': slow.labels}, True),
            ({'pool': 'other'}, False),
        ):
            with self.subTest(changes=changes):
                entry = dataclasses.replace(heartbeat, **changes)
                for _ in range(2):
                    slowdown = run_times.slowdown(entry)
                    self.assertEqual(is_slow, slowdown > bound)
        self.assertNotIn(slow.worker_id, run_times._pools['pool'].workers)
