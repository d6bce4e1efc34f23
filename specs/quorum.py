"""Model one takeover of four members, where a confirmation needs two others.

Members A (old owner), B (successor), C and D; ack_count is 2, attest_count 3,
each including the member itself. An attestation counts from its question.
The store is down for A; whatever `confirmation` covers is omitted.

| guard | code module |
|---|---|
| ATTEST_COUNT | walnutpoint_entry.ownership._confirmation |
| OLDEST_COUNTS | walnutpoint_entry.ownership._confirmation |
| ACK_COUNT | walnutpoint_entry.ownership._succession |
| LAST_ACK_COUNTS | walnutpoint_entry.ownership._succession |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

CONFIRM_TICKS = 1
FENCE_TICKS = 2
A, B, C, D = 0, 1, 2, 3
PEERS = (B, C, D)
NAMES = 'ABCD'
NO_FENCE = -1
NEVER = -1
MEMBER_COUNT = 4
ACK_COUNT = MEMBER_COUNT // 3 + 1
ATTEST_COUNT = MEMBER_COUNT - ACK_COUNT + 1


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    ATTEST_COUNT = 'attest_count attesters'
    OLDEST_COUNTS = 'confirmed since the oldest of the questions'
    ACK_COUNT = 'ack_count members know the new table'
    LAST_ACK_COUNTS = 'the fence runs from the last of the acks'


class World(typing.NamedTuple):
    """Each member's table, and the answers to A and B.

    `left` is the rest of each peer's attestation; `acked` says which addresses
    have acknowledged T2 to B.
    """

    known: tuple[int, int, int, int] = (1, 1, 1, 1)
    restarted: tuple[bool, bool, bool, bool] = (False,) * 4
    left: tuple[int, int, int] = (NEVER,) * 3
    acked: tuple[bool, bool, bool, bool] = (False,) * 4
    fence: int = NO_FENCE
    active: bool = False


def _with_item(
    values: tuple[typing.Any, ...], index: int, value: typing.Any
) -> tuple[typing.Any, ...]:
    return values[:index] + (value,) + values[index + 1 :]


def _decremented(left: int) -> int:
    return left if left <= 0 else left - 1


def _confirmed(world: World, attesters: int, oldest: bool) -> bool:
    """Return whether A is confirmed, itself being one of the attesters."""
    youngest = sorted(world.left, reverse=True)[: attesters - 1]
    if oldest:
        return min(youngest) > 0
    return NEVER not in youngest and max(youngest) > 0


class Takeover:
    """Generate the steps of one takeover, without the dropped guard."""

    def __init__(self, dropped: Guard | None) -> None:
        self._dropped = dropped
        self._acks = ACK_COUNT
        if dropped is Guard.ACK_COUNT:
            self._acks -= 1

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = [('tick', self._tick(world))]
        for member in range(MEMBER_COUNT):
            self._learn(world, member, found)
            self._restart(world, member, found)
        for peer in PEERS:
            self._attest(world, peer, found)
        if world.known[B] == 2 and not world.restarted[B]:
            self._succeed(world, found)
        return found

    @staticmethod
    def _tick(world: World) -> World:
        of_b, of_c, of_d = world.left
        return world._replace(
            left=(_decremented(of_b), _decremented(of_c), _decremented(of_d)),
            fence=_decremented(world.fence),
        )

    @staticmethod
    def _learn(world: World, member: int, found: _check.Steps) -> None:
        if world.known[member] == 2:
            return
        after = world._replace(known=_with_item(world.known, member, 2))
        if member == A:
            after = after._replace(left=(NEVER,) * 3)
        found.append((f'{NAMES[member]} learns T2', after))

    @staticmethod
    def _restart(world: World, member: int, found: _check.Steps) -> None:
        """Restart C or D; a restart of A or B excludes an overlap."""
        if member in (A, B) or world.restarted[member]:
            return
        after = world._replace(
            known=_with_item(world.known, member, 0),
            restarted=_with_item(world.restarted, member, True),
        )
        found.append((f'{NAMES[member]} restarts', after))

    @staticmethod
    def _attest(world: World, peer: int, found: _check.Steps) -> None:
        if world.known[A] != 1 or world.known[peer] != 1:
            return
        if not world.restarted[peer]:
            left = _with_item(world.left, peer - 1, CONFIRM_TICKS + 1)
            label = f'{NAMES[peer]} attests T1'
            found.append((label, world._replace(left=left)))

    def _succeed(self, world: World, found: _check.Steps) -> None:
        if world.fence == 0 and sum(world.acked) >= self._acks:
            found.append(('B active', world._replace(active=True)))
        for member in range(MEMBER_COUNT):
            if world.known[member] != 2 or world.acked[member]:
                continue
            after = world._replace(acked=_with_item(world.acked, member, True))
            count = sum(after.acked)
            first = self._dropped is Guard.LAST_ACK_COUNTS and count == 1
            if count == self._acks or first:
                fence = world.fence
                if fence == NO_FENCE:
                    fence = FENCE_TICKS
                after = after._replace(fence=fence)
            found.append((f'B counts {NAMES[member]} as ack', after))


def active(fields: dict[str, typing.Any]) -> bool:
    """Return whether the successor is active."""
    return bool(fields['active'])


GOALS = (active,)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    attesters = ATTEST_COUNT
    if dropped is Guard.ATTEST_COUNT:
        attesters -= 1
    oldest = dropped is not Guard.OLDEST_COUNTS

    def one_placer(fields: dict[str, typing.Any]) -> bool:
        confirmed = _confirmed(World(**fields), attesters, oldest)
        return not (confirmed and fields['active'])

    return minicheck.Protocol(
        name='quorum',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Takeover(dropped).steps,
        invariants={'one_placer': one_placer},
    )
