"""Model two gangs that reserve the same two slots, each needing both.

The owner of each gang reserves the slots, starts all when it holds all, and
otherwise releases. The code's order of reservation makes conflicts rarer; the
model allows any, so that safety doesn't depend on it. One owner may die at any
step; its successor sees what the slots hold. Starts are delayed, refused, or
lose their answers.

| guard | code module |
|---|---|
| ALL_HELD | walnutpoint_entry.jobs._reservation |
| RELEASE_ALL | walnutpoint_entry.jobs._reservation |
| STARTED_STOPPED | walnutpoint_entry.jobs._reservation |
| STOP_CONFIRMED | walnutpoint_entry.jobs._starter |
| PIECES_STOPPED | walnutpoint_entry.jobs._gang |
| HOLDS_EXPIRE | walnutpoint_entry.tasks._leases |
| ENDED_REFUSED | walnutpoint_entry.tasks._tombstones |
| EPOCH_FENCED | walnutpoint_entry.tasks._service |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

SLOTS = (0, 1)
GANGS = (0, 1)


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    ALL_HELD = 'nothing starts before all slots are held'
    RELEASE_ALL = 'a gang that lacks a slot releases its holds'
    STARTED_STOPPED = 'a start that fails stops those that succeeded'
    STOP_CONFIRMED = 'the next attempt waits until all stops are confirmed'
    PIECES_STOPPED = 'a successor stops a gang that runs partially'
    HOLDS_EXPIRE = 'the holds of a dead owner expire'
    ENDED_REFUSED = 'a start that arrives after its stop is refused'
    EPOCH_FENCED = 'a start of a dead owner is refused'


class Phase(enum.IntEnum):
    """States of the owner of a gang."""

    HOLDING = 0
    STARTING = 1
    RUNNING = 2
    STOPPING = 3
    DEAD = 4
    DONE = 5


class Slot(typing.NamedTuple):
    """The gang that has a slot, and whether it runs there."""

    gang: int
    running: bool


class World(typing.NamedTuple):
    """The slots, the owners, and starts in flight.

    For each gang and slot, `begun` says that the owner has sent a start in
    this attempt, `sent` that one is in flight, `stopped` that to the owner's
    knowledge no attempt may still run there.
    """

    slots: tuple[Slot | None, ...] = (None, None)
    phases: tuple[Phase, ...] = (Phase.HOLDING, Phase.HOLDING)
    sent: tuple[tuple[bool, ...], ...] = ((False, False), (False, False))
    stopped: tuple[tuple[bool, ...], ...] = ((False, False), (False, False))
    begun: tuple[tuple[bool, ...], ...] = ((False, False), (False, False))
    died: int = -1


def _with_value(
    rows: tuple[tuple[bool, ...], ...], gang: int, slot: int, value: bool
) -> tuple[tuple[bool, ...], ...]:
    row = list(rows[gang])
    row[slot] = value
    return (*rows[:gang], tuple(row), *rows[gang + 1 :])


def _with_row(
    rows: tuple[tuple[bool, ...], ...], gang: int, value: bool
) -> tuple[tuple[bool, ...], ...]:
    for slot in SLOTS:
        rows = _with_value(rows, gang, slot, value)
    return rows


def _with_slot(world: World, slot: int, occupant: Slot | None) -> World:
    slots = list(world.slots)
    slots[slot] = occupant
    return world._replace(slots=tuple(slots))


def _with_phase(world: World, gang: int, next_phase: Phase) -> World:
    phases = list(world.phases)
    phases[gang] = next_phase
    return world._replace(phases=tuple(phases))


class Gangs(_check.Guarded):
    """Generate the steps of two gangs, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        for gang in GANGS:
            phase = world.phases[gang]
            if phase is Phase.HOLDING:
                self._hold(world, gang, found)
            elif phase is Phase.STARTING:
                self._start(world, gang, found)
            elif phase is Phase.STOPPING:
                self._stop(world, gang, found)
            elif phase is Phase.RUNNING:
                self._finish(world, gang, found)
            elif phase is Phase.DEAD:
                self._take_over(world, gang, found)
            self._deliver(world, gang, found)
            if phase < Phase.DEAD and world.died < 0:
                after = _with_phase(world, gang, Phase.DEAD)._replace(
                    died=gang
                )
                found.append((f'owner {gang} dies', after))
        self._expire(world, found)
        return found

    def _held(self, world: World, gang: int) -> list[int]:
        return [
            index for index in SLOTS if world.slots[index] == Slot(gang, False)
        ]

    def _hold(self, world: World, gang: int, found: _check.Steps) -> None:
        held = self._held(world, gang)
        enough = 1 if self._drops(Guard.ALL_HELD) else len(SLOTS)
        if len(held) >= enough:
            after = _with_phase(world, gang, Phase.STARTING)
            found.append((f'gang {gang} holds all', after))
            return
        for slot in SLOTS:
            if world.slots[slot] is None:
                after = _with_slot(world, slot, Slot(gang, False))
                found.append((f'gang {gang} holds {slot}', after))
            elif slot not in held and held:
                if not self._drops(Guard.RELEASE_ALL):
                    after = _with_phase(world, gang, Phase.STOPPING)
                    found.append((f'gang {gang} releases', after))

    def _start(self, world: World, gang: int, found: _check.Steps) -> None:
        for slot in SLOTS:
            if not world.begun[gang][slot]:
                after = world._replace(
                    sent=_with_value(world.sent, gang, slot, True),
                    begun=_with_value(world.begun, gang, slot, True),
                )
                found.append((f'gang {gang} sends a start to {slot}', after))
        if not all(world.begun[gang]):
            return
        # The owner can't wait for answers, which may be lost.
        running = [world.slots[index] == Slot(gang, True) for index in SLOTS]
        if all(running):
            after = _with_phase(world, gang, Phase.RUNNING)
            found.append((f'gang {gang} runs', after))
        next_phase = Phase.STOPPING
        if self._drops(Guard.STARTED_STOPPED):
            next_phase = Phase.HOLDING
        after = _with_phase(world, gang, next_phase)
        if next_phase is Phase.HOLDING:
            after = self._renewed(after, gang)
        found.append((f'a start of gang {gang} fails', after))

    @staticmethod
    def _renewed(world: World, gang: int) -> World:
        """Begin a new attempt, which is stopped nowhere."""
        return world._replace(
            begun=_with_row(world.begun, gang, False),
            stopped=_with_row(world.stopped, gang, False),
        )

    def _stop(self, world: World, gang: int, found: _check.Steps) -> None:
        for slot in SLOTS:
            if world.stopped[gang][slot]:
                continue
            after = world._replace(
                stopped=_with_value(world.stopped, gang, slot, True)
            )
            if not self._drops(Guard.ENDED_REFUSED):
                after = after._replace(
                    sent=_with_value(after.sent, gang, slot, False)
                )
            occupant = world.slots[slot]
            if occupant is not None and occupant.gang == gang:
                after = _with_slot(after, slot, None)
            found.append((f'gang {gang} has stopped at {slot}', after))
        confirmed = all(world.stopped[gang])
        if confirmed or self._drops(Guard.STOP_CONFIRMED):
            after = self._renewed(
                _with_phase(world, gang, Phase.HOLDING), gang
            )
            found.append((f'gang {gang} begins again', after))

    def _finish(self, world: World, gang: int, found: _check.Steps) -> None:
        after = _with_phase(world, gang, Phase.DONE)
        for slot in SLOTS:
            after = _with_slot(after, slot, None)
        found.append((f'gang {gang} is done', after))

    def _take_over(self, world: World, gang: int, found: _check.Steps) -> None:
        """Take over with the state that the slots show."""
        after = world
        if not self._drops(Guard.EPOCH_FENCED):
            after = world._replace(sent=_with_row(world.sent, gang, False))
        running = [world.slots[index] == Slot(gang, True) for index in SLOTS]
        next_phase = Phase.STOPPING
        if all(running):
            next_phase = Phase.RUNNING
        elif any(running) and self._drops(Guard.PIECES_STOPPED):
            next_phase = Phase.RUNNING
        after = _with_phase(after, gang, next_phase)
        for slot in SLOTS:
            # It can stop visible runs; a start in flight is invisible.
            occupant = world.slots[slot]
            is_seen = occupant is not None and occupant.gang == gang
            after = after._replace(
                stopped=_with_value(after.stopped, gang, slot, not is_seen)
            )
        found.append((f'gang {gang} has a new owner', after))

    @staticmethod
    def _deliver(world: World, gang: int, found: _check.Steps) -> None:
        for slot in SLOTS:
            if not world.sent[gang][slot]:
                continue
            after = world._replace(
                sent=_with_value(world.sent, gang, slot, False)
            )
            found.append((f'a start of gang {gang} is refused', after))
            occupant = world.slots[slot]
            if occupant is None or occupant == Slot(gang, False):
                after = _with_slot(after, slot, Slot(gang, True))
                found.append((f'gang {gang} starts at {slot}', after))

    def _expire(self, world: World, found: _check.Steps) -> None:
        if self._drops(Guard.HOLDS_EXPIRE):
            return
        for slot in SLOTS:
            occupant = world.slots[slot]
            if occupant is not None and not occupant.running:
                # A live owner releases before its hold expires, or finds its
                # start refused.
                if world.phases[occupant.gang] is Phase.DEAD:
                    after = _with_slot(world, slot, None)
                    found.append((f'the hold of {slot} expires', after))


