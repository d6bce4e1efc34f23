"""Useless steps leave scarce advice requests to useful ones."""

from __future__ import annotations

import typing
import unittest

import msgspec

from tests.walnutpoint_scheduler import harness
from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import admission

_NOW_MS = 1e6
_OTHER_POOL = msgspec.structs.replace(harness.ADVISED, pool='other')
_URGENT = msgspec.structs.replace(
    harness.ADVISED,
    advice=msgspec.structs.replace(harness.ADVISED.advice, decide_s=0.03),
)


def _queued(
    number: int,
    accepted_ms: int = int(_NOW_MS),
    queue: typing.Any = harness.ADVISED,
    cause: str = '',
    placed_s: float | None = None,
    **fields: typing.Any,
) -> _placement_order.QueuedStep:
    job = harness.job(
        number,
        harness.step(2, **fields),
        queue=queue,
        accepted_ms=accepted_ms,
    )
    step = _state.JobProgress(job, queue, 0.0).occurrence(0)[0]
    step.wait_cause, step.last_placed_s = cause, placed_s
    return _placement_order.QueuedStep((2, False, 0, 0.0, ''), queue, step)


class AdviceContentionTest(unittest.TestCase):
    """A useless step of one pool beside a useful one."""

    def _is_withheld(
        self,
        useful: _placement_order.QueuedStep,
        limit: int | None = 0,
        **fields: typing.Any,
    ) -> bool:
        contention = admission.AdviceContention(
            (_queued(1, 1, **fields), useful), _NOW_MS, lambda _: limit
        )
        return bool(contention.withheld(-1.0))

    def test_step_yields_to_useful_ones_that_compete(self) -> None:
        """Guards against barring steps that delay nobody's requests."""
        for useful, limit, is_withheld in (
            (_queued(2), 0, True),
            (_queued(2), 1, False),
            (_queued(2), None, False),
            (_queued(2, queue=_OTHER_POOL), 0, False),
            (_queued(2, queue=_URGENT), 0, False),
            (_queued(2, cause='account-limit'), 0, False),
        ):
            with self.subTest(useful=useful.queue, limit=limit):
                self.assertIs(is_withheld, self._is_withheld(useful, limit))

    def test_step_that_has_begun_requests_until_its_end(self) -> None:
        """Guards against a step that may place one task per patience_s."""
        self.assertFalse(self._is_withheld(_queued(2), placed_s=0.0))

    def test_gang_may_renew_its_tickets(self) -> None:
        """Guards against capacity reserved for a gang that can't start."""
        self.assertFalse(self._is_withheld(_queued(2), gang=True))
