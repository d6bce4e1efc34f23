"""The assignment table and the computation of the next one."""

from __future__ import annotations

import collections
import collections.abc
import typing

import msgspec

__all__ = (
    'AssignmentTable',
    'Holding',
    'Member',
    'StoredTable',
    'DesiredTable',
    'ack_count',
    'attest_count',
    'is_shard',
    'next_table',
    'shard_index',
    'shard_names',
)

_SHARD_PREFIX: typing.Final = 'shard-'


class Member(msgspec.Struct, frozen=True):
    """One entry process; a restart changes its incarnation."""

    address: str
    incarnation: int
    name: str
    domain: str
    region: str


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """The owner of an asset, its epoch and that of the previous owner.

    An epoch is the generation of the table that changed the owner; the
    previous epoch is zero if the previous table lacked the asset.
    """

    owner: int
    epoch: int
    previous_epoch: int = 0


class AssignmentTable(msgspec.Struct, frozen=True):
    """The owner of each endpoint and key shard, as stored."""

    generation: int
    hosts_version: int
    members: tuple[Member, ...]
    previous_members: tuple[Member, ...]
    holdings: dict[str, Holding]
    proposal_id: str

    def owner(self, asset: str) -> Member | None:
        """Return the member that owns an asset."""
        holding = self.holdings.get(asset)
        return None if holding is None else self.members[holding.owner]

    def epoch(self, asset: str) -> int:
        """Return the epoch of an asset, or zero if it is not assigned."""
        holding = self.holdings.get(asset)
        return 0 if holding is None else holding.epoch

    def previous_epoch(self, asset: str) -> int:
        """Return the epoch of an asset's previous owner, or zero."""
        holding = self.holdings.get(asset)
        return 0 if holding is None else holding.previous_epoch

    def owned_by(self, member: Member) -> dict[str, int]:
        """Return the assets of one member with their epochs."""
        return {
            asset: holding.epoch
            for asset, holding in self.holdings.items()
            if self.members[holding.owner] == member
        }


class DesiredTable(msgspec.Struct, frozen=True):
    """The desired contents of a table; members, endpoints are sorted."""

    members: tuple[Member, ...]
    endpoints: tuple[str, ...]
    shards: int
    hosts_version: int

    def differs(self, current: AssignmentTable | None) -> bool:
        """Return whether the current table has other contents."""
        if current is None or current.members != self.members:
            return True
        desired = {*self.endpoints, *shard_names(self.shards)}
        return current.holdings.keys() != desired


class StoredTable(msgspec.Struct, frozen=True):
    """A table with the store revision at which it was written."""

    revision: int
    table: AssignmentTable


def ack_count(members: int) -> int:
    """Return how many members must know a new table to start its fence."""
    return members // 3 + 1


def attest_count(members: int) -> int:
    """Return how many members must know of no newer table."""
    return members - ack_count(members) + 1


def shard_names(count: int) -> tuple[str, ...]:
    """Return the names of the key shards."""
    return tuple(f'{_SHARD_PREFIX}{index}' for index in range(count))


def is_shard(asset: str) -> bool:
    """Return whether an asset is a key shard."""
    return asset.startswith(_SHARD_PREFIX)


def shard_index(asset: str) -> int:
    """Return the number of a key shard."""
    return int(asset.removeprefix(_SHARD_PREFIX))


def next_table(
    current: AssignmentTable | None,
    desired: DesiredTable,
    proposal_id: str,
) -> AssignmentTable:
    """Balance all assets over the members with the fewest moves."""
    ordered = desired.members
    generation = 1 if current is None else current.generation + 1
    holdings: dict[str, Holding] = {}
    for assets in (desired.endpoints, shard_names(desired.shards)):
        holdings.update(_balance(current, ordered, assets, generation))
    return AssignmentTable(
        generation=generation,
        hosts_version=desired.hosts_version,
        members=ordered,
        previous_members=() if current is None else current.members,
        holdings=holdings,
        proposal_id=proposal_id,
    )


def _balance(
    current: AssignmentTable | None,
    members: tuple[Member, ...],
    assets: collections.abc.Sequence[str],
    generation: int,
) -> dict[str, Holding]:
    retained = _retained_owners(current, members, assets)
    targets = _target_counts(retained, members, len(assets))
    holdings: dict[str, Holding] = {}
    unassigned: list[str] = []
    counts = collections.Counter[int]()
    for asset in assets:
        owner = retained.get(asset)
        if owner is None or counts[owner] >= targets[owner]:
            unassigned.append(asset)
            continue
        counts[owner] += 1
        assert current is not None
        holdings[asset] = Holding(
            owner, current.epoch(asset), current.previous_epoch(asset)
        )
    new_owners = [
        owner
        for owner in range(len(members))
        for _ in range(targets[owner] - counts[owner])
    ]
    for asset, owner in zip(unassigned, new_owners, strict=True):
        previous_epoch = 0 if current is None else current.epoch(asset)
        holdings[asset] = Holding(owner, generation, previous_epoch)
    return holdings


def _retained_owners(
    current: AssignmentTable | None,
    members: tuple[Member, ...],
    assets: collections.abc.Iterable[str],
) -> dict[str, int]:
    if current is None:
        return {}
    positions = {member: index for index, member in enumerate(members)}
    retained = {}
    for asset in assets:
        owner = current.owner(asset)
        if owner in positions:
            retained[asset] = positions[owner]
    return retained


def _target_counts(
    retained: dict[str, int], members: tuple[Member, ...], assets: int
) -> list[int]:
    """Give the remainder to the largest owners, so that fewest move."""
    base, remainder = divmod(assets, len(members))
    held = collections.Counter(retained.values())
    owners = sorted(
        range(len(members)), key=lambda owner: (-held[owner], owner)
    )
    targets = [base] * len(members)
    for owner in owners[:remainder]:
        targets[owner] += 1
    return targets
