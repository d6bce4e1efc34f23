"""Estimates from the runs of workers of two speeds.

The load is that of the measured cell: 176 workers, a third at 1.9 times,
declared times off by a factor of up to 1.9, and log-normal tasks of spread
0.5, of which 3% are seven times as large.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq
import math
import random
import unittest

from walnutpoint_model import workers
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler import estimates

WORKERS = 176
SLOWDOWN = 1.9
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
STEP = document.Step(10, estimate_ms=800)
# Urgent and batch steps per second, with their tasks and typical run time.
QUEUES = (('urgent', 23.0, 10, 0.8), ('batch', 6.0, 20, 4.0))
# When the progress of a task shows its run time: the first report.
SEEN_S = 0.4


def listed(number: int, kind: str = 'a') -> cell.ListedWorker:
    """Return a worker of a kind."""
    entry = workers.listed_worker(number)
    return dataclasses.replace(entry, labels=(kind, entry.rack))


def labelled(number: int) -> cell.ListedWorker:
    """Return a worker of the measured cell, of which a third are slow."""
    return listed(number, 'a' if number % 3 else 'b')


def true_slowdown(number: int) -> float:
    """Return the slowdown of a worker of the measured cell."""
    return 1.0 if number % 3 else SLOWDOWN


class Load:
    """Feeds estimates with the runs of steps placed at random."""

    def __init__(
        self,
        seed: int,
        entry: collections.abc.Callable[[int], cell.ListedWorker] = labelled,
        slowdown: collections.abc.Callable[[int], float] = true_slowdown,
        error: float = 1.9,
        workers_count: int = WORKERS,
    ) -> None:
        self.run_times = estimates.ObservedRunTimes()
        self.workers = [entry(number) for number in range(workers_count)]
        self._slowdown = slowdown
        self._error = math.log(error)
        self._random = random.Random(seed)  # noqa: S311
        self.now_s = 0.0
        self._steps = 0
        # Observations of tasks that run at the end of a period.
        self._seen: list[tuple[float, int, str, str, float, float]] = []

    def run(
        self, duration_s: float, slow: collections.abc.Collection[int] = ()
    ) -> None:
        """Run steps; the workers in slow are at a fifth of their speed."""
        end_s = self.now_s + duration_s
        for queue, rate, width, typical_s in QUEUES:
            at_s = self.now_s
            while (at_s := at_s + self._random.expovariate(rate)) < end_s:
                self._start(queue, width, typical_s, at_s, slow)
        while self._seen and self._seen[0][0] < end_s:
            at_s, number, queue, key, declared_s, run_s = heapq.heappop(
                self._seen
            )
            self.run_times.observe(
                self.workers[number],
                queue,
                key,
                declared_s,
                run_s,
                at_s,
                is_slow=number in slow and at_s > self.now_s + 1.0,
            )
            self.run_times.refresh(at_s)
        self.now_s = end_s
        self.run_times.refresh(end_s)

    def _start(
        self,
        queue: str,
        width: int,
        typical_s: float,
        at_s: float,
        slow: collections.abc.Collection[int],
    ) -> None:
        self._steps += 1
        step_s = typical_s * self._random.lognormvariate(0.0, 0.5)
        error = self._random.uniform(-self._error, self._error)
        for _ in range(width):
            number = self._random.randrange(len(self.workers))
            size_s = step_s * self._random.lognormvariate(0.0, 0.5)
            if self._random.random() < TAIL_SHARE:
                size_s *= TAIL_FACTOR
            run_s = size_s * self._slowdown(number)
            if number in slow:
                run_s *= 5.0
            seen_s = at_s + min(run_s, SEEN_S)
            declared_s = step_s * math.exp(error)
            key = f'{queue}.{self._steps}'
            heapq.heappush(
                self._seen, (seen_s, number, queue, key, declared_s, run_s)
            )

    def slowdown(self, number: int) -> float:
        """Return the estimated slowdown of a worker."""
        return self.run_times.slowdown(self.workers[number])


class LabelledWorkersTest(unittest.TestCase):
    """The labels of workers tell their groups apart."""

    def test_groups_are_known_after_five_seconds(self) -> None:
        """Guards against urgent tasks on workers not yet known as slow."""
        for seed in range(5):
            with self.subTest(seed=seed):
                load = Load(seed)
                load.run(5.0)
                self.assertTrue(load.run_times.is_mixed('pool'))
                bound = math.sqrt(SLOWDOWN)
                for number in range(WORKERS):
                    self.assertEqual(
                        number % 3 == 0, load.slowdown(number) > bound, number
                    )
                for kind, expected in (('a', 1.0), ('b', SLOWDOWN)):
                    new = listed(900, kind)
                    ratio = load.run_times.slowdown(new) / expected
                    self.assertLess(abs(math.log(ratio)), math.log(1.15))
                    load.run_times.forget(new.worker_id)

    def test_groups_are_usable_after_two_seconds(self) -> None:
        """Guards against estimates that come after a short burst."""
        for seed in range(5):
            with self.subTest(seed=seed):
                load = Load(seed)
                load.run(2.0)
                self.assertTrue(load.run_times.is_mixed('pool'))
                new = listed(900, 'b')
                self.assertGreater(
                    load.run_times.slowdown(new), math.sqrt(SLOWDOWN)
                )

    def test_slow_seconds_leave_no_trace(self) -> None:
        """Guards against workers avoided long after a short disturbance."""
        load = Load(1)
        load.run(8.0)
        slow = set(range(1, WORKERS, 15))
        before = {number: load.slowdown(number) for number in slow}
        load.run(6.0, slow)
        load.run(4.0)
        for number in slow:
            change = math.log(load.slowdown(number) / before[number])
            self.assertLess(abs(change), math.log(1.25), number)

    def test_lasting_slowness_is_learned(self) -> None:
        """Guards against a worker that is taken for usual for good."""
        load = Load(1)
        load.run(5.0)
        load.run(40.0, {1, 2, 4})
        for number in (1, 2, 4):
            self.assertGreater(load.slowdown(number), 2.5)


class OtherPoolsTest(unittest.TestCase):
    """Pools whose workers are alike, or differ without labels."""

    def test_equal_workers_never_differ(self) -> None:
        """Guards against other placement where all workers are alike."""
        for seed in range(3):
            for count in (12, WORKERS):
                with self.subTest(seed=seed, count=count):
                    load = Load(
                        seed, slowdown=lambda _: 1.0, workers_count=count
                    )
                    for _ in range(30):
                        load.run(1.0)
                        self.assertFalse(load.run_times.is_mixed('pool'))

    def test_unlabelled_workers_are_told_apart(self) -> None:
        """Guards against estimates that depend on labels alone."""
        load = Load(3, entry=listed)
        load.run(20.0)
        self.assertTrue(load.run_times.is_mixed('pool'))
        wrong = sum(
            (load.slowdown(number) > math.sqrt(SLOWDOWN)) != (not number % 3)
            for number in range(WORKERS)
        )
        self.assertLess(wrong, 0.05 * WORKERS)

    def test_one_very_slow_worker_hides_no_group(self) -> None:
        """Guards against a pool split at its slowest worker only."""
        load = Load(
            1,
            slowdown=lambda n: 10.0 if n == 1 else true_slowdown(n),
            workers_count=20,
        )
        load.run(8.0)
        for _ in range(60):
            load.run(1.0)
            self.assertTrue(load.run_times.is_mixed('pool'), load.now_s)


class SizesTest(unittest.TestCase):
    """The error of declared times."""

    def test_right_declarations_are_kept(self) -> None:
        """Guards against estimates worse than the declared times."""
        load = Load(2, error=1.0)
        load.run(10.0)
        for queue in ('urgent', 'batch'):
            task_s = load.run_times.task_s(queue, 'new', STEP)
            self.assertAlmostEqual(STEP.expected_s, task_s, delta=0.05)

    def test_errors_of_queue_and_step_are_learned(self) -> None:
        """Guards against the declared times of a queue that is always off."""
        load = Load(4)
        run_times = load.run_times
        for number in range(60):
            run_times.observe(
                load.workers[number],
                'queue',
                f'step-{number // 6}',
                1.0,
                1.7,
                number / 20.0,
            )
            run_times.refresh(number / 20.0)
        self.assertAlmostEqual(
            1.7, run_times.task_s('queue', 'new', STEP) / 0.8, delta=0.1
        )
        for number in range(20):
            run_times.observe(
                load.workers[number], 'queue', 'own', 1.0, 0.6, 5.0
            )
        self.assertLess(run_times.task_s('queue', 'own', STEP) / 0.8, 0.8)
        lasting = document.Step(1, lasting=True)
        self.assertEqual(math.inf, run_times.task_s('queue', 'own', lasting))
