"""The store through other processes."""

from __future__ import annotations

import typing
import unittest

import expression

from walnutpoint_core import errors
from walnutpoint_core import ports
from walnutpoint_core import web
from walnutpoint_model import virtual_time
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _relay

REFUSED = errors.ErrorKind.STORE_UNAVAILABLE
LOST = errors.ErrorKind.STORE_ANSWER_LOST
BATCH = ports.Batch((), (ports.Put('key', b''),))


def member(number: int) -> _messages.Member:
    """Return one of many processes."""
    return _messages.Member(f'm{number}', f'address-{number}', 'zone', 'i')


class _TurnedAway:
    """The way to the store of a host that it turns away."""

    async def commit(self, _batch: ports.Batch) -> typing.Any:
        """Refuse."""
        return expression.Error(errors.Failure(REFUSED))


class _Peers:
    """Other processes, by what each says to an operation."""

    def __init__(self, says: dict[str, errors.ErrorKind | None]) -> None:
        self._says = says
        self.asked: list[str] = []

    async def ask(self, address: str, *_rest: object) -> typing.Any:
        """Answer as the peer at an address does."""
        self.asked.append(address)
        if address not in self._says:
            return web.Loss(True, 'silent')
        kind = self._says[address]
        if kind is not None:
            return _messages.StoreAnswer(kind.value, 'turned away')
        return _messages.StoreAnswer(reply=ports.CommitReply(True, 7))


def committed(
    says: dict[str, errors.ErrorKind | None], count: int = 7
) -> tuple[typing.Any, int]:
    """Return what a commit came to, and how many peers were asked."""
    members = _membership.Membership(member(0))
    for number in range(1, count + 1):
        members.add(member(number))
    peers = _Peers(says)
    outcome: list[typing.Any] = []

    async def scene() -> None:
        store = _relay.RelayedStore(
            typing.cast(typing.Any, _TurnedAway()),
            members,
            typing.cast(typing.Any, peers),
            virtual_time.LoopTimer(),
        )
        outcome.append(await store.commit(BATCH))

    virtual_time.run(scene())
    return outcome[0], len(peers.asked)


class RelayTest(unittest.TestCase):
    """An operation finds a way while any process has one."""

    def test_many_hosts_that_are_turned_away_are_passed_over(self) -> None:
        """A caller is served though most hosts are turned away.

        The store turns away this host and five others, and says so at once.
        One peer reaches it, and is the last to be asked.
        """
        says = dict.fromkeys((f'address-{n}' for n in range(1, 6)), REFUSED)
        reply, asked = committed(says | {'address-6': None}, 6)
        self.assertTrue(reply.ok.applied)
        self.assertEqual(6, asked)

    def test_outage_costs_a_bounded_number_of_questions(self) -> None:
        """Pattern: 38 processes, and a store that refuses all of them."""
        says = dict.fromkeys((f'address-{n}' for n in range(1, 38)), REFUSED)
        _, asked = committed(says, 37)
        self.assertEqual(6, asked)

    def test_silent_peers_are_waited_for_twice_at_most(self) -> None:
        reply, asked = committed({'address-7': None})
        self.assertIs(LOST, reply.error.kind)
        self.assertEqual(2, asked)

    def test_lost_answer_of_a_peer_leaves_the_commit_in_doubt(self) -> None:
        says = dict.fromkeys((f'address-{n}' for n in range(1, 8)), REFUSED)
        reply, _ = committed(says | {'address-1': LOST})
        self.assertIs(LOST, reply.error.kind)

    def test_refused_everywhere_is_refused(self) -> None:
        says = dict.fromkeys((f'address-{n}' for n in range(1, 8)), REFUSED)
        reply, _ = committed(says)
        self.assertIs(REFUSED, reply.error.kind)
