"""Protocols of the external systems that walnutpoint uses."""

from __future__ import annotations

import dataclasses
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import model

__all__ = (
    'Batch',
    'Changes',
    'CommitReply',
    'Guard',
    'HostList',
    'KeyRevision',
    'Listing',
    'Put',
    'Snapshot',
    'Store',
    'StoredValue',
    'WatchableStore',
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredValue:
    """A value in the store with the revision that wrote it."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRevision:
    """A key in the store with the revision that last wrote it."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The keys below a prefix at one revision of the store."""

    revision: int
    keys: tuple[KeyRevision, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Guard:
    """The required revision of a key; zero for an absent key."""

    key: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write a value under a key."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Writes that are applied atomically, only if every guard holds."""

    guards: tuple[Guard, ...]
    puts: tuple[Put, ...]
    deletes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReply:
    """Whether a batch was applied, and the store's revision after it."""

    applied: bool
    revision: int
    # If a guard failed: the current values of the existing guarded keys.
    conflicts: tuple[StoredValue, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The values below a prefix at a revision to watch from."""

    revision: int
    values: tuple[StoredValue, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The writes and removals below a prefix up to a revision.

    Each changed key is in one of them, as its last change left it.
    """

    revision: int
    values: tuple[StoredValue, ...]
    removed: tuple[str, ...] = ()


class Store(typing.Protocol):
    """The platform's key-value service; every read is linearizable."""

    async def get(
        self, key: str
    ) -> expression.Result[StoredValue | None, errors.Failure]:
        """Read one key."""

    async def list_keys(
        self, prefix: str
    ) -> expression.Result[Listing, errors.Failure]:
        """List the keys below a prefix without their values."""

    async def list_values(
        self, prefix: str
    ) -> expression.Result[tuple[StoredValue, ...], errors.Failure]:
        """Read every key below a prefix."""

    async def commit(
        self, batch: Batch
    ) -> expression.Result[CommitReply, errors.Failure]:
        """Apply a batch; after STORE_ANSWER_LOST it may have applied."""


class HostList(typing.Protocol):
    """The platform's list of live and leaving hosts, which may lag."""

    async def fetch(
        self, known_version: int | None
    ) -> expression.Result[model.HostListing | None, errors.Failure]:
        """Read the list, or None if the known version is current."""


class WatchableStore(typing.Protocol):
    """A linearizable store whose changes can be watched."""

    async def get(
        self, key: str
    ) -> expression.Result[StoredValue | None, errors.Failure]:
        """Read one key."""

    async def read(
        self, prefix: str
    ) -> expression.Result[Snapshot, errors.Failure]:
        """Read every key below a prefix."""

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> expression.Result[Changes | None, errors.Failure]:
        """Wait for changes; None if their history was compacted."""

    async def commit(
        self, batch: Batch
    ) -> expression.Result[CommitReply, errors.Failure]:
        """Apply a batch; after STORE_ANSWER_LOST it may still apply."""
