"""State that entry processes exchange with their peers."""

from __future__ import annotations

import dataclasses
import typing

from walnutpoint_entry.ownership import _table

__all__ = (
    'PeerState',
    'ReleaseSender',
    'ReleasedAsset',
)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerState:
    """The state of one process, sent with every heartbeat."""

    member: _table.Member
    table_revision: int
    free_slots: int
    backlog: int
    is_busy: bool
    is_stopping: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedAsset:
    """A released asset and the slots that its previous owner still uses.

    epoch is that of the successor, released_epoch that of the old owner.
    """

    asset: str
    epoch: int
    released_epoch: int
    in_use: int


class ReleaseSender(typing.Protocol):
    """Sends released assets to their successors."""

    async def send_release(
        self,
        successor: _table.Member,
        table_revision: int,
        released: tuple[ReleasedAsset, ...],
    ) -> bool:
        """Send a release and return whether the successor accepted it."""
