"""Weighs the loss of a worker against the tasks that ran there."""

from __future__ import annotations

import collections.abc
import math
import unittest

import msgspec

from walnutpoint_scheduler import _crash_odds
from walnutpoint_scheduler import _incarnation

STABLE_RATE = 0.001
UNSTABLE_RATE = 0.05
# Losses of a task with odds of 100:1 to be a culprit.
LIKELY = [_crash_odds.Loss('worker-9', math.log(100_000), 0.01, 0.03)]


def _run(
    age_s: float,
    losses: collections.abc.Sequence[_crash_odds.Loss] = (),
    background: float = STABLE_RATE,
) -> _crash_odds.LostRun:
    """Return a run that was lost within 20 ms of an age."""
    return _crash_odds.LostRun(losses, age_s, age_s + 0.02, background)


def _lose(
    losses: list[_crash_odds.Loss],
    number: int,
    *others: _crash_odds.LostRun,
    is_over: bool = True,
    on_probation: bool = True,
    **fields,
) -> list[_crash_odds.Loss]:
    """Return a task's losses after one more, 10 ms after its start."""
    run = _run(0.01, losses, **fields)
    weight = _crash_odds.weigh([run, *others])[0][0]
    loss = _crash_odds.Loss(
        f'worker-{number}',
        weight,
        0.01,
        0.03,
        on_probation=on_probation,
        is_over=is_over,
        address=f'address-{number}',
    )
    return _crash_odds.add_loss(losses, loss)


class WeighTest(unittest.TestCase):
    """A lost worker had several runs, one of which had just started."""

    def test_youngest_run_has_greatest_weight(self) -> None:
        weights, _ = _crash_odds.weigh([_run(0.01), _run(0.3), _run(2.0)])
        self.assertEqual(sorted(weights, reverse=True), weights)
        self.assertGreater(weights[0] - weights[2], math.log(10))

    def test_likely_culprit_clears_other_runs(self) -> None:
        """A task that has crashed workers alone explains the next loss."""
        alone, _ = _crash_odds.weigh([_run(0.1)])
        beside, _ = _crash_odds.weigh([_run(0.1), _run(0.01, losses=LIKELY)])
        self.assertGreater(alone[0], math.log(100))
        self.assertLess(beside[0], math.log(2))

    def test_old_run_has_negative_weight(self) -> None:
        """A run of one minute is unlikely to have crashed its worker."""
        weights, _ = _crash_odds.weigh([_run(60.0, background=UNSTABLE_RATE)])
        self.assertLess(weights[0], 0.0)

    def test_crash_at_another_age_weighs_less(self) -> None:
        """A task that crashed a worker at its start does so at a start."""
        once = [_crash_odds.Loss('worker-0', 5.0, 0.0, 0.02)]
        same, _ = _crash_odds.weigh([_run(0.01, once)])
        other, _ = _crash_odds.weigh([_run(0.5, once)])
        unknown, _ = _crash_odds.weigh([_run(0.5)])
        self.assertGreater(same[0], unknown[0])
        self.assertLess(other[0], unknown[0])

    def test_unexplained_share(self) -> None:
        """A loss with old runs only counts towards the background rate."""
        _, without = _crash_odds.weigh([_run(30.0), _run(60.0)])
        _, beside_suspect = _crash_odds.weigh([_run(0.01, losses=LIKELY)])
        self.assertGreater(without, 0.9)
        self.assertLess(beside_suspect, 0.01)

    def test_loss_without_runs(self) -> None:
        self.assertEqual(([], 1.0), _crash_odds.weigh([]))


