"""Tasks that crash every worker they start on."""

from __future__ import annotations

import asyncio
import collections.abc
import unittest

import anyio

from tests.walnutpoint_scheduler import harness
from walnutpoint_model import crashes
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports

WORKERS = 12
JOBS = 150
JOB_GAP_S = 0.1
# After the third crash a task may be started twice more.
STARTS_MAX = 5
JUST_STARTED_S = 0.01
# More than four leases and the pauses between.
CUT_S = 30.0
# From the last heartbeat to the end of an entry.
ENTRY_LIFE_S = 4.5
LONG_CUT_S = 60.0


class CrashingTaskTest(unittest.TestCase):
    """Guards against a task that crashes one worker after another.

    Unless the losses of a task are recorded, it starts on the next worker as
    soon as the lease has expired, with its victims beside it; such a task made
    over a tenth of all urgent jobs late or lost.
    """

    # Whether workers restart under the same name.
    keeps_name = False

    def setUp(self) -> None:
        """Prepare a cell whose crashing jobs have numbers below 1000."""
        self.bed = harness.Testbed(WORKERS)
        self.crashes = crashes.Crashes(
            self.bed.fleet,
            lambda task: self.bed.run_time_s(task),
            lambda task: int(task.job_id, 16) < 1000,
            draw_restart=lambda: crashes.Restart(keeps_name=self.keeps_name),
        )

    async def _submit_all(self, *crashing: document.Job) -> None:
        """Submit jobs for 15 s, including some that crash workers."""
        for number in range(JOBS):
            self.bed.submit(harness.job(1000 + number, harness.step(6)))
            if 0 <= number - 30 < len(crashing):
                self.bed.submit(crashing[number - 30])
            await anyio.sleep(JOB_GAP_S)

    def _check(self, *crashing: document.Job) -> None:
        bed = self.bed
        for job in crashing:
            starts = [
                count
                for task, count in bed.fleet.ledger.starts.items()
                if task.job_id == job.job_id
            ]
            self.assertLessEqual(max(starts), STARTS_MAX, starts)
            self.assertEqual('failed', bed.state(job.job_id))
        for number in range(JOBS):
            job_id = f'{1000 + number:016x}'
            self.assertEqual('done', bed.state(job_id), job_id)
        self.assertEqual([], bed.fleet.ledger.violations)

    def _run(self, *crashing: document.Job) -> None:
        async def scenario() -> None:
            async with self.bed.scheduling():
                await self._submit_all(*crashing)
                await anyio.sleep(30)

        harness.run_virtual(scenario)
        self._check(*crashing)

    def test_crashing_task_is_given_up(self) -> None:
        """The job fails after at most five crashes; all others succeed."""
        self._run(harness.job(1, harness.step(1)))

    def test_state_names_the_reason(self) -> None:
        """The reason names the task and its crashes, also after a takeover."""
        crashing = harness.job(1, harness.step(1))
        answers = []

        async def scenario() -> None:
            async with self.bed.scheduling() as term:
                await self._submit_all(crashing)
                answers.append(term.state(crashing.job_id))
            async with self.bed.scheduling() as term:
                await harness.until(lambda: term.ready)
                answers.append(term.state(crashing.job_id))
                answers.append(term.state(f'{1000:016x}'))

        harness.run_virtual(scenario)
        for answer in answers[:2]:
            self.assertEqual('failed', answer.state)
            self.assertRegex(
                answer.reason, rf'{crashing.job_id}.0.0.0 crashed \d workers'
            )
        self.assertEqual('', answers[2].reason)

    def test_several_are_given_up(self) -> None:
        """Eight crashing jobs submitted within a second are distinguished."""
        self._run(*(harness.job(n, harness.step(1)) for n in range(1, 9)))

    def test_step_whose_tasks_all_crash(self) -> None:
        """Six workers lost at once do not look like a rack failure.

        Each has just started a task of the same job, which explains the loss.
        """
        self._run(harness.job(1, harness.step(6)))

    def test_gang_with_a_crashing_member(self) -> None:
        """All members run on one worker; only one of them crashes it."""
        self._run(harness.job(1, harness.step(8, gang=True)))

    def test_lasting_task_that_crashes(self) -> None:
        """Unlimited attempts do not allow unlimited crashes."""
        self._run(harness.job(1, harness.step(2, lasting=True)))

    def test_speculative_step(self) -> None:
        """A suspect gets no copy, which would crash another worker."""
        self._run(harness.job(1, harness.step(1, speculative=True)))

    def test_losses_survive_takeovers(self) -> None:
        """A takeover after each crash does not reset the count."""
        crashing = harness.job(1, harness.step(1))
        task = ports.TaskName(crashing.job_id, 0, 0, 0)

        async def scenario() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._submit_all, crashing)
                for seen in range(1, 8):
                    async with self.bed.scheduling():
                        with anyio.move_on_after(12):
                            await harness.until(
                                lambda seen=seen: (
                                    self.crashes.crashed_by[task] >= seen
                                )
                            )
                            await anyio.sleep(1)
            async with self.bed.scheduling():
                await anyio.sleep(30)

        harness.run_virtual(scenario)
        self._check(crashing)

    def _lose_schedulers(
        self,
        terms: int,
        others: int,
        gap_s: float = 0.3,
        settle_s: float = 40.0,
    ) -> None:
        """Lose each scheduler with the crashed worker and some others."""
        crashing = harness.job(1, harness.step(1))
        task = ports.TaskName(crashing.job_id, 0, 0, 0)

        async def scenario() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._submit_all, crashing)
                for seen in range(1, terms + 1):
                    async with self.bed.scheduling():
                        with anyio.move_on_after(8):
                            await harness.until(
                                lambda seen=seen: (
                                    self.crashes.crashed_by[task] >= seen
                                )
                            )
                        for name in sorted(self.bed.fleet.workers)[:others]:
                            self.crashes.crash(name)
                    await anyio.sleep(gap_s)
            async with self.bed.scheduling():
                await anyio.sleep(settle_s)

        harness.run_virtual(scenario)
        self._check(crashing)

    def test_crash_during_a_takeover_counts(self) -> None:
        """Guards against ignoring crashes that end the scheduler as well.

        The next one never contacted those incarnations and does not know the
        ages of their runs; it must not take the three losses for a rack
        failure.
        """
        self._lose_schedulers(terms=7, others=2)

    def test_crashes_without_proof_are_bounded(self) -> None:
        """Guards against a sixth start of a task that crashes its workers.

        The first losses look like rack failures during takeovers, so that the
        task is on probation only from the fourth or fifth start on.
        """
        self._lose_schedulers(terms=4, others=4)

    def test_crashes_at_less_than_even_odds(self) -> None:
        """Guards against a sixth start where five losses weigh little."""
        self._lose_schedulers(terms=7, others=4)

    def test_crashes_of_forgotten_workers_are_bounded(self) -> None:
        """Guards against losses that no term confirms.

        Each takeover comes after the worker's entry has expired, so that the
        term does not know the address at which another one answers.
        """
        self._lose_schedulers(terms=7, others=2, gap_s=6.0, settle_s=60.0)

    def test_cut_that_heals_clears_its_tasks(self) -> None:
        """Workers that answer again after a cut count against no task.

        A task starts on worker after worker just as each is cut off for
        longer than its lease, which looks like a crash until it answers.
        """
        victim = harness.job(1000, harness.step(1, estimate_ms=20_000))
        self.bed.run_time_s = lambda _task: 20.0

        async def scenario() -> None:
            bed = self.bed
            async with bed.scheduling() as term:
                bed.submit(victim)
                for _ in range(5):
                    await harness.until(lambda: bool(bed.fleet.ledger.running))
                    name = next(iter(bed.fleet.ledger.running.values()))
                    bed.fleet.workers[name].is_cut_off = True
                    await anyio.sleep(4)
                    bed.fleet.workers[name].is_cut_off = False
                    await anyio.sleep(1)
                await anyio.sleep(25)
                self.assertEqual('', term.reason)
            self.assertEqual('done', bed.state(victim.job_id))
            self.assertEqual([], bed.fleet.ledger.violations)

        harness.run_virtual(scenario)


