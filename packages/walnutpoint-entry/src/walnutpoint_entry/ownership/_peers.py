"""What entry processes tell each other of themselves."""

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
    """The state of one process, as carried by every heartbeat."""

    member: _table.Member
    table_revision: int
    free_slots: int
    backlog: int
    is_busy: bool
    is_stopping: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedAsset:
    """An asset handed over, with the slots its old owner still uses.

    The epoch is the successor's, the released one that of the old owner.
    """

    asset: str
    epoch: int
    released_epoch: int
    in_use: int


class ReleaseSender(typing.Protocol):
    """The way to the next owners of released assets."""

    async def send_release(
        self,
        successor: _table.Member,
        table_revision: int,
        released: tuple[ReleasedAsset, ...],
    ) -> bool:
        """Hand assets over and tell whether the successor has taken them."""
