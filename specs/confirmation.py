"""Model one takeover: confirmation against acknowledgement and fence.

Members A (old owner), B (successor) and C, all in table T1; ack_count and
attest_count are 2. T2 gives the endpoint to B. A step not taken stands for a
store outage, a partition, a pause, a kill or a lost message; clocks advance.

| guard | code module |
|---|---|
| FENCE_LONGER | walnutpoint_entry.ownership._succession |
| FROM_QUESTION | walnutpoint_entry.ownership._confirmation |
| ATTEST_COUNT | walnutpoint_entry.ownership._confirmation |
| NEWER_NOT_ATTESTED | walnutpoint_entry.ownership._confirmation |
| LISTED_INCARNATION | walnutpoint_entry.ownership._confirmation |
| EXCLUSIVE_ADDRESS | walnutpoint_entry.ownership._confirmation |
| LATEST_READ | walnutpoint_entry.ownership._table |
| ACK_COUNT | walnutpoint_entry.ownership._succession |
| OWNER_INCARNATION | walnutpoint_entry.ownership._table |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

CONFIRM_TICKS = 2
FENCE_TICKS = 3
A, B, C = 0, 1, 2
NAMES = 'ABC'
NO_FENCE = -1


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    FENCE_LONGER = 'fence longer than the confirmation'
    FROM_QUESTION = 'confirmation runs from the question'
    ATTEST_COUNT = 'attest_count attesters'
    NEWER_NOT_ATTESTED = 'a member with a newer table attests none older'
    LISTED_INCARNATION = 'only listed incarnations attest'
    EXCLUSIVE_ADDRESS = 'one live incarnation at an address'
    LATEST_READ = 'the store answers with its newest revision'
    ACK_COUNT = 'ack_count members know the new table'
    OWNER_INCARNATION = 'the owner is an incarnation, not an address'


class Question(typing.NamedTuple):
    """A pending question of A, and whether it was answered."""

    age: int
    answered: bool


class World(typing.NamedTuple):
    """The state of the store, the three members and the messages.

    `confirmed_ticks` is left of A's confirmation, `fence` of B's fence;
    `has_old_c` says that an old incarnation of C runs beside the new one.
    """

    stored: int = 1
    known: tuple[int, int, int] = (1, 1, 1)
    restarted: tuple[bool, bool, bool] = (False, False, False)
    store_question: Question | None = None
    peer_question: tuple[Question | None, Question | None] = (None, None)
    confirmed_ticks: int = 0
    fence: int = NO_FENCE
    owner_b: bool = False
    active: bool = False
    has_old_c: bool = False


def _with_item(
    values: tuple[typing.Any, ...], index: int, value: typing.Any
) -> tuple[typing.Any, ...]:
    return values[:index] + (value,) + values[index + 1 :]


class Takeover:
    """Generate the steps of one takeover, without the dropped guard."""

    def __init__(self, dropped: Guard | None) -> None:
        self._dropped = dropped
        self._fence = FENCE_TICKS
        if dropped is Guard.FENCE_LONGER:
            self._fence = CONFIRM_TICKS

    def _drops(self, guard: Guard) -> bool:
        return self._dropped is guard

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = [('tick', self._tick(world))]
        self._store(world, found)
        self._learn(world, found)
        self._restart(world, found)
        if self._owner_may_ask(world):
            self._ask(world, found)
        self._answer(world, found)
        self._receive(world, found)
        self._succeed(world, found)
        return found

    def _owner_may_ask(self, world: World) -> bool:
        lost = world.restarted[A] and not self._drops(Guard.OWNER_INCARNATION)
        return world.known[A] == 1 and not lost

    def _age(self, question: Question | None) -> Question | None:
        if question is None:
            return None
        if question.age < CONFIRM_TICKS:
            return question._replace(age=question.age + 1)
        return question if self._drops(Guard.FROM_QUESTION) else None

    def _tick(self, world: World) -> World:
        first, second = world.peer_question
        return world._replace(
            store_question=self._age(world.store_question),
            peer_question=(self._age(first), self._age(second)),
            confirmed_ticks=max(0, world.confirmed_ticks - 1),
            fence=world.fence if world.fence <= 0 else world.fence - 1,
        )

    def _store(self, world: World, found: _check.Steps) -> None:
        """Write T2; its writer learns so by reading, as after a loss."""
        if world.stored == 1:
            found.append(
                (
                    'write T2',
                    world._replace(stored=2, owner_b=not world.restarted[B]),
                )
            )

    def _learn(self, world: World, found: _check.Steps) -> None:
        sources = [('store', world.stored)]
        sources += [(NAMES[p], world.known[p]) for p in (A, B, C)]
        seen: set[tuple[int, int]] = set()
        for source, table in sources:
            for member in (A, B, C):
                fresh = (member, table) not in seen
                if world.known[member] < table and fresh:
                    seen.add((member, table))
                    found.append(
                        (
                            f'{NAMES[member]} learns T{table} from {source}',
                            self._with_table(world, member, table),
                        )
                    )

    def _with_table(self, world: World, member: int, table: int) -> World:
        known = _with_item(world.known, member, table)
        if member != A or table == 1:
            return world._replace(known=known)
        return world._replace(
            known=known,
            confirmed_ticks=0,
            store_question=None,
            peer_question=(None, None),
        )

    def _restart(self, world: World, found: _check.Steps) -> None:
        for member in (A, B, C):
            if world.restarted[member]:
                continue
            after = world._replace(
                known=_with_item(world.known, member, 0),
                restarted=_with_item(world.restarted, member, True),
            )
            if member == A:
                after = after._replace(
                    confirmed_ticks=0,
                    store_question=None,
                    peer_question=(None, None),
                )
            if member == B:
                after = after._replace(
                    fence=NO_FENCE, active=False, owner_b=False
                )
            if member == C and self._drops(Guard.EXCLUSIVE_ADDRESS):
                after = after._replace(has_old_c=world.known[C] == 1)
            found.append((f'{NAMES[member]} restarts', after))

    def _ask(self, world: World, found: _check.Steps) -> None:
        fresh = Question(0, False)
        if world.store_question is None:
            found.append(
                ('A asks store', world._replace(store_question=fresh))
            )
        for peer in (B, C):
            if world.peer_question[peer - 1] is None:
                found.append(
                    (
                        f'A asks {NAMES[peer]}',
                        self._peer_question(world, peer, fresh),
                    )
                )
        if self._drops(Guard.ATTEST_COUNT):
            found.append(
                (
                    'A alone attests',
                    world._replace(confirmed_ticks=CONFIRM_TICKS + 1),
                )
            )

    @staticmethod
    def _peer_question(
        world: World, peer: int, question: Question | None
    ) -> World:
        return world._replace(
            peer_question=_with_item(world.peer_question, peer - 1, question)
        )

    def _attests(self, world: World, peer: int) -> bool:
        if peer == C and world.has_old_c:
            return True
        if world.known[peer] > 1:
            return self._drops(Guard.NEWER_NOT_ATTESTED)
        if world.restarted[peer]:
            is_known = world.known[peer] == 1
            return is_known and self._drops(Guard.LISTED_INCARNATION)
        return True

    def _answer(self, world: World, found: _check.Steps) -> None:
        question = world.store_question
        stale = self._drops(Guard.LATEST_READ)
        if question and not question.answered and (world.stored == 1 or stale):
            answered = question._replace(answered=True)
            found.append(
                ('store answers T1', world._replace(store_question=answered))
            )
        for peer in (B, C):
            question = world.peer_question[peer - 1]
            if (
                question
                and not question.answered
                and self._attests(world, peer)
            ):
                answered = question._replace(answered=True)
                found.append(
                    (
                        f'{NAMES[peer]} attests T1',
                        self._peer_question(world, peer, answered),
                    )
                )

    def _confirmed(self, world: World, question: Question) -> World:
        confirmed_ticks = CONFIRM_TICKS + 1 - question.age
        if self._drops(Guard.FROM_QUESTION):
            confirmed_ticks = CONFIRM_TICKS + 1
        return world._replace(
            confirmed_ticks=max(world.confirmed_ticks, confirmed_ticks)
        )

    def _receive(self, world: World, found: _check.Steps) -> None:
        question = world.store_question
        if question and question.answered:
            after = world._replace(store_question=None)
            found.append(('A gets read', self._confirmed(after, question)))
        for peer in (B, C):
            question = world.peer_question[peer - 1]
            if question and question.answered:
                after = self._peer_question(world, peer, None)
                found.append(
                    (
                        f'A gets attestation of {NAMES[peer]}',
                        self._confirmed(after, question),
                    )
                )

    def _succeed(self, world: World, found: _check.Steps) -> None:
        if world.known[B] < 2 or not world.owner_b or world.active:
            return
        if world.fence == 0:
            found.append(('B active', world._replace(active=True)))
        if world.fence != NO_FENCE:
            return
        for peer in (A, C):
            enough = world.known[peer] == 2 or self._drops(Guard.ACK_COUNT)
            if enough:
                found.append(
                    (
                        f'B counts {NAMES[peer]} as ack',
                        world._replace(fence=self._fence),
                    )
                )


def one_placer(fields: dict[str, typing.Any]) -> bool:
    """Hold while A's confirmation and B's activity do not overlap."""
    return not (fields['confirmed_ticks'] > 0 and fields['active'])


def active(fields: dict[str, typing.Any]) -> bool:
    """Return whether the successor is active."""
    return bool(fields['active'])


def active_beside_restarted(fields: dict[str, typing.Any]) -> bool:
    """Return whether it is active with the ack of a restarted member."""
    restarted = fields['restarted'] == (False, False, True)
    is_known = fields['known'] == (1, 2, 2)
    return bool(fields['active']) and restarted and is_known


GOALS = (active, active_beside_restarted)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='confirmation',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Takeover(dropped).steps,
        invariants={'one_placer': one_placer},
    )
