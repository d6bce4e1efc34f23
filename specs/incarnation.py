"""Model one task and a worker that restarts under the same name.

The scheduler starts the task on the worker, or elsewhere, and other tasks end
on the worker. A start may arrive at once, late, or never, at the intended
process or the next one. A process that runs the task may end it; ends are
numbered from one in each process, and dropped up to an acknowledged number. A
report is one call: it carries the scheduler's fencing token, and returns the
process's start, its run and its ends.

Assumptions: no start reaches a process later than the next one, or, once its
run was given up, a process that the scheduler has not called yet; no
acknowledgement reaches an unintended process.

| guard | code module |
|---|---|
| FENCE_RISES | walnutpoint_scheduler._worker (WorkerState.fencing_token) |
| FENCE_CHECKED | the platform's workers |
| NUMBERS_CLEARED | walnutpoint_scheduler._worker_restart (_new_incarnation) |
| LISTED_KEPT | walnutpoint_scheduler._worker_restart (_surviving_runs) |
| DOUBT_KEPT | walnutpoint_scheduler._worker_restart (_replace) |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

PROCESSES_MAX = 3
# Ends of other tasks in one process.
OTHERS_MAX = 2
ATTEMPTS_MAX = 4


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    FENCE_RISES = 'calls to a new process carry a higher token'
    FENCE_CHECKED = 'a process refuses a token below one that it has seen'
    NUMBERS_CLEARED = 'ends of a new process are read from the first on'
    LISTED_KEPT = 'a run that the new process reports is kept'
    DOUBT_KEPT = 'a run without an answer waits for the next report'


class Phase(enum.IntEnum):
    """The scheduler's view of the task."""

    WAITING = 0
    SENT = 1
    RUNNING = 2
    ELSEWHERE = 3
    DONE = 4


class Start(typing.NamedTuple):
    """A start in flight: its attempt, token and intended process."""

    attempt: int
    token: int
    process: int


class World(typing.NamedTuple):
    """The worker's newest process, and the scheduler's view.

    `ends` has the numbers and attempts of ends that are not acknowledged.
    """

    process: int = 1
    highest_token: int = 0
    run: int = 0
    blocked: int = 0
    ends: tuple[tuple[int, int], ...] = ()
    last_end: int = 0
    starts: tuple[Start, ...] = ()
    known: int = 1
    token: int = 1
    phase: Phase = Phase.WAITING
    attempt: int = 0
    processed: int = 0
    restarts_seen: int = 0
    # Whether an end was acknowledged, or happened elsewhere.
    acknowledged: bool = False
    # Whether a start was executed after such an end.
    repeated: bool = False