class KeptNameTest(CrashingTaskTest):
    """Guards against counting all crashes of one name as one."""

    keeps_name = True


class UnprovenLossTest(unittest.TestCase):
    """A job whose task lost workers for other causes is never failed."""

    def setUp(self) -> None:
        self.bed = harness.Testbed(WORKERS)
        self.bed.run_time_s = lambda _task: 20.0
        self.job = harness.job(1000, harness.step(1, estimate_ms=20_000))
        self.crashes = crashes.Crashes(
            self.bed.fleet,
            lambda task: self.bed.run_time_s(task),
            lambda _task: False,
        )

    def _lose_workers(
        self,
        count: int,
        lose: collections.abc.Callable[[str], None],
        settle_s: float = 40.0,
    ) -> None:
        """Lose the task's worker just after its start, count times."""
        bed = self.bed

        async def scenario() -> None:
            async with bed.scheduling():
                bed.submit(self.job)
                for started in range(1, count + 1):
                    await harness.until(
                        lambda started=started: (
                            bed.fleet.ledger.starts.total() == started
                        )
                    )
                    await anyio.sleep(JUST_STARTED_S)
                    lose(next(iter(bed.fleet.ledger.running.values())))
                await anyio.sleep(settle_s)

        harness.run_virtual(scenario)
        self.assertEqual('done', bed.state(self.job.job_id))

    def test_workers_that_are_cut_off(self) -> None:
        """Guards against a failed job although no worker has crashed.

        None answers again before the last was given up.
        """

        def cut_off(name: str) -> None:
            worker = self.bed.fleet.workers[name]
            worker.is_cut_off = True
            loop = asyncio.get_running_loop()
            loop.call_later(CUT_S, setattr, worker, 'is_cut_off', False)

        self._lose_workers(4, cut_off)

    def test_workers_without_entries_for_a_minute(self) -> None:
        """Guards against taking an expired entry for a crash.

        Each worker is cut off from the scheduler and from the store, and
        answers again after it would have been forgotten.
        """

        def cut_off(name: str) -> None:
            worker = self.bed.fleet.workers[name]
            worker.is_cut_off = True
            loop = asyncio.get_running_loop()
            loop.call_later(
                ENTRY_LIFE_S,
                self.bed.fleet.expire_entry,
                name,
                LONG_CUT_S - ENTRY_LIFE_S,
            )
            loop.call_later(LONG_CUT_S, setattr, worker, 'is_cut_off', False)

        self._lose_workers(5, cut_off, settle_s=120.0)

    def test_workers_that_crash_by_chance(self) -> None:
        """Guards against a failed job after two coincidences."""
        self._lose_workers(2, self.crashes.crash)


