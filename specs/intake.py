"""Model how a scheduler learns of a job and of its cancellation.

The job and its cancellation are two entries of the store, written one after
the other. A scheduler follows both through a watch from a revision, which may
be silent for a while; dropped history forces a full read in two pages, in the
order of the keys, so that cancellations come first. Notices of the process
that stored an entry may be lost, and arrive at any later time and in any
order. Another scheduler may take over at any time and begins with a full read.

| guard | code module |
|---|---|
| EARLY_KEPT | walnutpoint_scheduler.intake (EarlyCancels) |
| FIRST_PAGE | the store's adapter (KeyValueStore.read) |
| GAP_READ | walnutpoint_scheduler.intake (Intake.follow) |
| EMPTY_DISTRUSTED | walnutpoint_scheduler.intake (Intake.follow) |
"""

from __future__ import annotations

import enum
import typing

import minicheck

from specs import _check

# Revisions: the job is stored first, its cancellation second.
_NOTHING: typing.Final = 0
_JOB: typing.Final = 1
_CANCEL: typing.Final = 2


class Guard(enum.Enum):
    """Guards of the model, of which each mutant drops one."""

    EARLY_KEPT = 'a cancellation is kept until its job is known'
    FIRST_PAGE = 'the watch begins at the revision of the first page'
    GAP_READ = 'a full read follows dropped history'
    EMPTY_DISTRUSTED = 'an answer without changes moves no watch'


class Read(enum.IntEnum):
    """States of a full read."""

    NONE = 0
    # The page with the cancellations was read.
    HALF = 1


class World(typing.NamedTuple):
    """The store, and what one scheduler knows.

    `stored` is the store's revision, `seen` that from which the watch
    continues, `dropped` that up to which the history is dropped.
    """

    stored: int = _NOTHING
    dropped: int = _NOTHING
    is_silent: bool = False
    read: Read = Read.HALF
    page_revision: int = _NOTHING
    page_has_cancel: bool = False
    # Whether a cancellation was kept when the full read began.
    kept_before: bool = False
    # Whether the scheduler follows the store, rather than reading it whole.
    follows: bool = False
    seen: int = _NOTHING
    knows_job: bool = False
    keeps_cancel: bool = False
    is_cancelled: bool = False
    job_notice: bool = False
    cancel_notice: bool = False
    takeovers_left: int = 1


