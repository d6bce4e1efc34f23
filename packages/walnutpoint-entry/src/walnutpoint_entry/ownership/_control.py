"""The keys in the platform's store that coordinate entry processes."""

from __future__ import annotations

import dataclasses
import typing

import expression
import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import errors
from walnutpoint_core import ports
from walnutpoint_entry.ownership import _table

__all__ = (
    'ControlStore',
    'ControlListing',
)

_CHALLENGE_PREFIX: typing.Final = 'challenge/'


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """An unanswered challenge to one incarnation at an address."""

    address: str
    incarnation: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ControlListing:
    """The control keys at one time; table revision zero means no table."""

    table_revision: int
    config_revision: int
    challenges: tuple[Challenge, ...]


class ControlStore:
    """Read and write the control keys."""

    __slots__ = ('_config_key', '_prefix', '_store', '_table_key')

    def __init__(self, store: ports.Store, prefix: str) -> None:
        self._store = store
        self._prefix = f'{prefix}control/'
        self._table_key = f'{self._prefix}table'
        self._config_key = f'{self._prefix}config'

    async def read_listing(
        self,
    ) -> expression.Result[ControlListing, errors.Failure]:
        """Read the revisions of the control keys, not their values."""
        listed = await self._store.list_keys(self._prefix)
        return listed.map(self._listing)

    async def read_table(
        self,
    ) -> expression.Result[_table.StoredTable | None, errors.Failure]:
        """Read the newest table."""
        read = await self._store.get(self._table_key)
        if read.is_error():
            return expression.Error(read.error)
        if read.ok is None:
            return expression.Ok(None)
        try:
            table = decoding.from_json(read.ok.value, _table.AssignmentTable)
        except decoding.UnreadableError as error:
            return expression.Error(
                errors.Failure(
                    errors.ErrorKind.STORE_UNAVAILABLE,
                    f'the table in the store is broken: {error}',
                )
            )
        return expression.Ok(_table.StoredTable(read.ok.revision, table))

    async def propose(
        self,
        table: _table.AssignmentTable,
        current_revision: int,
        challenge_revisions: dict[_table.Member, int],
    ) -> expression.Result[ports.CommitReply, errors.Failure]:
        """Replace the table if neither it nor any challenge has changed."""
        challenges = {
            self._challenge_key(member): revision
            for member, revision in challenge_revisions.items()
            if revision
        }
        guards = [ports.Guard(self._table_key, current_revision)]
        # A member that deletes its challenge meanwhile is alive: the guard
        # makes the proposal fail, so that it keeps its endpoints.
        guards.extend(
            ports.Guard(key, revision) for key, revision in challenges.items()
        )
        put = ports.Put(self._table_key, msgspec.json.encode(table))
        return await self._store.commit(
            ports.Batch(tuple(guards), (put,), tuple(challenges))
        )

    async def challenge(
        self, member: _table.Member
    ) -> expression.Result[ports.CommitReply, errors.Failure]:
        """Write a challenge that a silent member deletes if it is alive."""
        key = self._challenge_key(member)
        return await self._store.commit(
            ports.Batch((ports.Guard(key, 0),), (ports.Put(key, b'?'),))
        )

    async def answer_challenge(
        self, member: _table.Member
    ) -> expression.Result[ports.CommitReply, errors.Failure]:
        """Show that a member is alive by deleting its challenge."""
        return await self._store.commit(
            ports.Batch((), (), (self._challenge_key(member),))
        )

    def _challenge_key(self, member: _table.Member) -> str:
        return (
            f'{self._prefix}{_CHALLENGE_PREFIX}'
            f'{member.address}/{member.incarnation}'
        )

    def _listing(self, listing: ports.Listing) -> ControlListing:
        table_revision = 0
        config_revision = 0
        challenges = []
        for entry in listing.keys:
            if entry.key == self._table_key:
                table_revision = entry.revision
            elif entry.key == self._config_key:
                config_revision = entry.revision
            else:
                challenges.extend(self._challenge(entry))
        return ControlListing(
            table_revision, config_revision, tuple(challenges)
        )

    def _challenge(self, entry: ports.KeyRevision) -> list[Challenge]:
        name = entry.key.removeprefix(f'{self._prefix}{_CHALLENGE_PREFIX}')
        address, _, incarnation = name.partition('/')
        if not incarnation.isdigit():
            return []
        return [Challenge(address, int(incarnation), entry.revision)]
