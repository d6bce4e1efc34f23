"""Submission of documents, and reading of the configuration in force."""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import typing

import anyio
import expression

from walnutpoint_core import decoding
from walnutpoint_core.documents import _change
from walnutpoint_core.documents import _ending
from walnutpoint_core.documents import _fault
from walnutpoint_core.documents import _layout
from walnutpoint_core.documents import _schema
from walnutpoint_core.documents import _state
from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import ports
from walnutpoint_core import timer as timer_module

__all__ = ('Accepted', 'DocumentRegistry', 'Refusal')

_log = logs.get_logger(__name__)

_ATTEMPTS_MAX: typing.Final = 10
_BACKOFF_S: typing.Final = 0.02
_BACKOFF_MAX_S: typing.Final = 0.5
_READS_MAX: typing.Final = 5
_CONCURRENT_READS_MAX: typing.Final = 8
_RETRY_AFTER_S: typing.Final = 2.0

_Change: typing.TypeAlias = collections.abc.Callable[
    [_state.Configuration],
    expression.Result[_state.Configuration, tuple[_fault.FieldFault, ...]],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A change that is stored."""

    revision: int
    repeated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refused or failed change, with the faults of its fields."""

    failure: errors.Failure
    faults: tuple[_fault.FieldFault, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Snapshot:
    """A configuration, and the store revision of its head."""

    configuration: _state.Configuration
    head_revision: int


_EMPTY: typing.Final = _Snapshot(_state.Configuration(), 0)


class DocumentRegistry:
    """Reads the stored configuration and changes it by compare-and-swap."""

    __slots__ = ('_layout', '_newest', '_random', '_store', '_timer')

    def __init__(
        self,
        store: ports.Store,
        prefix: str,
        *,
        timer: timer_module.Timer,
        rng: random.Random,
    ) -> None:
        self._layout = _layout.Layout(prefix)
        self._newest = _EMPTY
        self._random = rng
        self._store = store
        self._timer = timer

    async def submit(
        self, document: _schema.Document
    ) -> expression.Result[Accepted, Refusal]:
        """Apply a document once, however often it is submitted."""

        def change(
            configuration: _state.Configuration,
        ) -> expression.Result[
            _state.Configuration, tuple[_fault.FieldFault, ...]
        ]:
            revision = configuration.revision + 1
            return _change.apply(configuration, document, revision)

        done = await self._change(change)
        _log_submission(document, done)
        if done.is_error():
            return expression.Error(done.error)
        configuration, repeated = done.ok
        known = configuration.submission(document.submission_id)
        revision = known.revision if known else configuration.revision
        return expression.Ok(Accepted(revision, repeated))

    async def finish(
        self, jobs: tuple[str, ...]
    ) -> expression.Result[Accepted, Refusal]:
        """Remove ended jobs from the configuration in few writes."""
        done = await self._finish(jobs)
        # Jobs of many teams may exceed the size limit of one commit.
        if done.is_error() and done.error.faults and len(jobs) > 1:
            ordered = tuple(sorted(jobs))
            middle = len(ordered) // 2
            first = await self.finish(ordered[:middle])
            if first.is_error():
                return first
            return await self.finish(ordered[middle:])
        return done

    async def _finish(
        self, jobs: tuple[str, ...]
    ) -> expression.Result[Accepted, Refusal]:
        def change(
            configuration: _state.Configuration,
        ) -> expression.Result[
            _state.Configuration, tuple[_fault.FieldFault, ...]
        ]:
            revision = configuration.revision + 1
            return expression.Ok(_ending.finish(configuration, jobs, revision))

        done = await self._change(change)
        if done.is_error():
            return expression.Error(done.error)
        configuration, repeated = done.ok
        return expression.Ok(Accepted(configuration.revision, repeated))

    async def refresh(
        self, known: _state.Configuration
    ) -> expression.Result[_state.Configuration, errors.Failure]:
        """Return the stored configuration, or the known one if newer."""
        read = await self._read(_Snapshot(known, 0))
        if read.is_error():
            return expression.Error(read.error)
        configuration = read.ok.configuration
        # A lagging replica, or a store restored from a backup, has an older
        # revision; adopting it would undo changes reported as in force.
        # Revisions only grow, so that comparing them is enough.
        if configuration.revision <= known.revision:
            if configuration.revision < known.revision:
                _log.warning(
                    'configuration_older_in_store',
                    known=known.revision,
                    stored=configuration.revision,
                )
            return expression.Ok(known)
        return expression.Ok(configuration)

    async def _change(
        self, change: _Change
    ) -> expression.Result[tuple[_state.Configuration, bool], Refusal]:
        # The head revision that guards a write whose answer was lost. Until
        # the head changes that write may still be applied; afterwards it
        # either is part of the head or never will be.
        unconfirmed_head: int | None = None
        for attempt in range(_ATTEMPTS_MAX):
            if attempt:
                await self._back_off(attempt)
            read = await self._read_for_change()
            if read.is_error():
                return _failed(read.error, unconfirmed_head is not None)
            before = read.ok
            changed = change(before.configuration)
            if changed.is_error():
                return _rejected(changed.error)
            after = changed.ok
            if after is before.configuration:
                return expression.Ok((after, unconfirmed_head is None))
            if unconfirmed_head != before.head_revision:
                unconfirmed_head = None
            written = self._layout.batch(
                before.configuration, after, before.head_revision
            )
            if written.is_error():
                return _rejected(written.error)
            reply = await self._store.commit(written.ok)
            if reply.is_ok():
                if reply.ok.applied:
                    return expression.Ok((after, False))
            elif reply.error.kind is errors.ErrorKind.STORE_ANSWER_LOST:
                unconfirmed_head = before.head_revision
            else:
                return _failed(reply.error, unconfirmed_head is not None)
        contention = errors.Failure(
            errors.ErrorKind.STORE_UNAVAILABLE,
            'others change the configuration all the time',
            _RETRY_AFTER_S,
        )
        return _failed(contention, unconfirmed_head is not None)

    async def _back_off(self, attempt: int) -> None:
        longest_s = min(_BACKOFF_MAX_S, _BACKOFF_S * 2**attempt)
        await self._timer.sleep(self._random.uniform(0.0, longest_s))

    async def _read_for_change(
        self,
    ) -> expression.Result[_Snapshot, errors.Failure]:
        newest = self._newest
        read = await self._read(newest)
        if read.is_error():
            return read
        # Writing to a restored store would reuse revisions: processes that
        # hold the newer revision would never apply the change.
        if read.ok.configuration.revision < newest.configuration.revision:
            return _unavailable('the store holds an older configuration')
        return read

    async def _read(
        self, known: _Snapshot
    ) -> expression.Result[_Snapshot, errors.Failure]:
        for _ in range(_READS_MAX):
            cached = self._newest
            if cached.configuration.revision < known.configuration.revision:
                cached = known
            # Listing keys is cheap and avoids reading unchanged values.
            listed = await self._store.list_keys(self._layout.head_key)
            if listed.is_error():
                return expression.Error(listed.error)
            head_revision = _head_revision(listed.ok, self._layout.head_key)
            if head_revision == 0:
                return expression.Ok(_EMPTY)
            if head_revision == cached.head_revision:
                return expression.Ok(cached)
            read = await self._read_values(cached.configuration)
            if read.is_error():
                return expression.Error(read.error)
            snapshot = read.ok
            if snapshot is not None:
                self._remember(snapshot)
                return expression.Ok(snapshot)
        return _unavailable('the configuration moves while it is read')

    async def _read_values(
        self, known: _state.Configuration
    ) -> expression.Result[_Snapshot | None, errors.Failure]:
        reply = await self._store.get(self._layout.head_key)
        if reply.is_error():
            return expression.Error(reply.error)
        if reply.ok is None:
            return expression.Ok(None)
        try:
            head = _layout.decode_head(reply.ok.value)
            parts = await self._read_parts(head, known)
        except decoding.UnreadableError as error:
            return _unavailable(f'malformed configuration: {error}')
        if parts.is_error():
            return expression.Error(parts.error)
        # A write between the reads of the head and its parts would mix two
        # configurations into one that was never accepted.
        is_outdated = any(
            parts.ok.get(team) is None or parts.ok[team].revision != revision
            for team, revision in head.parts.items()
        )
        if is_outdated:
            return expression.Ok(None)
        configuration = _layout.assemble(head, parts.ok)
        return expression.Ok(_Snapshot(configuration, reply.ok.revision))

    async def _read_parts(
        self, head: _layout.Head, known: _state.Configuration
    ) -> expression.Result[dict[str, _state.TeamPart], errors.Failure]:
        parts: dict[str, _state.TeamPart] = {}
        failures: list[errors.Failure] = []
        limiter = anyio.CapacityLimiter(_CONCURRENT_READS_MAX)

        async def read(team: str) -> None:
            async with limiter:
                if failures:
                    return
                reply = await self._store.get(self._layout.part_key(team))
            if reply.is_error():
                failures.append(reply.error)
            elif reply.ok is not None:
                values[team] = reply.ok.value

        values: dict[str, bytes] = {}
        async with anyio.create_task_group() as group:
            for team, revision in head.parts.items():
                old = known.teams.get(team)
                # Parts of equal revision are identical.
                if old is not None and old.revision == revision:
                    parts[team] = old
                else:
                    group.start_soon(read, team)
        if failures:
            return expression.Error(failures[0])
        for team, value in values.items():
            parts[team] = _layout.decode_part(value)
        return expression.Ok(parts)

    def _remember(self, snapshot: _Snapshot) -> None:
        newest = self._newest.configuration.revision
        if snapshot.configuration.revision >= newest:
            self._newest = snapshot


def _head_revision(listing: ports.Listing, key: str) -> int:
    for key_revision in listing.keys:
        if key_revision.key == key:
            return key_revision.revision
    return 0


def _unavailable(
    detail: str,
) -> expression.Result[typing.Any, errors.Failure]:
    return expression.Error(
        errors.Failure(
            errors.ErrorKind.STORE_UNAVAILABLE, detail, _RETRY_AFTER_S
        )
    )


def _rejected(
    faults: tuple[_fault.FieldFault, ...],
) -> expression.Result[typing.Any, Refusal]:
    kinds = {fault.kind for fault in faults}
    kind = errors.ErrorKind.DOCUMENT_INVALID
    if kinds == {errors.ErrorKind.DOCUMENT_CONFLICT}:
        kind = errors.ErrorKind.DOCUMENT_CONFLICT
    detail = ', '.join(fault.field for fault in faults)
    return expression.Error(Refusal(errors.Failure(kind, detail), faults))


def _failed(
    failure: errors.Failure, maybe_applied: bool
) -> expression.Result[typing.Any, Refusal]:
    # An earlier write may have been applied; "unavailable" would report the
    # change as not accepted.
    kind = failure.kind
    if maybe_applied:
        kind = errors.ErrorKind.STORE_ANSWER_LOST
    retry_after_s = failure.retry_after_s
    if retry_after_s is None:
        retry_after_s = errors.ANSWER_RULES[kind].retry_after_s
    return expression.Error(
        Refusal(errors.Failure(kind, failure.detail, retry_after_s))
    )


def _log_submission(
    document: _schema.Document,
    done: expression.Result[tuple[_state.Configuration, bool], Refusal],
) -> None:
    if done.is_ok():
        configuration, repeated = done.ok
        _log.info(
            'document_accepted',
            submission=document.submission_id,
            revision=configuration.revision,
            repeated=repeated,
        )
        return
    _log.info(
        'document_refused',
        submission=document.submission_id,
        kind=done.error.failure.kind.value,
        faults=len(done.error.faults),
    )
