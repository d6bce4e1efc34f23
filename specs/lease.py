"""Model the handover of a task from one job owner to the next.

The task runs on worker W under a lease that the owner of W renews. J1 has
started it there, or its start is still in flight, when J2 takes over. W may
be cut off, and may pass from owner B to owner C by a newer table that J2
learns of late. J2 asks both owners and starts the task on another worker, V,
once it concludes that it runs nowhere.

| guard | code module |
|---|---|
| EPOCH_FENCED | walnutpoint_entry.tasks._service |
| KNOWN_RENEWED | walnutpoint_entry.tasks._leases |
| KNOWN_KEPT | walnutpoint_entry.tasks._leases |
| INCOMPLETE_TOLD | walnutpoint_entry.tasks._service |
| ALL_ASKED | walnutpoint_entry.jobs._recovery |
| ONE_TABLE | walnutpoint_entry.jobs._recovery |
| SETTLED | walnutpoint_entry.jobs._recovery |
| LAPSE_WAITED | walnutpoint_entry.jobs._recovery |
| ASKED_AGAIN | walnutpoint_entry.jobs._recovery |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

LEASE_TICKS = 2
B, C = 0, 1


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    EPOCH_FENCED = 'an owner that answered J2 refuses a start of J1'
    KNOWN_RENEWED = 'an owner renews only the leases of tasks it knows'
    KNOWN_KEPT = 'and shows a task until the lease that it gave has lapsed'
    INCOMPLETE_TOLD = 'an owner that does not know a worker reports so'
    ALL_ASKED = 'every owner in the table has answered'
    ONE_TABLE = 'a newer table invalidates all answers'
    SETTLED = 'the table is confirmed after the last answer'
    LAPSE_WAITED = 'a lease has lapsed if an answer was incomplete'
    ASKED_AGAIN = 'and all are asked again after that'


class Answer(typing.NamedTuple):
    """An owner's answer to J2."""

    complete: bool
    again: bool = False


class World(typing.NamedTuple):
    """The workers, their owners and J2's view.

    `known` says that the owner of W knows its runs. `waited` counts the ticks
    since both owners had answered.
    """

    sent: bool = False
    running_w: bool = False
    running_v: bool = False
    lease: int = 0
    cut: bool = False
    owner: int = B
    known: bool = True
    taken_over: bool = False
    fenced: tuple[bool, bool] = (False, False)
    known_owner: int = B
    answers: tuple[Answer | None, Answer | None] = (None, None)
    waited: int = -1
    settled: bool = False
    found: bool = False


class Handover(_check.Guarded):
    """Generate the steps of one handover, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        self._predecessor(world, found)
        self._worker(world, found)
        if world.taken_over and not world.found:
            self._ask(world, found)
            self._learn(world, found)
            self._start(world, found)
        return found

    def _predecessor(self, world: World, found: _check.Steps) -> None:
        if not world.taken_over:
            if not world.sent and not world.running_w:
                found.append(('J1 sends a start', world._replace(sent=True)))
            found.append(('J2 takes over', world._replace(taken_over=True)))
        if not world.sent:
            return
        dropped = world._replace(sent=False)
        found.append(('the start is lost', dropped))
        fenced = world.fenced[B] and not self._drops(Guard.EPOCH_FENCED)
        if world.owner == B and not world.cut and not fenced:
            after = dropped._replace(running_w=True, lease=LEASE_TICKS)
            found.append(('B starts the task on W', after))

    def _worker(self, world: World, found: _check.Steps) -> None:
        found.append(('tick', self._tick(world)))
        found.append(
            ('W is cut off or reconnected', world._replace(cut=not world.cut))
        )
        if world.owner == B:
            after = world._replace(owner=C, known=False)
            found.append(('W passes to C', after))
        if not world.cut:
            if not world.known:
                after = world._replace(known=True)
                found.append(('W reports to its owner', after))
            knows = world.known or self._drops(Guard.KNOWN_RENEWED)
            if world.running_w and knows:
                after = world._replace(lease=LEASE_TICKS)
                found.append(('the lease is renewed', after))
        may_forget = not world.lease or self._drops(Guard.KNOWN_KEPT)
        if world.known and world.cut and may_forget:
            after = world._replace(known=False)
            found.append(('the owner knows W no more', after))

    @staticmethod
    def _tick(world: World) -> World:
        lease = max(0, world.lease - 1)
        waited = world.waited
        if waited >= 0:
            waited = min(waited + 1, LEASE_TICKS)
        return world._replace(
            lease=lease,
            running_w=world.running_w and lease > 0,
            waited=waited,
        )

    def _ask(self, world: World, found: _check.Steps) -> None:
        for owner in (B, C):
            owns_w = world.owner == owner
            if owns_w and world.known and world.running_w:
                after = world._replace(found=True)
                found.append((f'{"BC"[owner]} shows the task', after))
                continue
            complete = not owns_w or world.known
            if self._drops(Guard.INCOMPLETE_TOLD):
                complete = True
            again = world.waited >= LEASE_TICKS
            answers = list(world.answers)
            answers[owner] = Answer(complete, again)
            fenced = list(world.fenced)
            fenced[owner] = True
            waited = world.waited
            if waited < 0 and self._has_all_answers(tuple(answers)):
                waited = 0
            after = world._replace(
                answers=tuple(answers),
                fenced=tuple(fenced),
                waited=waited,
                settled=False,
            )
            found.append((f'{"BC"[owner]} answers', after))

    def _has_all_answers(self, answers: tuple[Answer | None, ...]) -> bool:
        if self._drops(Guard.ALL_ASKED):
            return any(answers)
        return all(answers)

    def _learn(self, world: World, found: _check.Steps) -> None:
        if world.known_owner != world.owner:
            after = world._replace(known_owner=world.owner)
            if not self._drops(Guard.ONE_TABLE):
                after = after._replace(
                    answers=(None, None), waited=-1, settled=False
                )
            found.append(('J2 learns of the newer table', after))
        elif not world.settled and self._answers_suffice(world):
            after = world._replace(settled=True)
            found.append(('the table is confirmed', after))

    def _answers_suffice(self, world: World) -> bool:
        answers = [one for one in world.answers if one is not None]
        if not self._has_all_answers(world.answers):
            return False
        if all(one.complete for one in answers):
            return True
        if self._drops(Guard.LAPSE_WAITED):
            return True
        if world.waited < LEASE_TICKS:
            return False
        return self._drops(Guard.ASKED_AGAIN) or all(
            one.again for one in answers
        )

    def _start(self, world: World, found: _check.Steps) -> None:
        settled = world.settled or self._drops(Guard.SETTLED)
        if self._answers_suffice(world) and settled and not world.running_v:
            after = world._replace(running_v=True)
            found.append(('J2 starts the task on V', after))


def in_one_place(fields: dict[str, typing.Any]) -> bool:
    """Hold while the task runs on at most one worker."""
    return not (fields['running_w'] and fields['running_v'])


def started_after_lapse(fields: dict[str, typing.Any]) -> bool:
    """Return whether J2 starts the task despite an incomplete answer."""
    incomplete = any(
        one is not None and not one.complete for one in fields['answers']
    )
    return bool(fields['running_v'] and incomplete)


def adopted(fields: dict[str, typing.Any]) -> bool:
    """Return whether J2 finds the task running."""
    return bool(fields['found'] and fields['running_w'])


GOALS = (started_after_lapse, adopted)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='lease',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Handover(dropped).steps,
        invariants={'in_one_place': in_one_place},
    )
