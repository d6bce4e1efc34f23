"""Model the change from one scheduler to the next during a run of a task.

A schedules under token 1 and has begun to start the task on worker W, or the
write of its end on W is in flight to the journal, when B claims the
scheduler's key and gets token 2. Messages of A may arrive at any later time. W
may be cut off. B starts the task on another worker, V, once it concludes that
it runs nowhere.

| guard | code module |
|---|---|
| JOURNAL_FIRST | walnutpoint_scheduler._orders (launch) |
| TOKEN_GUARDED | walnutpoint_scheduler._journal (_batch) |
| WORKER_FENCED | the workers; walnutpoint_scheduler._links (first report) |
| TOKEN_CAPTURED | walnutpoint_scheduler._context |
| RECORD_BOOKED | walnutpoint_scheduler.intake (Restorer._restore_run) |
| LAPSE_WAITED | walnutpoint_scheduler.leases (lapsed) |
| CONFIRMED | walnutpoint_scheduler.leases (Grants); specs.grants |
| ORDER_EXPIRES | walnutpoint_scheduler.leases (extend) |
| END_STORED | walnutpoint_scheduler._links (_acknowledge) |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

LEASE_TICKS = 2
WAIT_TICKS = LEASE_TICKS + 2
ATTEMPTS_MAX = 2
NOWHERE, ON_W, ON_V = 0, 1, 2


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    JOURNAL_FIRST = 'a start is journaled before it is sent'
    TOKEN_GUARDED = 'a record is written only under the newest token'
    WORKER_FENCED = 'a worker refuses orders below the highest token'
    TOKEN_CAPTURED = 'an order carries the token that it was decided under'
    RECORD_BOOKED = 'a recorded run is not started elsewhere unchecked'
    LAPSE_WAITED = 'nor before the longest lease granted has lapsed'
    CONFIRMED = 'a lease begins before any newer claim'
    ORDER_EXPIRES = 'an order names the end of its lease, and expires then'
    END_STORED = 'an end is stored before it is acknowledged'


class Record(typing.NamedTuple):
    """The journal's record of the task."""

    attempt: int = 0
    place: int = NOWHERE
    done: bool = False


class Write(typing.NamedTuple):
    """A journal write in flight."""

    token: int
    record: Record


class World(typing.NamedTuple):
    """The store, worker W, both schedulers and the invariant.

    `done` says that an end was acknowledged, `is_violated` that the invariant
    is violated.
    """

    token: int = 1
    record: Record = Record()
    write: Write | None = None
    sent: tuple[int, int, int] | None = None
    fence: int = 0
    run_w: int = 0
    blocked: int = 0
    end_w: int = 0
    lease: int = 0
    cut: bool = False
    cuts: int = 0
    a_alive: bool = True
    a_planned: int = 0
    a_stored: int = 0
    since_claim: int = 0
    b_read: bool = False
    b_known: Record = Record()
    b_got_report: bool = False
    run_v: int = 0
    done: bool = False
    is_violated: bool = False


