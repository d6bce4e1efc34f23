"""Model two proposers of one table, whose writes and answers are late.

B may send two different tables, C one; each write takes effect at any later
time or never, and its answer may be lost.

| guard | code module |
|---|---|
| COMPARE | walnutpoint_entry.ownership._table |
| READ_BACK | walnutpoint_entry.ownership._table |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

B, C = 0, 1
NAMES = 'BC'
T1 = 0
PROPOSERS = (B, B, C)


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    COMPARE = 'the write compares the revision'
    READ_BACK = 'a lost answer is resolved by reading back'


class Write(enum.IntEnum):
    """States of a write."""

    UNSENT = 0
    SENT = 1
    DONE = 2
    REFUSED = 3
    CLOSED = 4


class World(typing.NamedTuple):
    """The stored table, the writes and each proposer's table."""

    stored: int = T1
    writes: tuple[Write, Write, Write] = (Write.UNSENT,) * 3
    known: tuple[int, int] = (T1, T1)


def _with_item(
    values: tuple[typing.Any, ...], index: int, value: typing.Any
) -> tuple[typing.Any, ...]:
    return values[:index] + (value,) + values[index + 1 :]


class Proposals:
    """Generate the steps of competing proposals, without a guard."""

    def __init__(self, dropped: Guard | None) -> None:
        self._dropped = dropped

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        for index, proposer in enumerate(PROPOSERS):
            self._write(world, index, proposer, found)
        for member in (B, C):
            for table in {world.stored, *world.known} - {T1}:
                if world.known[member] == T1:
                    known = _with_item(world.known, member, table)
                    label = f'{NAMES[member]} learns {table}'
                    found.append((label, world._replace(known=known)))
        return found

    def _write(
        self, world: World, index: int, proposer: int, found: _check.Steps
    ) -> None:
        table = index + 1
        write = world.writes[index]
        label = f'{NAMES[proposer]} table {table}'
        after = world._replace(
            writes=_with_item(world.writes, index, Write.CLOSED),
            known=_with_item(world.known, proposer, table),
        )
        if write is Write.UNSENT and world.known[proposer] == T1:
            writes = _with_item(world.writes, index, Write.SENT)
            found.append((f'{label} sent', world._replace(writes=writes)))
        if write is Write.SENT:
            found.append((f'{label} at store', self._apply(world, index)))
        if write is Write.DONE:
            found.append((f'{label} answered', after))
        lost = write in (Write.SENT, Write.DONE, Write.REFUSED)
        if lost and self._dropped is Guard.READ_BACK:
            found.append((f'{label} taken as written', after))

    def _apply(self, world: World, index: int) -> World:
        if world.stored == T1 or self._dropped is Guard.COMPARE:
            writes = _with_item(world.writes, index, Write.DONE)
            return world._replace(stored=index + 1, writes=writes)
        writes = _with_item(world.writes, index, Write.REFUSED)
        return world._replace(writes=writes)


def one_table(fields: dict[str, typing.Any]) -> bool:
    """Hold while all known tables of one revision are the same."""
    return len(set(fields['known']) - {T1}) <= 1


def both_know(fields: dict[str, typing.Any]) -> bool:
    """Return whether both proposers know the table that was written."""
    return T1 not in fields['known']


GOALS = (both_know,)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='proposal',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Proposals(dropped).steps,
        invariants={'one_table': one_table},
    )