class RackTest(unittest.TestCase):
    """The loss of a rack during a takeover counts against no task."""

    def test_tasks_restart_within_a_second(self) -> None:
        """Guards against isolating all tasks of a lost rack.

        Eight workers with three tasks each crash with the scheduler. The next
        one can't tell when each was lost; as suspects, the tasks would start
        three at a time and take seconds.
        """
        bed = harness.Testbed(24)
        bed.run_time_s = lambda _task: 20.0
        beside = crashes.Crashes(
            bed.fleet,
            lambda task: bed.run_time_s(task),
            lambda _task: False,
            draw_restart=lambda: crashes.Restart(0.5),
        )

        async def scenario() -> None:
            async with bed.scheduling():
                for number in range(24):
                    step = harness.step(
                        3, cpu_millicores=4000, estimate_ms=20_000
                    )
                    bed.submit(harness.job(number, step))
                await harness.until(
                    lambda: len(bed.fleet.ledger.running) == 24 * 3
                )
                await anyio.sleep(3)
                for number in range(8):
                    beside.crash(f'worker-{number}')
            await anyio.sleep(1)
            async with bed.scheduling():
                await harness.until(
                    lambda: len(bed.fleet.ledger.running) == 24 * 3, 1.0
                )
            self.assertEqual([], bed.fleet.ledger.violations)

        harness.run_virtual(scenario)
