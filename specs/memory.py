"""Model the memory of one key at its home: at most once, no false not-run.

Home H1 holds the shard in epoch 1, H2 in epoch 2, after a release or a fence;
H1 is confirmed at most until H2 is active (model `confirmation`). Two
attempts of one key are sent within WINDOW_TICKS, each may reach either home
at any time. A home places through the endpoint's owner, which may run the
work at any later time up to the deadline, and whose answer may be lost. A
release may transfer a queued key as unknown or omit it.

| guard | code module |
|---|---|
| BLIND | walnutpoint_entry.keys._blind |
| BLIND_LONG | walnutpoint_entry.keys._blind |
| NEWER_EPOCH_REFUSED | walnutpoint_entry.keys._blind |
| LATE_DROPPED | walnutpoint_entry.keys._memory |
| RECORDED_BEFORE | walnutpoint_entry.keys._memory |
| FORWARDED_UNKNOWN | walnutpoint_entry.keys._memory |
| NO_RETRY | walnutpoint_entry.keys._memory |
| CONFIRMED | walnutpoint_entry.keys._memory |
| ACTIVE | walnutpoint_entry.keys._memory |
| QUEUE_LOST_UNKNOWN | walnutpoint_entry.keys._memory |
| NOT_RUN_REMEMBERED | walnutpoint_entry.keys._memory |
| REFUSED_UNKNOWN | walnutpoint_entry.keys._memory |
| MEMORY_RELEASED | walnutpoint_entry.keys._memory |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

WINDOW_TICKS = 3
REMEMBER_TICKS = WINDOW_TICKS + 1
H1, H2 = 0, 1
NOT_SENT = -1
MAX_RUNS = 2


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    BLIND = 'a home without the memory refuses older keys'
    BLIND_LONG = 'the blind period covers the longest deadline'
    NEWER_EPOCH_REFUSED = 'a home refuses keys of a newer epoch'
    LATE_DROPPED = 'an attempt past its deadline is dropped'
    RECORDED_BEFORE = 'a key is recorded before it is placed'
    FORWARDED_UNKNOWN = 'placed work without an answer is unknown'
    NO_RETRY = 'unknown is not retried'
    CONFIRMED = 'the old home works only while confirmed for the shard'
    ACTIVE = 'the new home works only once active for the shard'
    QUEUE_LOST_UNKNOWN = 'work queued at a lost shard is unknown'
    NOT_RUN_REMEMBERED = 'not-run is remembered like any answer'
    REFUSED_UNKNOWN = 'a refused key is unknown, not not-run'
    MEMORY_RELEASED = 'a release hands over the memory'


NOT_RUN_GUARDS = (
    Guard.FORWARDED_UNKNOWN,
    Guard.QUEUE_LOST_UNKNOWN,
    Guard.NOT_RUN_REMEMBERED,
    Guard.REFUSED_UNKNOWN,
)


class Key(enum.IntEnum):
    """Origins of a key."""

    FOREIGN = 0
    EPOCH_1 = 1
    EPOCH_2 = 2


class Stage(enum.IntEnum):
    """Stages of the shard's handover from H1 to H2."""

    FIRST = 0
    TABLE_2 = 1
    SECOND = 2


class Memory(enum.IntEnum):
    """A home's memory of the key."""

    NONE = 0
    QUEUED = 1
    PLACED = 2
    ANSWERED = 3
    NOT_RUN = 4


class Attempt(enum.IntEnum):
    """States of an attempt."""

    UNSENT = 0
    SENT = 1
    ENDED = 2


class World(typing.NamedTuple):
    """The shard, the attempts and both homes' state of the key.

    `age` counts ticks since the first attempt was sent, `blind` is the rest of
    the blind period of H2.
    """

    key: Key | None = None
    age: int = NOT_SENT
    stage: Stage = Stage.FIRST
    blind: int = 0
    attempts: tuple[Attempt, Attempt] = (Attempt.UNSENT, Attempt.UNSENT)
    queued: tuple[int, int] = (0, 0)
    placed: tuple[int, int] = (0, 0)
    memory: tuple[Memory, Memory] = (Memory.NONE, Memory.NONE)
    runs: int = 0
    answered_not_run: bool = False


def _with_item(
    values: tuple[typing.Any, ...], index: int, value: typing.Any
) -> tuple[typing.Any, ...]:
    return values[:index] + (value,) + values[index + 1 :]


def _after_deadline(memory: Memory) -> Memory:
    return Memory.NOT_RUN if memory is Memory.QUEUED else memory


