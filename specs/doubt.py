"""Model the slots of an endpoint across a takeover or a release.

A has stopped placing when it releases or the fence has passed (models
`confirmation` and `succession`). A's earlier writes may reach the endpoint
until its connection times out after TRANSIT_TICKS. Reports and messages may be
delayed or lost.

| guard | code module |
|---|---|
| DOUBT_COUNTED | walnutpoint_entry.endpoints._doubt |
| INHERITED_COUNTED | walnutpoint_entry.endpoints._doubt |
| SENT_COUNTED | walnutpoint_entry.endpoints._doubt |
| SAMPLED_AFTER_FENCE | walnutpoint_entry.endpoints._doubt |
| SAMPLED_AFTER_TRANSIT | walnutpoint_entry.endpoints._doubt |
| OWN_NOT_SUBTRACTED | walnutpoint_entry.endpoints._doubt |
| FINISHED_TOTAL | walnutpoint_entry.endpoints._doubt |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

CAPACITY = 2
TRANSIT_TICKS = 2


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    DOUBT_COUNTED = 'slots in doubt count as busy'
    INHERITED_COUNTED = 'released slots in use count as busy'
    SENT_COUNTED = 'a release counts what was written, not what runs'
    SAMPLED_AFTER_FENCE = 'a usage report is sampled after the fence'
    SAMPLED_AFTER_TRANSIT = 'and transit_s after the last write'
    OWN_NOT_SUBTRACTED = 'own work is not subtracted from a report'
    FINISHED_TOTAL = 'finished work is reported as a running total'


class Stage(enum.IntEnum):
    """Which owner places, and how it gained the endpoint."""

    OLD = 0
    FENCED = 1
    RELEASED = 2


class Report(typing.NamedTuple):
    """A usage report in flight."""

    used: int
    fresh: bool


class World(typing.NamedTuple):
    """The work of both owners and the new owner's counts.

    `sent` is in flight to the endpoint, `running` is there; each for the old
    and the new owner. `since` counts ticks since the handover.
    """

    stage: Stage = Stage.OLD
    since: int = 0
    sent: tuple[int, int] = (0, 0)
    running: tuple[int, int] = (0, 0)
    doubt: int = 0
    inherited: int = 0
    finished: int = 0
    reported: int = 0
    report: Report | None = None


class Slots(_check.Guarded):
    """Generate the steps of one handover, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        self._work(world, found)
        if world.stage is Stage.OLD:
            self._hand_over(world, found)
        else:
            self._tick(world, found)
            self._finished(world, found)
            self._receive(world, found)
        found.append(('endpoint reports', self._sampled(world)))
        return found

    @staticmethod
    def _work(world: World, found: _check.Steps) -> None:
        (sent_a, sent_b), (run_a, run_b) = world.sent, world.running
        old = world.stage is Stage.OLD
        if old and sent_a + run_a < CAPACITY:
            after = world._replace(sent=(sent_a + 1, sent_b))
            found.append(('A writes', after))
        if not old and world.doubt + sent_b + run_b < CAPACITY:
            after = world._replace(sent=(sent_a, sent_b + 1))
            found.append(('B writes', after))
        if sent_a:
            after = world._replace(
                sent=(sent_a - 1, sent_b), running=(run_a + 1, run_b)
            )
            found.append(('work of A arrives', after))
        if sent_b:
            after = world._replace(
                sent=(sent_a, sent_b - 1), running=(run_a, run_b + 1)
            )
            found.append(('work of B arrives', after))
        if run_a:
            released = world.stage is Stage.RELEASED
            after = world._replace(
                running=(run_a - 1, run_b),
                finished=world.finished + int(released),
            )
            found.append(('work of A finishes', after))
        if run_b:
            after = world._replace(running=(run_a, run_b - 1))
            found.append(('work of B finishes', after))

    def _hand_over(self, world: World, found: _check.Steps) -> None:
        doubt = 0 if self._drops(Guard.DOUBT_COUNTED) else CAPACITY
        after = world._replace(stage=Stage.FENCED, doubt=doubt)
        found.append(('B takes over after the fence', after))
        inherited = world.running[0]
        if not self._drops(Guard.SENT_COUNTED):
            inherited += world.sent[0]
        if self._drops(Guard.INHERITED_COUNTED):
            inherited = 0
        after = world._replace(
            stage=Stage.RELEASED, doubt=inherited, inherited=inherited
        )
        found.append(('A releases to B', after))

    @staticmethod
    def _tick(world: World, found: _check.Steps) -> None:
        """Advance a tick; after the last, writes in flight are lost."""
        if world.since == TRANSIT_TICKS:
            return
        after = world._replace(since=world.since + 1)
        if after.since == TRANSIT_TICKS:
            after = after._replace(sent=(0, world.sent[1]))
        found.append(('tick', after))

    def _sampled(self, world: World) -> World:
        fresh = world.stage is not Stage.OLD
        if not self._drops(Guard.SAMPLED_AFTER_TRANSIT):
            fresh = fresh and world.since == TRANSIT_TICKS
        if self._drops(Guard.SAMPLED_AFTER_FENCE):
            fresh = fresh or world.stage is Stage.OLD
        return world._replace(report=Report(sum(world.running), fresh))

    def _finished(self, world: World, found: _check.Steps) -> None:
        if world.reported >= world.finished:
            return
        after = world._replace(reported=world.reported + 1)
        doubt = min(world.doubt, world.inherited - after.reported)
        if self._drops(Guard.FINISHED_TOTAL):
            doubt = max(0, world.doubt - 1)
        found.append(('A reports finished', after._replace(doubt=doubt)))

    def _receive(self, world: World, found: _check.Steps) -> None:
        report = world.report
        if report is None or not report.fresh:
            return
        used = report.used
        if self._drops(Guard.OWN_NOT_SUBTRACTED):
            used = max(0, used - world.sent[1] - world.running[1])
        after = world._replace(report=None, doubt=min(world.doubt, used))
        found.append((f'B gets report of {used}', after))


def within_capacity(fields: dict[str, typing.Any]) -> bool:
    """Hold while the endpoint runs at most as many as it has slots."""
    return bool(sum(fields['running']) <= CAPACITY)


def filled_after_fence(fields: dict[str, typing.Any]) -> bool:
    """Return whether the new owner fills the endpoint after a fence."""
    fenced = fields['stage'] is Stage.FENCED
    return fenced and fields['running'][1] == CAPACITY


def filled_after_release(fields: dict[str, typing.Any]) -> bool:
    """Return whether the new owner fills the endpoint after a release."""
    released = fields['stage'] is Stage.RELEASED
    return released and fields['running'][1] == CAPACITY


GOALS = (filled_after_fence, filled_after_release)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='doubt',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Slots(dropped).steps,
        invariants={'within_capacity': within_capacity},
    )
