"""Hopeless jobs, and only those, are recognized by the backlog."""

from __future__ import annotations

import random
import typing
import unittest

from tests.walnutpoint_scheduler.admission import fluid
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler.admission import _decision

_ERROR = 1.9
_ERRORS: dict[str, typing.Callable[[random.Random], float]] = {
    'exact': lambda _: 1.0,
    'independent': lambda source: _ERROR ** source.uniform(-1.0, 1.0),
    'all too short': lambda _: _ERROR,
    'all too long': lambda _: 1 / _ERROR,
}
_RATE = 0.6


def _overload(
    error: typing.Callable[[random.Random], float],
) -> list[fluid.Job]:
    """Return owed jobs that fit, and far more of one account beyond it."""
    owed = fluid.batch(1, 60.0, 0.8 * _RATE, error)
    return owed + fluid.batch(2, 60.0, 4.0 * _RATE, error, is_owed=False)


class OverloadTest(unittest.TestCase):
    """A pool that is offered several times what it serves for a minute."""

    def test_refused_jobs_would_have_got_nothing(self) -> None:
        """Guards against refusing jobs that would have been useful."""
        for name, error in _ERRORS.items():
            with self.subTest(error=name):
                jobs = _overload(error)
                accepted, _ = fluid.replay(jobs, lambda _: _RATE, None)
                _, refused = fluid.replay(
                    jobs, lambda _: _RATE, lambda: fluid.STEP_S
                )
                nothing = sum(not accepted[n].is_useful for n in refused)
                self.assertTrue(refused)
                self.assertGreaterEqual(nothing, 0.9 * len(refused))

    def test_hosts_with_the_same_figure_do_not_refuse_more(self) -> None:
        """Guards against hosts that add up their refusals.

        Many decide by figures of up to 2 s ago, one by the newest.
        """
        jobs = _overload(_ERRORS['independent'])
        source = random.Random(3)  # noqa: S311
        _, alone = fluid.replay(jobs, lambda _: _RATE, lambda: fluid.STEP_S)
        _, refused = fluid.replay(
            jobs, lambda _: _RATE, lambda: source.uniform(0.0, 2.0)
        )
        self.assertTrue(refused)
        self.assertLessEqual(len(refused), 1.1 * len(alone))

    def test_load_that_fits_is_accepted(self) -> None:
        """Guards against refusals while a burst can still be served."""
        jobs = fluid.batch(1, 60.0, 0.9 * _RATE) + fluid.batch(2, 5.0, 1.0)
        _, refused = fluid.replay(jobs, lambda _: _RATE, lambda: fluid.STEP_S)
        self.assertFalse(refused)


class OrderTest(unittest.TestCase):
    """Only work that certainly precedes a job counts."""

    def _is_hopeless(
        self, *rows: _messages.WaitingWork, is_owed: bool = True
    ) -> bool:
        backlog = _messages.PoolBacklog('pool', 2, 1, 0, 0, _RATE, rows)
        # Useful for 54 s; its size class is 15.
        arrival = _decision.Arrival(7.6, 0.25, 2.2, 1.2, is_owed)
        return _decision.forecast(arrival, backlog, 0.5).is_hopeless

    def test_jobs_that_precede_it_make_it_hopeless(self) -> None:
        row = _messages.WaitingWork
        for rows, is_owed, is_hopeless in (
            ([row(True, False, 11, 400, 40_000)], True, True),
            ([row(True, False, 14, 400, 40_000)], True, False),
            ([row(True, False, 17, 400, 40_000)], True, False),
            ([row(True, True, 14, 400, 40_000)], True, True),
            ([row(True, True, 17, 400, 40_000)], True, False),
            ([row(False, True, 11, 400, 40_000)], True, False),
            ([row(True, False, 17, 400, 40_000)], False, True),
            ([row(True, False, 11, 400, 28_000)], True, False),
            ([row(True, False, 11, 1, 40_000)], True, False),
        ):
            with self.subTest(rows=rows, is_owed=is_owed):
                self.assertEqual(
                    is_hopeless, self._is_hopeless(*rows, is_owed=is_owed)
                )
