"""Model the cancellation of a job while a start of its task is delayed.

Scheduler A, under token 1, sends the start of a task's first attempt to a
worker. The order may arrive at any later time, answered or not. The client
account cancels the job. At any moment B may replace A under token 2. The task
is settled once a scheduler concludes that it will never run again.

| guard | code module |
|---|---|
| DOUBT_STOPPED | walnutpoint_scheduler._orders (_resolve_unanswered) |
| STOP_REPEATED | walnutpoint_scheduler._orders (_stop) |
| STOP_BLOCKS | workers; walnutpoint_scheduler._orders (_resolve_unanswered) |
| TOKEN_RAISED | walnutpoint_scheduler._links (first report) |
| WORKER_FENCED | the workers |
| STRAY_STOPPED | walnutpoint_scheduler._links (_book_stray) |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    DOUBT_STOPPED = 'a start without an answer is followed by a stop'
    STOP_REPEATED = 'a stop is sent until it is answered'
    STOP_BLOCKS = 'a worker refuses an attempt that was stopped there'
    TOKEN_RAISED = 'a new scheduler calls the worker before it settles'
    WORKER_FENCED = 'a worker refuses orders below the highest token'
    STRAY_STOPPED = 'a reported run that is not wanted is stopped'


class Start(enum.IntEnum):
    """States of the start order."""

    UNSENT = 0
    # In flight, awaited by A.
    AWAITED = 1
    # In flight, timed out at A.
    LATE = 2
    ENDED = 3


class Belief(enum.IntEnum):
    """The scheduler's view of the run."""

    NONE = 0
    DOUBT = 1
    RUNNING = 2
    STOPPING = 3
    SETTLED = 4


class World(typing.NamedTuple):
    """The order, the worker and the scheduler's view.

    `token` is the scheduler's, `highest` the highest seen by the worker.
    """

    start: Start = Start.UNSENT
    runs: bool = False
    blocked: bool = False
    highest: int = 0
    token: int = 1
    belief: Belief = Belief.NONE
    stop_in_flight: bool = False
    cancelled: bool = False


class Cancel(_check.Guarded):
    """Generate the steps of one cancel, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        self._start(world, found)
        self._stop(world, found)
        if not world.cancelled and world.start is not Start.UNSENT:
            found.append(('job is cancelled', world._replace(cancelled=True)))
        if world.token == 1 and world.start is not Start.UNSENT:
            found.append(('B replaces A', self._replaced(world)))
        if world.token == 2:
            self._report(world, found)
        return found

    def _start(self, world: World, found: _check.Steps) -> None:
        if world.start is Start.UNSENT and not world.cancelled:
            found.append(
                ('A sends the start', world._replace(start=Start.AWAITED))
            )
        if world.start in (Start.AWAITED, Start.LATE):
            found.append(('start arrives', self._arrived(world)))
        if world.start is Start.AWAITED and world.token == 1:
            found.append(
                (
                    'start times out',
                    world._replace(start=Start.LATE, belief=Belief.DOUBT),
                )
            )

    def _arrived(self, world: World) -> World:
        """Execute the start, or refuse it."""
        fenced = world.highest > 1 and not self._drops(Guard.WORKER_FENCED)
        refused = fenced or world.blocked
        after = world._replace(
            start=Start.ENDED,
            runs=world.runs or not refused,
            highest=max(world.highest, 1),
        )
        if world.start is Start.AWAITED and world.token == 1:
            belief = Belief.SETTLED if refused else Belief.RUNNING
            after = after._replace(belief=belief)
        return after

    def _stop(self, world: World, found: _check.Steps) -> None:
        """Stop a run of a cancelled job, or a start in doubt."""
        is_needed = world.belief is Belief.RUNNING and world.cancelled
        if world.belief is Belief.DOUBT:
            if self._drops(Guard.DOUBT_STOPPED):
                found.append(
                    (
                        'doubt is dropped',
                        world._replace(belief=Belief.SETTLED),
                    )
                )
            else:
                is_needed = True
        if is_needed:
            found.append(
                (
                    'stop is sent',
                    world._replace(
                        belief=Belief.STOPPING, stop_in_flight=True
                    ),
                )
            )
        if world.belief is not Belief.STOPPING:
            return
        if not world.stop_in_flight:
            found.append(
                ('stop is repeated', world._replace(stop_in_flight=True))
            )
            return
        blocked = not self._drops(Guard.STOP_BLOCKS)
        found.append(
            (
                'stop is answered',
                world._replace(
                    runs=False,
                    blocked=blocked,
                    highest=max(world.highest, world.token),
                    stop_in_flight=False,
                    belief=Belief.SETTLED,
                ),
            )
        )
        lost = world._replace(stop_in_flight=False)
        if self._drops(Guard.STOP_REPEATED):
            lost = lost._replace(belief=Belief.SETTLED)
        found.append(('stop is lost', lost))

    def _replaced(self, world: World) -> World:
        """Replace A by B, which learns of runs only from reports."""
        settled = self._drops(Guard.TOKEN_RAISED) and world.cancelled
        return world._replace(
            token=2,
            belief=Belief.SETTLED if settled else Belief.NONE,
            stop_in_flight=False,
        )

    def _report(self, world: World, found: _check.Steps) -> None:
        """Compare the worker's report with the wanted runs."""
        if not world.cancelled or world.belief is Belief.STOPPING:
            return
        reported = world._replace(highest=2)
        if not world.runs:
            found.append(
                ('report is empty', reported._replace(belief=Belief.SETTLED))
            )
        elif self._drops(Guard.STRAY_STOPPED):
            found.append(
                ('stray is left', reported._replace(belief=Belief.SETTLED))
            )
        else:
            found.append(
                ('stray is found', reported._replace(belief=Belief.STOPPING))
            )


def settled_runs_nowhere(fields: dict[str, typing.Any]) -> bool:
    """Hold while no settled task of a cancelled job runs."""
    settled = fields['belief'] is Belief.SETTLED and fields['cancelled']
    return not (settled and fields['runs'])


def late_start_is_refused(fields: dict[str, typing.Any]) -> bool:
    """Return whether a start arrived after settling, without effect."""
    return (
        fields['belief'] is Belief.SETTLED
        and fields['start'] is Start.ENDED
        and fields['blocked']
        and not fields['runs']
    )


def settled_by_a_successor(fields: dict[str, typing.Any]) -> bool:
    """Return whether B settles a start that A left in flight."""
    return (
        fields['token'] == 2
        and fields['belief'] is Belief.SETTLED
        and fields['start'] is Start.LATE
    )


GOALS = (late_start_is_refused, settled_by_a_successor)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='cancel',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Cancel(dropped).steps,
        invariants={'settled_runs_nowhere': settled_runs_nowhere},
    )
