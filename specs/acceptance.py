"""Model the acceptance of one job over a store that may not answer.

A process commits a job, and sends a concurrent retry if the answer is late.
Each try is applied or refused on arrival, which may be at any later time; its
answer is received or lost. The process then answers the caller that the job
was accepted, refused, or that this is unknown. A scheduler starts the job once
it is stored.

| guard | code module |
|---|---|
| STORED_FIRST | walnutpoint_scheduler.submission (submit) |
| ABSENCE_GUARDED | walnutpoint_scheduler.submission (submit) |
| REFUSAL_OF_ALL | walnutpoint_core.web._hedge (_record) |
| SILENCE_IN_DOUBT | walnutpoint_core.web._hedge (outcome) |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

TRIES_MAX = 3


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    STORED_FIRST = 'a job is reported accepted only after a commit was applied'
    ABSENCE_GUARDED = 'a job is stored only if it is absent'
    REFUSAL_OF_ALL = 'a job is reported refused only if every try was'
    SILENCE_IN_DOUBT = 'a try without an answer may have been applied'


class Try(enum.IntEnum):
    """States of one try, which the process can't observe in full."""

    UNSENT = 0
    IN_FLIGHT = 1
    # Applied, its answer in flight.
    APPLIED = 2
    ALREADY_STORED = 3
    REFUSED = 4
    # The process has received the answer.
    RECEIVED_APPLIED = 5
    RECEIVED_ALREADY_STORED = 6
    RECEIVED_REFUSED = 7
    # Timed out in flight; it may still be applied.
    TIMED_OUT = 8
    ENDED = 9


class CallerAnswer(enum.IntEnum):
    """Answers to the caller."""

    NONE = 0
    ACCEPTED = 1
    REFUSED = 2
    UNKNOWN = 3


class World(typing.NamedTuple):
    """The tries, the store and the answer.

    `copies` counts how often the job was newly stored; `runs` says whether a
    scheduler has started it.
    """

    tries: tuple[Try, ...] = (Try.UNSENT,) * TRIES_MAX
    stored: bool = False
    copies: int = 0
    runs: bool = False
    answer: CallerAnswer = CallerAnswer.NONE


RECEIVED = {
    Try.APPLIED: Try.RECEIVED_APPLIED,
    Try.ALREADY_STORED: Try.RECEIVED_ALREADY_STORED,
    Try.REFUSED: Try.RECEIVED_REFUSED,
}
STORED_ANSWERS = (Try.RECEIVED_APPLIED, Try.RECEIVED_ALREADY_STORED)


class Acceptance(_check.Guarded):
    """Generate the steps of one acceptance, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        for number, stage in enumerate(world.tries):
            self._try(world, number, stage, found)
        if world.answer is CallerAnswer.NONE:
            self._answer_caller(world, found)
        if world.stored and not world.runs:
            found.append(('scheduler starts', world._replace(runs=True)))
        return found

    def _try(
        self, world: World, number: int, stage: Try, found: _check.Steps
    ) -> None:
        def after(next_stage: Try, **fields: object) -> World:
            tries = list(world.tries)
            tries[number] = next_stage
            return world._replace(tries=tuple(tries), **fields)

        name = f'try {number}'
        if stage is Try.UNSENT and world.answer is CallerAnswer.NONE:
            before = world.tries[:number]
            if all(earlier is not Try.UNSENT for earlier in before):
                found.append((f'{name} is sent', after(Try.IN_FLIGHT)))
        if stage in (Try.IN_FLIGHT, Try.TIMED_OUT):
            self._arrive(world, name, stage, after, found)
        if stage is Try.IN_FLIGHT:
            found.append((f'{name} times out', after(Try.TIMED_OUT)))
        if stage in RECEIVED:
            found.append((f'{name} is answered', after(RECEIVED[stage])))
            found.append((f'answer of {name} is lost', after(Try.ENDED)))

    def _arrive(
        self,
        world: World,
        name: str,
        stage: Try,
        after: typing.Callable[..., World],
        found: _check.Steps,
    ) -> None:
        """Apply a try, or refuse it; the answer of a timed-out one is lost."""
        is_timed_out = stage is Try.TIMED_OUT
        if not world.stored or self._drops(Guard.ABSENCE_GUARDED):
            stage = Try.ENDED if is_timed_out else Try.APPLIED
            copies = min(world.copies + 1, 2)
            found.append(
                (
                    f'{name} is applied',
                    after(stage, stored=True, copies=copies),
                )
            )
        else:
            stage = Try.ENDED if is_timed_out else Try.ALREADY_STORED
            found.append((f'{name} finds the job', after(stage)))
        stage = Try.ENDED if is_timed_out else Try.REFUSED
        found.append((f'{name} is refused', after(stage)))

    def _answer_caller(self, world: World, found: _check.Steps) -> None:
        sent = [t for t in world.tries if t is not Try.UNSENT]
        if not sent:
            return
        if any(t in STORED_ANSWERS for t in sent) or self._drops(
            Guard.STORED_FIRST
        ):
            found.append(
                (
                    'caller is answered accepted',
                    world._replace(answer=CallerAnswer.ACCEPTED),
                )
            )
            return
        refused = [t is Try.RECEIVED_REFUSED for t in sent]
        is_unanswered = [t in (Try.TIMED_OUT, Try.ENDED) for t in sent]
        is_refused = all(refused)
        if self._drops(Guard.REFUSAL_OF_ALL):
            is_refused = any(refused)
        if self._drops(Guard.SILENCE_IN_DOUBT):
            pairs = zip(refused, is_unanswered, strict=True)
            is_refused = all(one or other for one, other in pairs)
        if is_refused:
            found.append(
                (
                    'caller is answered refused',
                    world._replace(answer=CallerAnswer.REFUSED),
                )
            )
        elif any(is_unanswered):
            found.append(
                (
                    'caller is answered unknown',
                    world._replace(answer=CallerAnswer.UNKNOWN),
                )
            )


def refused_never_runs(fields: dict[str, typing.Any]) -> bool:
    """Hold while no job runs that was reported refused."""
    return not (fields['answer'] is CallerAnswer.REFUSED and fields['runs'])


def accepted_is_stored(fields: dict[str, typing.Any]) -> bool:
    """Hold while every job that was reported accepted is stored."""
    return fields['answer'] is not CallerAnswer.ACCEPTED or fields['stored']


def stored_once(fields: dict[str, typing.Any]) -> bool:
    """Hold while a job is newly stored at most once."""
    return fields['copies'] <= 1


def accepted_by_a_repeat(fields: dict[str, typing.Any]) -> bool:
    """Return whether a job is accepted though its first answer was lost."""
    first = fields['tries'][0]
    return fields['answer'] is CallerAnswer.ACCEPTED and first is Try.ENDED


def refused_after_a_repeat(fields: dict[str, typing.Any]) -> bool:
    """Return whether a job is refused after two tries."""
    second = fields['tries'][1]
    return (
        fields['answer'] is CallerAnswer.REFUSED
        and second is Try.RECEIVED_REFUSED
    )


GOALS = (accepted_by_a_repeat, refused_after_a_repeat)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='acceptance',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Acceptance(dropped).steps,
        invariants={
            'refused_never_runs': refused_never_runs,
            'accepted_is_stored': accepted_is_stored,
            'stored_once': stored_once,
        },
    )