class Intake(_check.Guarded):
    """Generate the steps of one job, without the dropped guard."""

    def steps(self, state: _check.State) -> _check.Steps:
        """Return every step possible in a state."""
        world = World(*state)
        found: _check.Steps = []
        self._store(world, found)
        self._notices(world, found)
        if world.read is Read.HALF:
            found.append(('second page is read', self._read(world)))
        elif world.follows:
            self._watch(world, found)
        else:
            found.append(('first page is read', _first_page(world)))
        if world.takeovers_left:
            found.append(
                (
                    'another scheduler takes over',
                    _first_page(
                        World(
                            stored=world.stored,
                            dropped=world.dropped,
                            is_silent=world.is_silent,
                            job_notice=world.job_notice,
                            cancel_notice=world.cancel_notice,
                            takeovers_left=world.takeovers_left - 1,
                        )
                    ),
                )
            )
        return found

    def _store(self, world: World, found: _check.Steps) -> None:
        if world.stored is _NOTHING:
            found.append(
                ('job is stored', world._replace(stored=_JOB, job_notice=True))
            )
        if world.stored is _JOB:
            found.append(
                (
                    'cancel is stored',
                    world._replace(stored=_CANCEL, cancel_notice=True),
                )
            )
        if not world.is_silent:
            found.append(
                ('watches fall silent', world._replace(is_silent=True))
            )
        else:
            dropped = world._replace(is_silent=False, dropped=world.stored)
            found.append(('history is dropped', dropped))
            found.append(('watches resume', world._replace(is_silent=False)))

    def _notices(self, world: World, found: _check.Steps) -> None:
        if world.job_notice:
            lost = world._replace(job_notice=False)
            found.append(('notice of the job is lost', lost))
            found.append(('notice of the job', self._learn_job(lost)))
        if world.cancel_notice:
            lost = world._replace(cancel_notice=False)
            found.append(('notice of the cancel is lost', lost))
            found.append(('notice of the cancel', self._learn_cancel(lost)))

    def _watch(self, world: World, found: _check.Steps) -> None:
        """Answer the watch, or let it fail."""
        if world.is_silent:
            if self._drops(Guard.EMPTY_DISTRUSTED):
                found.append(
                    ('empty answer', world._replace(seen=world.stored))
                )
            return
        if world.seen < world.dropped:
            if self._drops(Guard.GAP_READ):
                after = world._replace(seen=world.stored)
            else:
                after = world._replace(follows=False)
            found.append(('history is missing', after))
            return
        if world.seen >= world.stored:
            return
        after = world
        if world.seen < _JOB:
            after = self._learn_job(after)
        if world.stored is _CANCEL:
            after = self._learn_cancel(after)
        found.append(('watch answers', after._replace(seen=world.stored)))

    def _read(self, world: World) -> World:
        """Apply both pages: cancellations first, then jobs.

        What was kept before the read is dropped: its entry may be gone.
        """
        after = world
        if world.kept_before:
            after = after._replace(keeps_cancel=False)
        if world.page_has_cancel:
            after = self._learn_cancel(after)
        if world.stored >= _JOB:
            after = self._learn_job(after)
        seen = world.page_revision
        if self._drops(Guard.FIRST_PAGE):
            seen = world.stored
        return after._replace(
            read=Read.NONE,
            follows=True,
            seen=seen,
            page_revision=_NOTHING,
            page_has_cancel=False,
            kept_before=False,
        )

    def _learn_job(self, world: World) -> World:
        if world.knows_job:
            return world
        return world._replace(
            knows_job=True,
            is_cancelled=world.keeps_cancel,
            keeps_cancel=False,
        )

    def _learn_cancel(self, world: World) -> World:
        if world.knows_job:
            return world._replace(is_cancelled=True)
        keeps = not self._drops(Guard.EARLY_KEPT)
        return world._replace(keeps_cancel=keeps)


def _first_page(world: World) -> World:
    """Read the page with the cancellations."""
    return world._replace(
        read=Read.HALF,
        follows=False,
        page_revision=world.stored,
        page_has_cancel=world.stored is _CANCEL,
        kept_before=world.keeps_cancel,
    )


def _is_caught_up(fields: dict[str, typing.Any]) -> bool:
    """Return whether the scheduler has read all that is stored."""
    return (
        fields['follows']
        and fields['read'] is Read.NONE
        and fields['stored'] is _CANCEL
        and fields['seen'] is _CANCEL
    )


def cancelled_job_is_cancelled(fields: dict[str, typing.Any]) -> bool:
    """Hold while no caught-up scheduler runs a cancelled job."""
    return (
        not _is_caught_up(fields)
        or not fields['knows_job']
        or fields['is_cancelled']
    )


def stored_job_is_known(fields: dict[str, typing.Any]) -> bool:
    """Hold while a caught-up scheduler knows the stored job."""
    return not _is_caught_up(fields) or fields['knows_job']


def cancel_is_known_before_its_job(fields: dict[str, typing.Any]) -> bool:
    """Return whether a cancellation waits for its job."""
    return fields['keeps_cancel']


def successor_has_cancelled(fields: dict[str, typing.Any]) -> bool:
    """Return whether a second scheduler has cancelled the job."""
    return fields['takeovers_left'] == 0 and fields['is_cancelled']


GOALS = (cancel_is_known_before_its_job, successor_has_cancelled)


def build(dropped: Guard | None = None) -> minicheck.Protocol:
    """Return the model, or the mutant without one guard."""
    return minicheck.Protocol(
        name='intake',
        candidate=True,
        fields=World._fields,
        initial=World(),
        transitions=Intake(dropped).steps,
        invariants={
            'cancelled_job_is_cancelled': cancelled_job_is_cancelled,
            'stored_job_is_known': stored_job_is_known,
        },
    )