class Shard(_check.Guarded):
    """Generate the steps of one key and its shard, without a guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        if world.key is None:
            return [(f'key {key.name}', World(key=key)) for key in Key]
        found: _check.Steps = [('tick', self._tick(world))]
        self._hand_over(world, found)
        self._send(world, found)
        for home in (H1, H2):
            self._arrive(world, home, found)
            if world.queued[home]:
                self._drop(world, home, found)
                self._place(world, home, found)
            self._run(world, home, found)
            self._finish(world, home, found)
        return found

    def _tick(self, world: World) -> World:
        if world.age == NOT_SENT:
            return world._replace(blind=max(0, world.blind - 1))
        age = min(world.age + 1, WINDOW_TICKS + 1)
        attempts = world.attempts
        queued = world.queued
        memory = world.memory
        answers_not_run = world.answered_not_run
        if age > WINDOW_TICKS and not self._drops(Guard.LATE_DROPPED):
            attempts = (Attempt.ENDED, Attempt.ENDED)
            answers_not_run = (
                answers_not_run
                or self._may_answer_not_run(world, H1)
                or self._may_answer_not_run(world, H2)
            )
            memory = (_after_deadline(memory[H1]), _after_deadline(memory[H2]))
            queued = (0, 0)
        return world._replace(
            age=age,
            blind=max(0, world.blind - 1),
            attempts=attempts,
            queued=queued,
            memory=memory,
            answered_not_run=answers_not_run,
        )

    def _holds(self, world: World, home: int) -> bool:
        """Return whether a home is active and confirmed for the shard."""
        return (world.stage is Stage.SECOND) is (home == H2)

    def _accepts_work(self, world: World, home: int) -> bool:
        """Return whether a home accepts and places work of the shard."""
        guard = Guard.CONFIRMED if home == H1 else Guard.ACTIVE
        return self._holds(world, home) or self._drops(guard)

    def _may_answer_not_run(self, world: World, home: int) -> bool:
        """Return whether a home answers not-run for dropped queued work."""
        if world.memory[home] is not Memory.QUEUED or not world.queued[home]:
            return False
        lost = not self._holds(world, home)
        return not lost or self._drops(Guard.QUEUE_LOST_UNKNOWN)

    def _hand_over(self, world: World, found: _check.Steps) -> None:
        if world.stage is Stage.FIRST:
            after = world._replace(stage=Stage.TABLE_2)
            found.append(('write T2', after))
        if world.stage is not Stage.TABLE_2:
            return
        blind = REMEMBER_TICKS
        if self._drops(Guard.BLIND):
            blind = 0
        if self._drops(Guard.BLIND_LONG):
            blind = WINDOW_TICKS
        after = world._replace(stage=Stage.SECOND, blind=blind)
        found.append(('H2 active after the fence', after))
        released = world.memory[H1]
        if released is Memory.QUEUED:
            after = world._replace(stage=Stage.SECOND)
            found.append(('H1 releases to H2 without the queued key', after))
        if released is not Memory.NONE and released is not Memory.NOT_RUN:
            released = Memory.ANSWERED
        if self._drops(Guard.MEMORY_RELEASED):
            released = Memory.NONE
        after = world._replace(
            stage=Stage.SECOND, memory=(world.memory[H1], released)
        )
        found.append(('H1 releases to H2', after))

    @staticmethod
    def _send(world: World, found: _check.Steps) -> None:
        if world.age > WINDOW_TICKS:
            return
        if world.key is Key.EPOCH_2 and world.stage is Stage.FIRST:
            return
        if Attempt.UNSENT in world.attempts:
            index = world.attempts.index(Attempt.UNSENT)
            after = world._replace(
                attempts=_with_item(world.attempts, index, Attempt.SENT),
                age=max(0, world.age),
            )
            found.append((f'attempt {index + 1} sent', after))

    def _arrive(self, world: World, home: int, found: _check.Steps) -> None:
        for index in (0, 1):
            if world.attempts[index] is not Attempt.SENT:
                continue
            label = f'attempt {index + 1} at H{home + 1}'
            after = world._replace(
                attempts=_with_item(world.attempts, index, Attempt.ENDED)
            )
            found.append((label, self._received(after, home)))

    def _received(self, world: World, home: int) -> World:
        if self._refuses(world, home):
            if self._drops(Guard.REFUSED_UNKNOWN):
                return world._replace(answered_not_run=True)
            return world
        memory = world.memory[home]
        if memory is Memory.NOT_RUN:
            return world._replace(answered_not_run=True)
        if memory is not Memory.NONE:
            return world
        queued = _with_item(world.queued, home, world.queued[home] + 1)
        if self._drops(Guard.RECORDED_BEFORE):
            return world._replace(queued=queued)
        memories = _with_item(world.memory, home, Memory.QUEUED)
        return world._replace(queued=queued, memory=memories)

    def _refuses(self, world: World, home: int) -> bool:
        if not self._accepts_work(world, home):
            return True
        if home == H1:
            newer = world.key is Key.EPOCH_2
            return newer and not self._drops(Guard.NEWER_EPOCH_REFUSED)
        return world.blind > 0 and world.key is not Key.EPOCH_2

    def _drop(self, world: World, home: int, found: _check.Steps) -> None:
        """Drop a queued attempt, as for lack of a slot or of the shard."""
        answers_not_run = self._may_answer_not_run(world, home)
        memory = world.memory
        if answers_not_run:
            memory = _with_item(memory, home, Memory.NOT_RUN)
            if self._drops(Guard.NOT_RUN_REMEMBERED):
                memory = _with_item(memory, home, Memory.NONE)
        elif memory[home] is Memory.QUEUED:
            memory = _with_item(memory, home, Memory.ANSWERED)
        after = world._replace(
            queued=_with_item(world.queued, home, world.queued[home] - 1),
            memory=memory,
            answered_not_run=world.answered_not_run or answers_not_run,
        )
        found.append((f'H{home + 1} drops queued', after))

    def _place(self, world: World, home: int, found: _check.Steps) -> None:
        if not self._accepts_work(world, home):
            return
        after = world._replace(
            queued=_with_item(world.queued, home, world.queued[home] - 1),
            memory=_with_item(world.memory, home, Memory.PLACED),
            placed=_with_item(world.placed, home, world.placed[home] + 1),
        )
        found.append((f'H{home + 1} places', after))

    def _run(self, world: World, home: int, found: _check.Steps) -> None:
        late = world.age > WINDOW_TICKS
        if world.placed[home] and (
            not late or self._drops(Guard.LATE_DROPPED)
        ):
            after = world._replace(
                placed=_with_item(world.placed, home, world.placed[home] - 1),
                runs=min(MAX_RUNS, world.runs + 1),
            )
            found.append((f'work of H{home + 1} runs', after))

    def _finish(self, world: World, home: int, found: _check.Steps) -> None:
        if world.memory[home] is not Memory.PLACED:
            return
        memory = _with_item(world.memory, home, Memory.ANSWERED)
        after = world._replace(memory=memory)
        found.append((f'H{home + 1} answers', after))
        if self._drops(Guard.FORWARDED_UNKNOWN):
            after = after._replace(answered_not_run=True)
            found.append((f'H{home + 1} answers not-run', after))
        if self._drops(Guard.NO_RETRY):
            queued = _with_item(world.queued, home, world.queued[home] + 1)
            after = world._replace(queued=queued, memory=memory)
            found.append((f'H{home + 1} retries', after))


def at_most_once(fields: dict[str, typing.Any]) -> bool:
    """Hold while the key has run at most once."""
    return bool(fields['runs'] <= 1)


def no_false_not_run(fields: dict[str, typing.Any]) -> bool:
    """Hold while no key that was answered not-run has run."""
    return not (fields['answered_not_run'] and fields['runs'])


def new_home_runs(fields: dict[str, typing.Any]) -> bool:
    """Return whether the new home has placed a foreign key."""
    return fields['key'] is Key.FOREIGN and fields['placed'][H2] > 0


def new_key_runs_while_blind(fields: dict[str, typing.Any]) -> bool:
    """Return whether a new key is placed within the blind period."""
    return bool(fields['blind'] > 0 and fields['placed'][H2] > 0)


def told_not_run(fields: dict[str, typing.Any]) -> bool:
    """Return whether a key was answered not-run."""
    return bool(fields['answered_not_run'])


GOALS = (new_home_runs, new_key_runs_while_blind, told_not_run)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or a mutant with the invariant of its guard."""
    properties = {
        'at_most_once': at_most_once,
        'no_false_not_run': no_false_not_run,
    }
    if dropped in NOT_RUN_GUARDS:
        del properties['at_most_once']
    elif dropped:
        del properties['no_false_not_run']
    return minicheck.Protocol(
        name='memory',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Shard(dropped).steps,
        invariants=properties,
    )