def all_or_none(fields: dict[str, typing.Any]) -> bool:
    """Hold while no settled gang runs partially."""
    for gang in GANGS:
        running = [
            slot_state == Slot(gang, True) for slot_state in fields['slots']
        ]
        phase = fields['phases'][gang]
        if phase in (Phase.HOLDING, Phase.DONE) and any(running):
            return False
        if phase is Phase.RUNNING and not all(running):
            return False
    return True


def reserved(fields: dict[str, typing.Any]) -> bool:
    """Hold while a gang that starts has all its slots."""
    for gang in GANGS:
        if fields['phases'][gang] is Phase.STARTING:
            if any(
                slot_state is None or slot_state.gang != gang
                for slot_state in fields['slots']
            ):
                return False
    return True


def _never_blocked(
    dropped: Guard | None,
) -> _check.Predicate:
    def never_blocked(fields: dict[str, typing.Any]) -> bool:
        """Hold while some live gang can proceed, until all are done."""
        world = World(**fields)
        live = [
            gang
            for gang in GANGS
            if world.phases[gang] not in (Phase.DONE, Phase.DEAD)
        ]
        if not live:
            return True
        # A dead owner may have no successor for long, so its holds must not
        # block the others. Its successor stops what runs.
        if any(
            slot_state is not None and slot_state.running
            for slot_state in world.slots
        ):
            return True
        return any(
            not label.startswith('owner') and 'new owner' not in label
            for label, _ in Gangs(dropped).steps(world)
        )

    return never_blocked


def both_done(fields: dict[str, typing.Any]) -> bool:
    """Return whether both gangs have run."""
    return all(phase is Phase.DONE for phase in fields['phases'])


def done_after_death(fields: dict[str, typing.Any]) -> bool:
    """Return whether a gang whose owner died has run."""
    died = fields['died']
    return died >= 0 and fields['phases'][died] is Phase.DONE


GOALS = (both_done, done_after_death)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='gang',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Gangs(dropped).steps,
        invariants={
            'all_or_none': all_or_none,
            'reserved': reserved,
            'never_blocked': _never_blocked(dropped),
        },
    )