class Worker(_check.Guarded):
    """Generate the steps of a task on a worker, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        self._start(world, found)
        self._arrive(world, found)
        self._end(world, found)
        found.append(('report', self._reported(world)))
        if world.process < PROCESSES_MAX:
            found.append(('worker restarts', _restarted(world)))
        return found

    def _start(self, world: World, found: _check.Steps) -> None:
        if world.phase is Phase.WAITING and world.attempt < ATTEMPTS_MAX:
            attempt = world.attempt + 1
            start = Start(attempt, world.token, world.known)
            planned = world._replace(attempt=attempt)
            found.append(
                (
                    'start is sent',
                    planned._replace(
                        phase=Phase.SENT, starts=(*world.starts, start)
                    ),
                )
            )
            found.append(
                (
                    'start elsewhere',
                    planned._replace(
                        phase=Phase.ELSEWHERE,
                        repeated=world.repeated or world.acknowledged,
                    ),
                )
            )

    def _arrive(self, world: World, found: _check.Steps) -> None:
        for start in world.starts:
            left = tuple(s for s in world.starts if s != start)
            after = self._executed(world._replace(starts=left), start)
            found.append(('start arrives, not answered', after))
            is_newest = start.attempt == after.attempt
            if is_newest and after.phase is Phase.SENT:
                if after.run == start.attempt:
                    found.append(
                        (
                            'start arrives, answered',
                            after._replace(phase=Phase.RUNNING),
                        )
                    )

    def _executed(self, world: World, start: Start) -> World:
        is_refused = start.token < world.highest_token
        if is_refused and not self._drops(Guard.FENCE_CHECKED):
            return world
        if start.attempt <= world.blocked or world.run:
            return world
        return world._replace(
            highest_token=max(world.highest_token, start.token),
            run=start.attempt,
            repeated=world.repeated or world.acknowledged,
        )

    def _end(self, world: World, found: _check.Steps) -> None:
        if world.run:
            number = world.last_end + 1
            found.append(
                (
                    'run is done',
                    world._replace(
                        run=0,
                        blocked=world.run,
                        last_end=number,
                        ends=(*world.ends, (number, world.run)),
                    ),
                )
            )
        if world.last_end < OTHERS_MAX:
            number = world.last_end + 1
            found.append(
                (
                    'another task is done',
                    world._replace(
                        last_end=number, ends=(*world.ends, (number, 0))
                    ),
                )
            )
        if world.phase is Phase.ELSEWHERE:
            found.append(
                (
                    'done elsewhere',
                    world._replace(phase=Phase.DONE, acknowledged=True),
                )
            )

    def _reported(self, world: World) -> World:
        """Apply a report of the newest process, and acknowledge its ends."""
        if world.token < world.highest_token:
            return world
        world = world._replace(
            highest_token=max(world.highest_token, world.token)
        )
        if world.known != world.process:
            return self._succeeded(world)
        read = {a for n, a in world.ends if n > world.processed}
        forgotten = any(attempt for _, attempt in world.ends)
        world = world._replace(
            ends=(),
            processed=max(world.processed, world.last_end),
            acknowledged=world.acknowledged or forgotten,
        )
        is_assumed_running = world.phase in (Phase.SENT, Phase.RUNNING)
        if is_assumed_running and world.attempt in read:
            return world._replace(phase=Phase.DONE)
        if is_assumed_running and world.run == world.attempt:
            return world._replace(phase=Phase.RUNNING)
        # By now a start for a former process is refused.
        may_arrive = any(
            s.attempt == world.attempt and s.process == world.known
            for s in world.starts
        )
        if is_assumed_running and not may_arrive:
            return world._replace(phase=Phase.WAITING)
        return world

    def _succeeded(self, world: World) -> World:
        """Switch to a new process, whose report lists its own runs."""
        token, processed = world.token + 1, 0
        if self._drops(Guard.FENCE_RISES):
            token = world.token
        if self._drops(Guard.NUMBERS_CLEARED):
            processed = world.processed
        phase = world.phase
        listed = {a for _, a in world.ends} | {world.run}
        if phase in (Phase.SENT, Phase.RUNNING):
            is_kept = world.attempt in listed
            if self._drops(Guard.LISTED_KEPT):
                is_kept = False
            if phase is Phase.SENT and not self._drops(Guard.DOUBT_KEPT):
                is_kept = True
            if not is_kept:
                phase = Phase.WAITING
        return world._replace(
            known=world.process,
            token=token,
            processed=processed,
            phase=phase,
            restarts_seen=world.restarts_seen + 1,
        )


def _restarted(world: World) -> World:
    """Start the next process with an empty state."""
    reaching = tuple(
        start
        for start in world.starts
        if start.process == world.process
        and start.attempt == world.attempt
        and world.phase is Phase.SENT
    )
    return world._replace(
        process=world.process + 1,
        highest_token=0,
        run=0,
        blocked=0,
        ends=(),
        last_end=0,
        starts=reaching,
    )


def runs_once_at_a_time(fields: dict[str, typing.Any]) -> bool:
    """Hold while the task doesn't run here and elsewhere."""
    return not (fields['run'] and fields['phase'] is Phase.ELSEWHERE)


def runs_no_more_once_done(fields: dict[str, typing.Any]) -> bool:
    """Hold while no start follows an acknowledged end."""
    return not fields['repeated']


def waits_for_nothing_else(fields: dict[str, typing.Any]) -> bool:
    """Hold while a task that is assumed to run on the worker may do so.

    It runs, its start is in flight, its end is unread, or the worker has a
    newer process that has not reported.
    """
    if fields['phase'] not in (Phase.SENT, Phase.RUNNING):
        return True
    if fields['known'] != fields['process']:
        return True
    attempt = fields['attempt']
    return (
        fields['run'] == attempt
        or any(a == attempt for _, a in fields['ends'])
        or any(s.attempt == attempt for s in fields['starts'])
        or fields['highest_token'] < fields['token']
        or fields['phase'] is Phase.SENT
    )


def done_after_restarts(fields: dict[str, typing.Any]) -> bool:
    """Return whether the task is done after all restarts."""
    return (
        fields['phase'] is Phase.DONE
        and fields['restarts_seen'] == PROCESSES_MAX - 1
        and fields['last_end'] > 0
    )


def late_start_is_carried_out(fields: dict[str, typing.Any]) -> bool:
    """Return whether a process executes a start for another one."""
    return (
        fields['process'] > 1
        and fields['known'] < fields['process']
        and fields['run'] > 0
    )


GOALS = (done_after_restarts, late_start_is_carried_out)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='incarnation',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Worker(dropped).steps,
        invariants={
            'runs_once_at_a_time': runs_once_at_a_time,
            'runs_no_more_once_done': runs_no_more_once_done,
            'waits_for_nothing_else': waits_for_nothing_else,
        },
    )
