"""Tests of when the next table is proposed, and of what it holds."""

from __future__ import annotations

import typing
import unittest

from tests.walnutpoint_entry import manual_timer
from tests.walnutpoint_entry.ownership import fakes
from tests.walnutpoint_entry import samples
from walnutpoint_core import settings
from walnutpoint_entry import ownership
from walnutpoint_entry.ownership import _liveness
from walnutpoint_entry.ownership import _proposer
from walnutpoint_entry.ownership import _table

_SETTINGS = settings.OwnershipSettings(key_shards=2)


def _placed(
    members: tuple[_table.Member, ...], *endpoints: str, version: int = 1
) -> _table.PlacedTable:
    wanted = _table.WantedTable(members, endpoints, 2, version)
    return _table.PlacedTable(5, _table.next_table(None, wanted, 'p'))


class ProposerTest(unittest.TestCase):
    """Members 1 to 3; the endpoint b is new."""

    def _make(
        self, number: int, placed: _table.PlacedTable | None
    ) -> _proposer.Proposer:
        timer = manual_timer.ManualTimer(0.0)
        self.timer = timer
        self._liveness = _liveness.Liveness()
        if placed is not None:
            self._liveness.adopt(placed.table.members, 0.0)
        self._activity = ownership.Activity(timer, 5.0)
        proposer = _proposer.Proposer(
            samples.member(number),
            _SETTINGS,
            ownership.Control(
                typing.cast(typing.Any, fakes.MemoryStore(timer)), '/w/'
            ),
            self._liveness,
            self._activity,
        )
        proposer.take_hosts(samples.listing(2, 'a', 'b'))
        return proposer

    def test_rank_delays(self) -> None:
        placed = _placed(samples.members(3), 'a')
        proposal = self._make(1, placed).proposal(placed, 0.0)
        self.assertIsNotNone(proposal)
        self.assertEqual(5, proposal.current_revision)
        self.assertEqual(2, proposal.table.hosts_version)
        third = self._make(3, placed)
        self.assertIsNone(third.proposal(placed, 0.0))
        self.assertIsNone(third.proposal(placed, 0.59))
        self.assertIsNotNone(third.proposal(placed, 0.61))

    def test_delay_starts_anew_when_nothing_is_wanted(self) -> None:
        placed = _placed(samples.members(3), 'a')
        done = _placed(samples.members(3), 'a', 'b', version=2)
        third = self._make(3, placed)
        third.proposal(placed, 0.0)
        self.assertIsNone(third.proposal(done, 0.5))
        self.assertIsNone(third.proposal(placed, 0.7))

    def test_dead_and_leaving_members_give_their_turn_away(self) -> None:
        placed = _placed(samples.members(3), 'a')
        third = self._make(3, placed)
        self._liveness.list_challenges({samples.member(1): 8}, 1.0)
        self._liveness.hear(samples.member(2), True, 1.0)
        self.timer.advance(1.6)
        proposal = third.proposal(placed, 1.6)
        self.assertEqual((samples.member(3),), proposal.table.members)
        self.assertEqual({samples.member(1): 8}, proposal.answered)

    def test_nobody_is_silent_just_after_a_rest(self) -> None:
        """A request ends the rest of all processes.

        The last heartbeats are as old as the rest made them slow. Taken for
        silence, they would have every process challenge every other one.
        """
        placed = _placed(samples.members(3), 'a')
        proposer = self._make(1, placed)
        self._liveness.list_challenges({samples.member(2): 8}, 0.0)
        self.timer.advance(5.9)
        self._activity.touch()
        self._liveness.hear(samples.member(2), False, 4.1)
        self._liveness.hear(samples.member(3), False, 4.1)
        proposal = proposer.proposal(placed, 5.9)
        self.assertEqual(samples.members(3), proposal.table.members)
        self.timer.advance(0.7)
        proposal = proposer.proposal(placed, 6.6)
        self.assertNotIn(samples.member(2), proposal.table.members)

    def test_outsider_comes_last(self) -> None:
        placed = _placed(samples.members(2), 'a')
        joiner = self._make(9, placed)
        self.assertIsNone(joiner.proposal(placed, 0.0))
        self.assertIsNone(joiner.proposal(placed, 0.5))
        proposal = joiner.proposal(placed, 0.7)
        self.assertIn(samples.member(9), proposal.table.members)

    def test_older_host_list_never_undoes_a_newer(self) -> None:
        placed = _placed(samples.members(2), 'a', 'b', version=2)
        proposer = self._make(1, placed)
        proposer.take_hosts(samples.listing(1, 'a'))
        self.assertIsNone(proposer.proposal(placed, 0.0))
        self._liveness.hear(samples.member(3), False, 0.0)
        proposal = proposer.proposal(placed, 0.1)
        self.assertEqual(2, proposal.table.hosts_version)
        self.assertEqual(
            placed.table.holdings.keys(), proposal.table.holdings.keys()
        )

    def test_stopping_member_leaves_itself_out(self) -> None:
        placed = _placed(samples.members(2), 'a')
        proposer = self._make(1, placed)
        proposer.stop()
        proposal = proposer.proposal(placed, 0.0)
        self.assertEqual((samples.member(2),), proposal.table.members)
        alone = _placed(samples.members(1), 'a')
        proposer = self._make(1, alone)
        proposer.stop()
        self.assertIsNone(proposer.proposal(alone, 0.0))
