"""Model the losses of a task that crashes every worker that starts it.

A scheduler plans the task's run on one worker incarnation after another,
stores it, and orders it. An order may arrive at once, later, or never; an
incarnation that it reaches starts the task and crashes. An incarnation may
also end for another cause. The scheduler counts incarnations lost while the
run may have begun there, and plans no more after LOSSES_MAX. At any moment one
that reads the stored state may replace it.

| guard | code module |
|---|---|
| LOSS_STORED | walnutpoint_scheduler._record (TaskRecord) |
| LOSS_WITH_END | walnutpoint_scheduler._ends (lose_runs) |
| LIFE_ONCE | walnutpoint_scheduler._crash_odds (add_loss) |
| SENT_ONLY | walnutpoint_scheduler._run (may_have_begun) |
| DOUBT_COUNTS | walnutpoint_scheduler._run (may_have_begun) |
| RESTORED_COUNTS | walnutpoint_scheduler._run (may_have_begun) |
| DOUBT_HELD | walnutpoint_scheduler._orders (_resolve_unanswered) |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

LOSSES_MAX = 2
TERMS_MAX = 3
INCARNATIONS_MAX = 4


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    LOSS_STORED = 'losses are part of the stored record'
    LOSS_WITH_END = 'a loss is stored with the end of its run'
    LIFE_ONCE = 'a lost incarnation counts once'
    SENT_ONLY = 'a run that was never sent is no loss of its task'
    DOUBT_COUNTS = 'a run whose order has no answer is one'
    RESTORED_COUNTS = 'a run of an earlier term is one'
    DOUBT_HELD = 'nothing is planned while an order is in doubt'


class Order(enum.IntEnum):
    """The scheduler's view of its order."""

    UNSENT = 0
    AWAITED = 1
    ANSWERED = 2
    DOUBT = 3
    # Of an earlier term, which may have sent it.
    RESTORED = 4


class Record(typing.NamedTuple):
    """Stored state: the incarnation that may run the task, and losses."""

    incarnation: int = 0
    losses: tuple[int, ...] = ()
    planned: int = 0


class World(typing.NamedTuple):
    """The record, a pending write, the scheduler and the incarnations.

    Incarnations are numbered in the order of planning. `orders` are in flight,
    `ended` have ended, and `sent` may have started the task.
    """

    record: Record = Record()
    write: Record | None = None
    known: Record = Record()
    stored: bool = True
    # A loss to be stored by a separate write (mutant).
    pending_loss: int = 0
    order: Order = Order.UNSENT
    orders: tuple[int, ...] = ()
    ended: frozenset[int] = frozenset()
    crashed: frozenset[int] = frozenset()
    sent: frozenset[int] = frozenset()
    term: int = 1