class Term(_check.Guarded):
    """Generate the steps of a change, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        if world.is_violated:
            return found
        self._store(world, found)
        self._worker(world, found)
        if world.a_alive:
            self._step_old(world, found)
        self._step_new(world, found)
        return found

    def _store(self, world: World, found: _check.Steps) -> None:
        write = world.write
        if write is None:
            return
        lost = world._replace(write=None, a_planned=0)
        found.append(('a write is lost', lost))
        valid = write.token == world.token
        if valid or self._drops(Guard.TOKEN_GUARDED):
            after = world._replace(write=None, record=write.record)
            if write.record.done:
                after = after._replace(end_w=0, done=True)
            elif write.token == 1:
                after = after._replace(a_stored=write.record.attempt)
            found.append(('a write is applied', after))
        else:
            found.append(('a write fails', lost._replace(a_alive=False)))

    def _worker(self, world: World, found: _check.Steps) -> None:
        found.append(('tick', self._tick(world)))
        if world.cuts < 2:
            after = world._replace(cut=not world.cut, cuts=world.cuts + 1)
            found.append(('W is cut off or reconnected', after))
        if world.run_w:
            after = world._replace(
                run_w=0, end_w=world.run_w, blocked=world.run_w
            )
            found.append(('the run on W ends', after))
        if world.sent is not None:
            self._arrive(world, found)

    def _arrive(self, world: World, found: _check.Steps) -> None:
        token, attempt, lease_ticks = typing.cast(
            tuple[int, int, int], world.sent
        )
        dropped = world._replace(sent=None)
        found.append(('an order is lost', dropped))
        if world.cut:
            return
        if self._drops(Guard.TOKEN_CAPTURED):
            token = world.token
        fenced = token < world.fence
        if fenced and not self._drops(Guard.WORKER_FENCED):
            return
        if self._drops(Guard.ORDER_EXPIRES):
            lease_ticks = LEASE_TICKS
        if world.run_w or attempt <= world.blocked or not lease_ticks:
            return
        after = dropped._replace(
            run_w=attempt, lease=lease_ticks, fence=max(world.fence, token)
        )
        found.append(
            ('W starts the task', self._check_runs(after, world.done))
        )

    def _step_old(self, world: World, found: _check.Steps) -> None:
        record = world.record
        may_plan = (
            world.token == 1
            and not record.done
            and record.place == NOWHERE
            and not world.a_planned
        )
        if may_plan:
            attempt = record.attempt + 1
            planned = world._replace(a_planned=attempt)
            if self._drops(Guard.JOURNAL_FIRST):
                after = planned._replace(sent=(1, attempt, LEASE_TICKS))
                found.append(('A sends a start unrecorded', after))
            write = Write(1, Record(attempt, ON_W))
            after = planned._replace(write=write)
            found.append(('A writes a start', after))
        ticks = LEASE_TICKS - world.since_claim
        if self._drops(Guard.CONFIRMED):
            ticks = LEASE_TICKS
        if world.a_stored and world.sent is None and ticks > 0:
            after = world._replace(sent=(1, world.a_stored, ticks), a_stored=0)
            found.append(('A sends a start', after))
        may_receive = not world.cut and world.fence <= 1
        if may_receive and world.end_w and world.write is None:
            self._write_end(world, 1, found)
        if may_receive and world.run_w and ticks > world.lease:
            after = world._replace(lease=ticks)
            found.append(('A renews the lease', after))

    def _write_end(
        self, world: World, token: int, found: _check.Steps
    ) -> None:
        write = Write(token, Record(world.end_w, NOWHERE, True))
        after = world._replace(write=write)
        if self._drops(Guard.END_STORED):
            # The worker drops the end now, since it was acknowledged.
            after = after._replace(end_w=0, done=True)
        found.append(('an end is written', after))

    def _step_new(self, world: World, found: _check.Steps) -> None:
        if world.token == 1:
            found.append(('B claims the key', world._replace(token=2)))
            return
        if not world.b_read:
            after = world._replace(b_read=True, b_known=world.record)
            found.append(('B reads the journal', after))
            return
        if not world.cut and not world.b_got_report:
            after = world._replace(b_got_report=True, fence=2)
            found.append(('W answers B', after))
        if world.b_got_report and not world.cut:
            if world.end_w and world.write is None:
                self._write_end(world, 2, found)
        if self._may_start(world):
            attempt = max(world.b_known.attempt, world.record.attempt) + 1
            after = world._replace(run_v=attempt, record=Record(attempt, ON_V))
            after = self._check_runs(after, world.done)
            found.append(('B starts the task on V', after))
        if world.run_v:
            after = world._replace(run_v=0, done=True, record=_DONE)
            found.append(('the run on V ends', after))

    def _may_start(self, world: World) -> bool:
        if world.run_v or world.record.done:
            return False
        if world.record.attempt > ATTEMPTS_MAX:
            return False
        if world.b_known.done:
            return False
        if world.b_known.place == NOWHERE:
            return True
        if self._drops(Guard.RECORD_BOOKED):
            return True
        if world.b_got_report:
            return not world.run_w and not world.end_w
        waited = world.since_claim >= WAIT_TICKS
        return waited or self._drops(Guard.LAPSE_WAITED)

    def _tick(self, world: World) -> World:
        lease = max(0, world.lease - 1)
        run_w = world.run_w if lease else 0
        blocked = max(world.blocked, world.run_w - run_w)
        claimed = world.token == 2
        since = min(world.since_claim + claimed, WAIT_TICKS)
        sent = world.sent
        if sent is not None:
            sent = (sent[0], sent[1], max(0, sent[2] - 1))
        return world._replace(
            lease=lease,
            run_w=run_w,
            blocked=blocked,
            since_claim=since,
            sent=sent,
        )

    def _check_runs(self, world: World, was_done: bool) -> World:
        twice = bool(world.run_w and world.run_v)
        return world._replace(is_violated=twice or was_done)


_DONE = Record(ATTEMPTS_MAX + 1, NOWHERE, True)


def kept(fields: dict[str, typing.Any]) -> bool:
    """Hold while no two runs overlap, and none follows a stored end."""
    return not fields['is_violated']


def taken_over(fields: dict[str, typing.Any]) -> bool:
    """Return whether B has started the task on V."""
    return bool(fields['run_v'])


def adopted(fields: dict[str, typing.Any]) -> bool:
    """Return whether W has reported to B that the task runs there."""
    return bool(fields['b_got_report'] and fields['run_w'])


def end_stored(fields: dict[str, typing.Any]) -> bool:
    """Return whether an end was stored under B."""
    return bool(fields['token'] == 2 and fields['done'])


GOALS = (taken_over, adopted, end_stored)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or its mutant without one guard."""
    return minicheck.Protocol(
        name='term',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Term(dropped).steps,
        invariants={'kept': kept},
    )
