"""Model what counts for a client account's limit, over a takeover.

An account with two waiting tasks may run one at a time. A scheduler plans a
run, journals it, and sends its start, which may arrive at any later time,
answered or not. A worker may fall silent, and kills its runs once its lease
lapses. At any moment a scheduler that reads the journal may replace the first.

| guard | code module |
|---|---|
| LIMIT_ASKED | walnutpoint_scheduler._limits (startable_tasks) |
| JOURNAL_FIRST | walnutpoint_scheduler._orders (_launch) |
| DOUBT_COUNTS | walnutpoint_scheduler._orders (_apply_start_reply) |
| STOPPING_COUNTS | walnutpoint_scheduler._worker (release) |
| LEASE_WAITED | walnutpoint_scheduler._links (_lose_runs_after_lease) |
| RECORDS_COUNT | walnutpoint_scheduler.intake (Restorer._restore_run) |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

TASKS = 2
LIMIT = 1
TERMS = 2


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    LIMIT_ASKED = 'a run is planned only within the limit'
    JOURNAL_FIRST = 'a start is sent only once its run is journaled'
    DOUBT_COUNTS = 'a start without an answer counts until it is blocked'
    STOPPING_COUNTS = 'a run that is being stopped counts until its end'
    LEASE_WAITED = 'the runs of a silent worker count until its lease lapses'
    RECORDS_COUNT = 'a new scheduler counts the runs that are journaled'


class Stage(enum.IntEnum):
    """States of a run, which the scheduler can't observe in full."""

    WAITING = 0
    PLANNED = 1
    JOURNALED = 2
    IN_FLIGHT = 3
    RUNNING = 4
    ENDED = 5


class Run(typing.NamedTuple):
    """A task's only run, and whether the scheduler counts it."""

    stage: Stage = Stage.WAITING
    counted: bool = False
    # Whether it is journaled.
    recorded: bool = False
    # Whether its start timed out, or its worker is silent.
    doubted: bool = False


class World(typing.NamedTuple):
    """The runs and the number of the scheduler's term."""

    runs: tuple[Run, ...] = (Run(),) * TASKS
    term: int = 1


class AccountLimit(_check.Guarded):
    """Generate the steps of two runs, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(tuple(Run(*run) for run in state[0]), state[1])
        found: _check.Steps = []
        for number, run in enumerate(world.runs):
            self._launch(world, number, run, found)
            self._doubt(world, number, run, found)
            self._end(world, number, run, found)
        if world.term < TERMS:
            found.append(
                ('another scheduler takes over', self._replaced(world))
            )
        return found

    def _launch(
        self, world: World, number: int, run: Run, found: _check.Steps
    ) -> None:
        counted = sum(each.counted for each in world.runs)
        allowed = counted < LIMIT or self._drops(Guard.LIMIT_ASKED)
        if run.stage is Stage.WAITING and allowed:
            planned = Run(Stage.PLANNED, True)
            found.append((f'{number} planned', _with(world, number, planned)))
        may_send = run.stage is Stage.JOURNALED
        if run.stage is Stage.PLANNED:
            stored = run._replace(stage=Stage.JOURNALED, recorded=True)
            found.append((f'{number} stored', _with(world, number, stored)))
            may_send = self._drops(Guard.JOURNAL_FIRST)
        if may_send and run.counted:
            sent = run._replace(stage=Stage.IN_FLIGHT)
            found.append((f'{number} sent', _with(world, number, sent)))
        if run.stage is Stage.IN_FLIGHT:
            started = run._replace(stage=Stage.RUNNING)
            found.append((f'{number} begins', _with(world, number, started)))

    def _doubt(
        self, world: World, number: int, run: Run, found: _check.Steps
    ) -> None:
        """Lose an answer, or a worker, and resolve the doubt."""
        if run.stage is Stage.IN_FLIGHT and run.counted and not run.doubted:
            counts = not self._drops(Guard.DOUBT_COUNTS)
            lost = run._replace(doubted=True, counted=counts)
            found.append((f'{number} unanswered', _with(world, number, lost)))
        if run.stage is Stage.RUNNING and run.counted and not run.doubted:
            counts = not self._drops(Guard.LEASE_WAITED)
            silent = run._replace(doubted=True, counted=counts)
            found.append((f'{number} silent', _with(world, number, silent)))
        if run.doubted and run.stage in (Stage.IN_FLIGHT, Stage.RUNNING):
            # Blocked by an answered stop, or killed by its worker.
            settled = Run(Stage.ENDED, False, run.recorded)
            found.append((f'{number} settled', _with(world, number, settled)))

    def _end(
        self, world: World, number: int, run: Run, found: _check.Steps
    ) -> None:
        if run.stage is Stage.RUNNING and run.counted:
            stopping = run._replace(
                counted=not self._drops(Guard.STOPPING_COUNTS)
            )
            found.append((f'{number} stopped', _with(world, number, stopping)))
        if run.stage is Stage.RUNNING:
            ended = run._replace(stage=Stage.ENDED)
            found.append((f'{number} ends', _with(world, number, ended)))
        if run.stage is Stage.ENDED and run.counted:
            listed = run._replace(counted=False)
            found.append((f'{number} listed', _with(world, number, listed)))

    def _replaced(self, world: World) -> World:
        """Start a scheduler with the state in the journal."""
        counts = not self._drops(Guard.RECORDS_COUNT)
        runs = []
        for run in world.runs:
            if run.recorded:
                run = run._replace(counted=counts)
            elif run.stage is Stage.PLANNED:
                run = Run()
            else:
                run = run._replace(counted=False)
            runs.append(run)
        return World(tuple(runs), world.term + 1)


def _with(world: World, number: int, run: Run) -> World:
    runs = list(world.runs)
    runs[number] = run
    return world._replace(runs=tuple(runs))


def limit_holds(fields: dict[str, typing.Any]) -> bool:
    """Hold while the account runs no more tasks than its limit."""
    running = sum(run[0] == Stage.RUNNING for run in fields['runs'])
    return running <= LIMIT


def second_runs_after_first(fields: dict[str, typing.Any]) -> bool:
    """Return whether a task runs after the other's run has ended."""
    stages = sorted(run[0] for run in fields['runs'])
    return stages == [Stage.RUNNING, Stage.ENDED]


def runs_in_the_next_term(fields: dict[str, typing.Any]) -> bool:
    """Return whether a task of the next term runs."""
    return fields['term'] == TERMS and any(
        run[0] == Stage.RUNNING and run[1] for run in fields['runs']
    )


GOALS = (second_runs_after_first, runs_in_the_next_term)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='account limit',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=AccountLimit(dropped).steps,
        invariants={'limit_holds': limit_holds},
    )