class GiveUpTest(unittest.TestCase):
    """One task starts alone on worker after worker."""

    def test_quiet_cell_needs_few_losses(self) -> None:
        """Three losses suffice where workers are rarely lost."""
        losses = _lose([], 0, _run(0.2), _run(0.5), _run(1.0))
        self.assertTrue(_crash_odds.is_suspect(losses))
        self.assertFalse(_crash_odds.is_culprit(losses))
        losses = _lose(_lose(losses, 1), 2)
        self.assertTrue(_crash_odds.is_culprit(losses))

    def test_troubled_cell_needs_no_more_than_five(self) -> None:
        """A cell that often loses workers needs more losses."""
        losses: list[_crash_odds.Loss] = []
        for number in range(2):
            losses = _lose(losses, number, background=UNSTABLE_RATE)
        self.assertFalse(_crash_odds.is_culprit(losses))
        for number in range(2, 5):
            losses = _lose(losses, number, background=UNSTABLE_RATE)
        self.assertTrue(_crash_odds.is_culprit(losses))

    def test_victim_of_rack_losses_is_not_given_up(self) -> None:
        """A third of the cell is lost five times, each with a long task."""
        losses: list[_crash_odds.Loss] = []
        for number in range(5):
            run = _run(3.0, losses, background=0.6)
            weight = _crash_odds.weigh([run])[0][0]
            loss = _crash_odds.Loss(
                f'worker-{number}',
                weight,
                3.0,
                3.02,
                on_probation=True,
                is_over=True,
            )
            losses = _crash_odds.add_loss(losses, loss)
        self.assertFalse(_crash_odds.is_culprit(losses))

    def test_unlikely_culprit_is_not_given_up_for_five_losses(self) -> None:
        """Guards against failing a lasting task in an unstable cell."""
        weights = (0.0, 3.22, -0.1, -0.32, 2.4)
        losses = [
            _crash_odds.Loss(
                f'worker-{n}',
                weight,
                1.0,
                1.5,
                on_probation=True,
                is_over=True,
            )
            for n, weight in enumerate(weights)
        ]
        self.assertLess(_crash_odds.odds(losses), 1.0)
        self.assertFalse(_crash_odds.is_culprit(losses))

    def test_two_crashes_prove_nothing(self) -> None:
        """Guards against failing a job for two coincidences.

        At the first one the task was not suspected yet.
        """
        losses = _lose(_lose([], 0, on_probation=False), 1)
        self.assertGreater(_crash_odds.odds(losses), 1000.0)
        self.assertFalse(_crash_odds.is_culprit(losses))

    def test_five_crashes_need_no_proof(self) -> None:
        """Guards against a sixth start where proofs come late."""
        losses: list[_crash_odds.Loss] = []
        for number in range(4):
            losses = _lose(losses, number, on_probation=False)
        self.assertFalse(_crash_odds.is_culprit(losses))
        reachable = _lose(losses, 4, is_over=False)
        self.assertFalse(_crash_odds.is_culprit(reachable))
        losses = _lose(losses, 4)
        self.assertTrue(_crash_odds.is_culprit(losses))

    def test_unreachable_workers_prove_nothing(self) -> None:
        """Guards against failing a job although no worker crashed."""
        losses: list[_crash_odds.Loss] = []
        for number in range(8):
            losses = _lose(losses, number, is_over=False)
        self.assertFalse(_crash_odds.is_culprit(losses))

    def test_unreachable_workers_add_no_odds(self) -> None:
        """Guards against proofs without weight beside odds without proof."""
        losses = [
            _crash_odds.Loss('worker-0', 9.0, 0.0, 0.1),
            _crash_odds.Loss('worker-1', 9.0, 0.0, 0.1),
            *(
                _crash_odds.Loss(
                    f'worker-{number}',
                    0.1,
                    0.0,
                    0.1,
                    on_probation=True,
                    is_over=True,
                )
                for number in (2, 3)
            ),
        ]
        self.assertGreater(_crash_odds.odds(losses), 1000.0)
        self.assertFalse(_crash_odds.is_culprit(losses))

    def test_confirmed_crash_counts(self) -> None:
        """A worker that was unreachable turns out to have crashed."""
        losses = _lose(_lose([], 0, on_probation=False), 1)
        losses = _lose(losses, 2, is_over=False)
        self.assertFalse(_crash_odds.is_culprit(losses))
        successor = _incarnation.Incarnation('worker-2~1')
        losses = _crash_odds.confirm(losses, successor, 'elsewhere')
        self.assertFalse(_crash_odds.is_culprit(losses))
        losses = _crash_odds.confirm(losses, successor, 'address-2')
        self.assertTrue(_crash_odds.is_culprit(losses))

    def test_worker_that_answers_again_confirms_nothing(self) -> None:
        """Guards against taking a cut that has healed for a crash."""
        lost = _crash_odds.Loss('worker-0', 1.0, 0.0, 0.1, 0, address='a')
        same = _incarnation.Incarnation('worker-0', 7)
        self.assertEqual([lost], _crash_odds.confirm([lost], same, 'a'))

    def test_incarnation_counts_once(self) -> None:
        """The same loss, recorded again by another scheduler, is ignored."""
        losses = _lose([], 0)
        self.assertEqual(1, len(_lose(losses, 0)))

    def test_number_of_losses_is_bounded(self) -> None:
        losses: list[_crash_odds.Loss] = []
        for number in range(40):
            losses = _lose(losses, number)
        self.assertLessEqual(len(losses), 8)


class BackgroundRateTest(unittest.TestCase):
    """The background rate follows the losses and decays."""

    def test_rate_rises_and_decays(self) -> None:
        background = _crash_odds.BackgroundRate(0.0)
        for second in range(60):
            background.observe(24, float(second))
            background.add(1.0)
        rate = background.rate()
        self.assertAlmostEqual(1 / 24, rate, delta=0.005)
        background.observe(24, 1200.0)
        self.assertLess(background.rate(), rate / 10)


class DamagedLossTest(unittest.TestCase):
    """A damaged stored loss is rejected."""

    def test_invalid_weight_or_age(self) -> None:
        for row in (
            ['worker-0', math.inf, 0.1, 0.1],
            ['worker-0', math.nan, 0.1, 0.1],
            ['worker-0', 1.0, -1.0, 0.1],
            ['worker-0', 1.0, 0.1, math.inf],
            ['worker-0', 1.0, 0.2, 0.1],
            ['worker-0', 'much', 0.1, 0.1],
            [7, 1.0, 0.1, 0.1],
            'worker-0',
        ):
            with self.subTest(row=row), self.assertRaises(msgspec.DecodeError):
                msgspec.msgpack.decode(
                    msgspec.msgpack.encode(row), type=_crash_odds.Loss
                )
