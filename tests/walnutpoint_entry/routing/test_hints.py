"""Tests of what is known of peers' free slots."""

from __future__ import annotations

import unittest

from tests.walnutpoint_entry.routing import fakes
from tests.walnutpoint_entry import samples
from walnutpoint_entry import routing

_TWO, _THREE = samples.members(3)[1:]


class HintsTest(unittest.TestCase):
    """Peers 2 and 3."""

    def setUp(self) -> None:
        self.hints = routing.Hints()
        fakes.hear(self.hints, 2, 1)
        fakes.hear(self.hints, 3, 2)

    def test_freest_first_and_each_slot_once(self) -> None:
        chosen = []
        while (peer := self.hints.freest()) and len(chosen) < 9:
            self.hints.spend(peer)
            chosen.append(peer)
        self.assertCountEqual([_TWO, _THREE, _THREE], chosen)
        self.hints.spend(_TWO)
        self.assertEqual(0, self.hints.free_elsewhere())

    def test_excluded_full_and_forgotten_are_not_chosen(self) -> None:
        excluded = frozenset({_THREE.address})
        self.assertEqual(_TWO, self.hints.freest(excluded))
        self.hints.observe_free(_THREE, 0)
        self.assertEqual(_TWO, self.hints.freest())
        self.hints.forget(_TWO)
        self.assertIsNone(self.hints.freest())
        self.hints.observe_free(_TWO, 5)
        self.assertIsNone(self.hints.freest())

    def test_stopping_peer_has_no_free_slots(self) -> None:
        self.hints.observe(
            samples.state(_THREE, free_slots=9, is_stopping=True)
        )
        self.assertEqual(_TWO, self.hints.freest())

    def test_longest_backlog_first(self) -> None:
        self.assertEqual((), self.hints.backlogged())
        self.hints.observe(samples.state(_TWO, backlog=1))
        self.hints.observe(samples.state(_THREE, backlog=2))
        self.assertEqual((_THREE, _TWO), self.hints.backlogged())