class Crashes(_check.Guarded):
    """Generate the steps of a crashing task, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        self._plan(world, found)
        self._store(world, found)
        self._order(world, found)
        self._end_incarnation(world, found)
        if world.term < TERMS_MAX:
            found.append(('scheduler is replaced', self._replaced(world)))
        return found

    def _plan(self, world: World, found: _check.Steps) -> None:
        known = world.known
        in_doubt = world.order is Order.DOUBT
        may_move = in_doubt and self._drops(Guard.DOUBT_HELD)
        if known.incarnation and not may_move:
            return
        if (
            len(known.losses) >= LOSSES_MAX
            or known.planned >= INCARNATIONS_MAX
        ):
            return
        incarnation = known.planned + 1
        planned = known._replace(incarnation=incarnation, planned=incarnation)
        found.append(
            (
                'run is planned',
                world._replace(
                    known=planned, stored=False, order=Order.UNSENT
                ),
            )
        )

    def _store(self, world: World, found: _check.Steps) -> None:
        if world.write is None and not world.stored:
            written = world.known
            if self._drops(Guard.LOSS_STORED):
                written = written._replace(losses=())
            found.append(('record is written', world._replace(write=written)))
        if world.write is not None:
            known = world.known
            if self._drops(Guard.LOSS_STORED):
                known = known._replace(losses=())
            found.append(
                (
                    'record is stored',
                    world._replace(
                        record=world.write,
                        write=None,
                        stored=world.write == known,
                    ),
                )
            )
        if world.pending_loss and world.stored:
            # The run's end is stored; the loss follows in its own write.
            losses = (*world.known.losses, world.pending_loss)
            found.append(
                (
                    'loss is recorded later',
                    world._replace(
                        known=world.known._replace(losses=losses),
                        pending_loss=0,
                        stored=False,
                    ),
                )
            )

    def _order(self, world: World, found: _check.Steps) -> None:
        incarnation = world.known.incarnation
        if incarnation and world.order is Order.UNSENT and world.stored:
            found.append(
                (
                    'start is sent',
                    world._replace(
                        order=Order.AWAITED,
                        orders=(*world.orders, incarnation),
                        sent=world.sent | {incarnation},
                    ),
                )
            )
        if world.order is Order.AWAITED:
            found.append(
                ('start has no answer', world._replace(order=Order.DOUBT))
            )
        for incarnation in set(world.orders):
            found.append(('start arrives', self._arrived(world, incarnation)))

    def _arrived(self, world: World, incarnation: int) -> World:
        """Start the task on a live incarnation, which crashes."""
        left = list(world.orders)
        left.remove(incarnation)
        after = world._replace(orders=tuple(left))
        if incarnation in world.ended:
            return after
        if (
            incarnation == world.known.incarnation
            and world.order is Order.AWAITED
        ):
            after = after._replace(order=Order.ANSWERED)
        return after._replace(
            ended=world.ended | {incarnation},
            crashed=world.crashed | {incarnation},
        )

    def _end_incarnation(self, world: World, found: _check.Steps) -> None:
        incarnation = world.known.incarnation
        if not incarnation:
            return
        if incarnation not in world.ended:
            found.append(
                (
                    'incarnation ends for another cause',
                    world._replace(ended=world.ended | {incarnation}),
                )
            )
            return
        found.append(('loss is noticed', self._loss_noticed(world)))

    def _loss_noticed(self, world: World) -> World:
        """End the run of a lost incarnation, and count the loss."""
        incarnation, losses = world.known.incarnation, world.known.losses
        counted = {
            Order.UNSENT: self._drops(Guard.SENT_ONLY),
            Order.AWAITED: True,
            Order.ANSWERED: True,
            Order.DOUBT: not self._drops(Guard.DOUBT_COUNTS),
            Order.RESTORED: not self._drops(Guard.RESTORED_COUNTS),
        }[world.order]
        pending_loss = 0
        if counted and self._drops(Guard.LOSS_WITH_END):
            pending_loss = incarnation
        elif counted:
            times = 2 if self._drops(Guard.LIFE_ONCE) else 1
            losses += (incarnation,) * times
        return world._replace(
            known=world.known._replace(incarnation=0, losses=losses),
            stored=False,
            pending_loss=pending_loss,
            order=Order.UNSENT,
        )

    def _replaced(self, world: World) -> World:
        """Start another scheduler with the stored state."""
        record = world.record
        return world._replace(
            known=record,
            write=None,
            stored=True,
            pending_loss=0,
            order=Order.RESTORED if record.incarnation else Order.UNSENT,
            sent=world.sent
            | ({record.incarnation} if record.incarnation else set()),
            term=world.term + 1,
        )


def crashes_are_bounded(fields: dict[str, typing.Any]) -> bool:
    """Hold while the task has crashed at most LOSSES_MAX incarnations."""
    return len(fields['crashed']) <= LOSSES_MAX


def losses_are_its_own(fields: dict[str, typing.Any]) -> bool:
    """Hold while each loss is a distinct incarnation that may have run it."""
    losses = fields['known'].losses
    return len(losses) == len(set(losses)) and set(losses) <= fields['sent']


def given_up_after_takeovers(fields: dict[str, typing.Any]) -> bool:
    """Return whether the last of three schedulers knows every loss."""
    return (
        fields['term'] == TERMS_MAX
        and len(fields['known'].losses) == LOSSES_MAX
        and len(fields['crashed']) == LOSSES_MAX
    )


def counted_without_an_answer(fields: dict[str, typing.Any]) -> bool:
    """Return whether an unanswered start counts as a loss."""
    return (
        fields['term'] == 1
        and len(fields['known'].losses) == 1
        and not fields['crashed']
        and fields['known'].planned == 1
    )


GOALS = (given_up_after_takeovers, counted_without_an_answer)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='crashes',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Crashes(dropped).steps,
        invariants={
            'crashes_are_bounded': crashes_are_bounded,
            'losses_are_its_own': losses_are_its_own,
        },
    )
