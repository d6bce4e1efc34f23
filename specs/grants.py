"""Model the leases that a scheduler grants while a successor is possible.

A schedules. Its task runs on worker W, or a start of it is stored and not sent
yet. B may claim the scheduler's key, and C is a third host that never claims.
A may be cut from the store, from B, or from both, and so may W from B, which
starts the task on another worker, V, once it takes W's lease for lapsed. B may
die then. Answers to A may be on their way for any time.

| guard | code module |
|---|---|
| FROM_CONFIRMATION | walnutpoint_scheduler.leases (Grants.renew) |
| FROM_QUESTION | walnutpoint_scheduler.leases (Confirmation) |
| EVERY_HOST | walnutpoint_scheduler.leases (HostPoll.poll) |
| STARTS_BY_STORE | walnutpoint_scheduler.leases (Grants.start) |
| LAPSE_WAITED | walnutpoint_scheduler.leases (WorkerLease) |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

LEASE_TICKS = 3
# How old an answer of the store may be for a start.
START_AGE_MAX = 1
CUTS_MAX = 2


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    FROM_CONFIRMATION = 'a lease begins when a successor was last excluded'
    FROM_QUESTION = 'which is when the question was asked'
    EVERY_HOST = 'of the store, or of every other host'
    STARTS_BY_STORE = 'a start is sent on an answer of the store only'
    LAPSE_WAITED = 'a successor waits for a lease that began with its term'


class World(typing.NamedTuple):
    """The store, the hosts, worker W, and what A knows.

    Ages count the ticks since A asked; `store_answer` and `hosts_answer` are
    the ages of answers on their way, or -1.
    """

    has_store: bool = True
    reaches_b: bool = True
    cuts: int = 0
    claimed: bool = False
    # Ticks since B began its term, or -1.
    since_begun: int = -1
    b_alive: bool = True
    a_alive: bool = True
    store_age: int = 0
    hosts_age: int = LEASE_TICKS
    store_answer: int = -1
    hosts_answer: int = -1
    stored: bool = False
    # Ticks left of the lease that a start on its way carries.
    sent: int = 0
    run_w: bool = True
    lease: int = LEASE_TICKS
    run_v: bool = False
    is_violated: bool = False


class Grants(_check.Guarded):
    """Generate the steps of two terms, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        if world.is_violated:
            return found
        found.append(('tick', self._tick(world)))
        self._network(world, found)
        if world.a_alive:
            self._ask(world, found)
            self._hear(world, found)
            self._grant(world, found)
        self._succeed(world, found)
        return found

    def _network(self, world: World, found: _check.Steps) -> None:
        if world.cuts < CUTS_MAX:
            cuts = world.cuts + 1
            after = world._replace(has_store=not world.has_store, cuts=cuts)
            found.append(('A loses or regains the store', after))
            after = world._replace(reaches_b=not world.reaches_b, cuts=cuts)
            found.append(('A loses or regains B', after))
        if world.sent:
            started = world._replace(sent=0, run_w=True, lease=world.sent)
            found.append(('W starts the task', _check_runs(started)))

    def _ask(self, world: World, found: _check.Steps) -> None:
        if world.has_store and world.store_answer < 0:
            if world.claimed:
                after = world._replace(a_alive=False)
                found.append(('the store shows A the claim of B', after))
            else:
                after = world._replace(store_answer=0)
                found.append(('the store shows the claim of A', after))
        if world.hosts_answer < 0 and self._excludes_successor(world):
            after = world._replace(hosts_answer=0)
            found.append(('the hosts know of no newer term', after))

    def _excludes_successor(self, world: World) -> bool:
        if self._drops(Guard.EVERY_HOST):
            # C alone answers.
            return True
        if not world.reaches_b:
            return False
        return not world.b_alive or world.since_begun < 0

    def _hear(self, world: World, found: _check.Steps) -> None:
        is_late = not self._drops(Guard.FROM_QUESTION)
        if world.store_answer >= 0:
            age = world.store_answer if is_late else 0
            after = world._replace(
                store_age=min(world.store_age, age), store_answer=-1
            )
            found.append(('A hears the store', after))
        if world.hosts_answer >= 0:
            age = world.hosts_answer if is_late else 0
            after = world._replace(
                hosts_age=min(world.hosts_age, age), hosts_answer=-1
            )
            found.append(('A hears the hosts', after))

    def _grant(self, world: World, found: _check.Steps) -> None:
        age = min(world.store_age, world.hosts_age)
        if self._drops(Guard.FROM_CONFIRMATION):
            age = 0
        until = LEASE_TICKS - age
        if world.run_w and until > world.lease:
            found.append(('A renews the lease', world._replace(lease=until)))
        if not world.run_w and not world.stored and not world.claimed:
            # Only the holder of the claim can store a start.
            if world.has_store:
                after = world._replace(stored=True)
                found.append(('A stores a start', after))
        start_age = world.store_age
        if self._drops(Guard.STARTS_BY_STORE):
            start_age = age
        if world.stored and start_age <= START_AGE_MAX:
            after = world._replace(stored=False, sent=LEASE_TICKS - start_age)
            found.append(('A sends a start', after))

    def _succeed(self, world: World, found: _check.Steps) -> None:
        if not world.b_alive:
            return
        if not world.claimed:
            found.append(('B claims the key', world._replace(claimed=True)))
            return
        if world.since_begun < 0:
            found.append(('B begins', world._replace(since_begun=0)))
            return
        if self._may_start(world):
            after = world._replace(run_v=True)
            found.append(('B starts the task on V', _check_runs(after)))
        if world.run_v:
            found.append(('B dies', world._replace(b_alive=False)))

    def _may_start(self, world: World) -> bool:
        if world.run_v:
            return False
        waited = world.since_begun >= LEASE_TICKS
        return waited or self._drops(Guard.LAPSE_WAITED)

    @staticmethod
    def _tick(world: World) -> World:
        lease = max(0, world.lease - 1)
        since = world.since_begun
        return world._replace(
            store_age=min(world.store_age + 1, LEASE_TICKS),
            hosts_age=min(world.hosts_age + 1, LEASE_TICKS),
            store_answer=_aged(world.store_answer),
            hosts_answer=_aged(world.hosts_answer),
            since_begun=min(since + 1, LEASE_TICKS) if since >= 0 else since,
            sent=max(0, world.sent - 1),
            run_w=world.run_w and lease > 0,
            lease=lease,
        )


def _aged(age: int) -> int:
    return min(age + 1, LEASE_TICKS) if age >= 0 else age


def _check_runs(world: World) -> World:
    return world._replace(is_violated=world.run_w and world.run_v)


def in_one_place(fields: dict[str, typing.Any]) -> bool:
    """Hold while the task runs on at most one worker."""
    return not fields['is_violated']


def taken_over(fields: dict[str, typing.Any]) -> bool:
    """Return whether B has started the task."""
    return bool(fields['run_v'])


def kept_without_store(fields: dict[str, typing.Any]) -> bool:
    """Return whether the hosts alone keep a lease of A alive."""
    return bool(
        fields['run_w']
        and fields['store_age'] >= LEASE_TICKS
        and fields['hosts_age'] == 0
        and fields['lease'] == LEASE_TICKS
    )


GOALS = (taken_over, kept_without_store)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='grants',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Grants(dropped).steps,
        invariants={'in_one_place': in_one_place},
    )
