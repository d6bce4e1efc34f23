"""Model two successive tables: release, fence, settling and return.

T1 = {A, C} gives the endpoint to A; T2 = {B, C} to B, epoch 2; T3 to A or C,
epoch 3, or leaves it with B, epoch 2. For two members ack_count is 1 and
attest_count 2. Nothing follows T3, so its owner is always confirmed. An
acknowledgement may arrive at any time after it was sent.

| guard | code module |
|---|---|
| SETTLED | walnutpoint_entry.ownership._succession |
| PREVIOUS_MEMBERS | walnutpoint_entry.ownership._succession |
| ACTIVE_RELEASES | walnutpoint_entry.ownership._succession |
| STOP_BEFORE_RELEASE | walnutpoint_entry.ownership._succession |
| RELEASE_OF_EPOCH | walnutpoint_entry.ownership._succession |
| NEW_EPOCH_INACTIVE | walnutpoint_entry.ownership._succession |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

CONFIRM_TICKS = 1
FENCE_TICKS = 2
A, B, C = 0, 1, 2
NAMES = 'ABC'
NO_FENCE = -1
NONE = -1
GONE = 3


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    SETTLED = 'the next table waits until the current is settled'
    PREVIOUS_MEMBERS = 'acks are counted among the previous members'
    ACTIVE_RELEASES = 'only an owner that became active releases'
    STOP_BEFORE_RELEASE = 'the owner stops before it releases'
    RELEASE_OF_EPOCH = 'a release counts for the next epoch only'
    NEW_EPOCH_INACTIVE = 'an owner that regains the endpoint starts inactive'


class World(typing.NamedTuple):
    """The state of two successions.

    `left` is the rest of the confirmations of T1 and T2; `active` says which
    owners under T1, T2 and T3 are active; `acked` says whether a member of T1
    knew T2, and a member of T2 knew T3; `owner2` and `listed_c` say whether
    the incarnations that T2 names are still alive.
    """

    stored: int = 1
    owner3: int = NONE
    known: tuple[int, int, int] = (1, 1, 1)
    restarted: tuple[bool, bool, bool] = (False, False, False)
    owner2: bool = False
    listed_c: bool = False
    left: tuple[int, int] = (0, 0)
    active: tuple[bool, bool, bool] = (True, False, False)
    fence: tuple[int, int] = (NO_FENCE, NO_FENCE)
    released: tuple[bool, bool] = (False, False)
    acked: tuple[bool, bool] = (False, False)


def _with_item(
    values: tuple[typing.Any, ...], index: int, value: typing.Any
) -> tuple[typing.Any, ...]:
    return values[:index] + (value,) + values[index + 1 :]


def _b_owns(world: World) -> bool:
    """Return whether B owns the endpoint in the newest table it knows."""
    if not world.owner2 or world.known[B] < 2:
        return False
    return world.known[B] == 2 or world.owner3 == B


def _decremented(fence: int) -> int:
    return fence if fence <= 0 else fence - 1


class Successions(_check.Guarded):
    """Generate the steps of two successions, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = [('tick', self._tick(world))]
        self._write(world, found)
        self._learn(world, found)
        self._restart(world, found)
        self._confirm(world, found)
        self._release(world, found)
        self._fence(world, found)
        self._second(world, found)
        self._third(world, found)
        return found

    @staticmethod
    def _tick(world: World) -> World:
        (left1, left2), (fence1, fence2) = world.left, world.fence
        return world._replace(
            left=(max(0, left1 - 1), max(0, left2 - 1)),
            fence=(_decremented(fence1), _decremented(fence2)),
        )

    def _write(self, world: World, found: _check.Steps) -> None:
        if world.stored == 1:
            after = world._replace(stored=2, owner2=True, listed_c=True)
            found.append(('write T2', after))
        settled = world.acked[0] or self._drops(Guard.SETTLED)
        if world.stored == 2 and settled and 2 in world.known:
            for owner in (A, B, C):
                if owner == B and not world.owner2:
                    continue
                after = world._replace(stored=3, owner3=owner)
                found.append((f'write T3 for {NAMES[owner]}', after))

    def _learn(self, world: World, found: _check.Steps) -> None:
        tables = {world.stored, *world.known}
        for member in (A, B, C):
            for table in tables:
                if world.known[member] < table:
                    after = self._known(world, member, table)
                    found.append((f'{NAMES[member]} learns T{table}', after))

    def _known(self, world: World, member: int, table: int) -> World:
        left = world.left
        stops = not self._drops(Guard.STOP_BEFORE_RELEASE)
        if member == A and table >= 2 and stops:
            left = (0, left[1])
        if member == B and table == 3:
            left = (left[0], 0)
        first, second = world.acked
        return world._replace(
            known=_with_item(world.known, member, table),
            left=left,
            acked=(
                first or (member != B and table >= 2),
                second or (member != A and table == 3),
            ),
        )

    @staticmethod
    def _restart(world: World, found: _check.Steps) -> None:
        for member in (A, B, C):
            if world.restarted[member]:
                continue
            after = world._replace(
                known=_with_item(world.known, member, 0),
                restarted=_with_item(world.restarted, member, True),
            )
            if member == A:
                after = after._replace(
                    left=_with_item(world.left, 0, 0),
                    active=_with_item(world.active, 0, False),
                )
            if member == B:
                after = after._replace(
                    owner2=False,
                    left=_with_item(world.left, 1, 0),
                    active=_with_item(world.active, 1, False),
                    fence=_with_item(world.fence, 0, NO_FENCE),
                )
            if member == C:
                after = after._replace(listed_c=False)
            if member == world.owner3:
                after = after._replace(
                    owner3=GONE,
                    active=_with_item(after.active, 2, False),
                    fence=_with_item(after.fence, 1, NO_FENCE),
                )
            found.append((f'{NAMES[member]} restarts', after))

    @staticmethod
    def _confirm(world: World, found: _check.Steps) -> None:
        full = CONFIRM_TICKS + 1
        if world.known[A] == 1 and not world.restarted[A]:
            attested = world.known[C] <= 1 and not world.restarted[C]
            if world.stored == 1 or attested:
                after = world._replace(left=_with_item(world.left, 0, full))
                found.append(('A confirms T1', after))
        if world.known[B] == 2 and world.owner2:
            attested = world.known[C] <= 2 and world.listed_c
            if world.stored == 2 or attested:
                after = world._replace(left=_with_item(world.left, 1, full))
                found.append(('B confirms T2', after))

    def _release(self, world: World, found: _check.Steps) -> None:
        if world.active[0] and world.known[A] >= 2:
            active = world.active
            if not self._drops(Guard.STOP_BEFORE_RELEASE):
                active = _with_item(active, 0, False)
            after = world._replace(
                active=active, released=_with_item(world.released, 0, True)
            )
            found.append(('A releases epoch 1', after))
        lost = world.owner2 and world.known[B] == 3 and not _b_owns(world)
        if lost and (world.active[1] or self._drops(Guard.ACTIVE_RELEASES)):
            after = world._replace(
                active=_with_item(world.active, 1, False),
                released=_with_item(world.released, 1, True),
            )
            found.append(('B releases epoch 2', after))

    def _fence(self, world: World, found: _check.Steps) -> None:
        first, second = world.acked
        if self._drops(Guard.PREVIOUS_MEMBERS):
            first = True
        if first and _b_owns(world) and world.fence[0] == NO_FENCE:
            after = world._replace(
                fence=_with_item(world.fence, 0, FENCE_TICKS)
            )
            found.append(('B counts ack of T2', after))
        owner = world.owner3
        named = 0 <= owner < GONE and world.known[owner] == 3
        if second and named and world.fence[1] == NO_FENCE:
            after = world._replace(
                fence=_with_item(world.fence, 1, FENCE_TICKS)
            )
            found.append((f'{NAMES[owner]} counts ack of T3', after))

    @staticmethod
    def _second(world: World, found: _check.Steps) -> None:
        if world.active[1] or not _b_owns(world):
            return
        fenced = world.fence[0] == 0
        fenced |= world.owner3 == B and world.fence[1] == 0
        if fenced or world.released[0]:
            after = world._replace(active=_with_item(world.active, 1, True))
            found.append(('B active', after))

    def _third(self, world: World, found: _check.Steps) -> None:
        owner = world.owner3
        if owner not in (A, C) or world.known[owner] != 3 or world.active[2]:
            return
        ready = world.fence[1] == 0 or world.released[1]
        if self._drops(Guard.RELEASE_OF_EPOCH):
            ready |= world.released[0]
        if self._drops(Guard.NEW_EPOCH_INACTIVE):
            ready |= owner == A and world.active[0]
        if ready:
            after = world._replace(active=_with_item(world.active, 2, True))
            found.append((f'{NAMES[owner]} active', after))


def one_placer(fields: dict[str, typing.Any]) -> bool:
    """Hold while at most one of the three owners may place."""
    world = World(**fields)
    first, second, third = world.active
    confirmed = world.left[1] > 0
    if world.known[B] == 3:
        confirmed = world.owner3 == B
    placers = [
        first and world.left[0] > 0,
        second and world.owner2 and confirmed,
        third,
    ]
    return sum(placers) <= 1


def released_twice(fields: dict[str, typing.Any]) -> bool:
    """Return whether two successive releases transferred the endpoint."""
    both = fields['released'] == (True, True)
    return both and bool(fields['active'][2])


def fenced_twice(fields: dict[str, typing.Any]) -> bool:
    """Return whether two successive fences transferred the endpoint."""
    return not any(fields['released']) and all(fields['active'][1:])


def got_back(fields: dict[str, typing.Any]) -> bool:
    """Return whether A is active for the endpoint again."""
    return fields['owner3'] == A and bool(fields['active'][2])


GOALS = (released_twice, fenced_twice, got_back)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='succession',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Successions(dropped).steps,
        invariants={'one_placer': one_placer},
    )
