"""Model a cancel of a job whose submission may still be under way.

A client submits a job, up to SUBMISSIONS_MAX times and at any host. Each
write of the job may be applied at any later time; the first one stores it.
The client cancels it at another host, which reads the store, writes what it
found to be needed, and answers.

| guard | code module |
|---|---|
| NAME_STORED | walnutpoint_scheduler.submission (_reserve) |
| ONLY_IF_ABSENT | walnutpoint_scheduler.submission (_reserve) |
| READ_AGAIN | walnutpoint_scheduler.submission (_cancel_stored) |
| STORED_ONCE | walnutpoint_scheduler.submission (submit) |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

SUBMISSIONS_MAX = 2


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    NAME_STORED = 'a cancel of an unknown job reserves its name'
    ONLY_IF_ABSENT = 'the name is reserved only if the job has not come'
    READ_AGAIN = 'a cancel that finds the job changed reads it again'
    STORED_ONCE = 'a job is stored only if its name is not there'


class Entry(enum.IntEnum):
    """What the store holds under the job's name."""

    ABSENT = 0
    JOB = 1
    CANCELLED_JOB = 2
    RESERVED_NAME = 3


class Cancel(enum.IntEnum):
    """How far the cancel has come."""

    UNSENT = 0
    READ_NOTHING = 1
    READ_JOB = 2
    ACKNOWLEDGED = 3


class World(typing.NamedTuple):
    """The store's entry, the client's calls, and accepted submissions."""

    entry: Entry = Entry.ABSENT
    submitted: int = 0
    in_flight: int = 0
    accepted: bool = False
    cancel: Cancel = Cancel.UNSENT


class Withdrawal(_check.Guarded):
    """Generate the steps of the calls, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        if world.submitted < SUBMISSIONS_MAX:
            found.append(
                (
                    'job is submitted',
                    world._replace(
                        submitted=world.submitted + 1,
                        in_flight=world.in_flight + 1,
                    ),
                )
            )
        if world.in_flight:
            found.append(('write is applied', self._applied(world)))
        if world.cancel is Cancel.UNSENT and world.submitted:
            read = Cancel.READ_JOB if world.entry else Cancel.READ_NOTHING
            found.append(('cancel reads', world._replace(cancel=read)))
        if world.cancel in (Cancel.READ_NOTHING, Cancel.READ_JOB):
            found.append(('cancel writes', self._cancelled(world)))
        return found

    def _applied(self, world: World) -> World:
        """Store the job, unless its name is there."""
        after = world._replace(in_flight=world.in_flight - 1)
        if world.entry is not Entry.ABSENT and not self._drops(
            Guard.STORED_ONCE
        ):
            return after
        return after._replace(entry=Entry.JOB, accepted=True)

    def _cancelled(self, world: World) -> World:
        """Write what the cancel found to be needed, and answer."""
        done = world._replace(cancel=Cancel.ACKNOWLEDGED)
        if world.cancel is Cancel.READ_JOB:
            if world.entry is Entry.JOB:
                return done._replace(entry=Entry.CANCELLED_JOB)
            return done
        if self._drops(Guard.NAME_STORED):
            return done
        if world.entry is Entry.ABSENT or self._drops(Guard.ONLY_IF_ABSENT):
            return done._replace(entry=Entry.RESERVED_NAME)
        if self._drops(Guard.READ_AGAIN):
            return done
        return world._replace(cancel=Cancel.UNSENT)


def cancelled_never_runs(fields: dict[str, typing.Any]) -> bool:
    """Hold while no job is left to run once its cancel is acknowledged."""
    is_acknowledged = fields['cancel'] is Cancel.ACKNOWLEDGED
    return not (is_acknowledged and fields['entry'] is Entry.JOB)


def accepted_keeps_its_job(fields: dict[str, typing.Any]) -> bool:
    """Hold while a job that was accepted is stored as a job."""
    return not (fields['accepted'] and fields['entry'] is Entry.RESERVED_NAME)


def submission_comes_last(fields: dict[str, typing.Any]) -> bool:
    """Return whether a cancel was over before the job was ever stored."""
    return (
        fields['cancel'] is Cancel.ACKNOWLEDGED
        and fields['entry'] is Entry.RESERVED_NAME
        and not fields['in_flight']
    )


def job_comes_meanwhile(fields: dict[str, typing.Any]) -> bool:
    """Return whether a job is cancelled that came after the first read."""
    return (
        fields['cancel'] is Cancel.ACKNOWLEDGED
        and fields['entry'] is Entry.CANCELLED_JOB
    )


GOALS = (submission_comes_last, job_comes_meanwhile)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='withdrawal',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Withdrawal(dropped).steps,
        invariants={
            'cancelled_never_runs': cancelled_never_runs,
            'accepted_keeps_its_job': accepted_keeps_its_job,
        },
    )
