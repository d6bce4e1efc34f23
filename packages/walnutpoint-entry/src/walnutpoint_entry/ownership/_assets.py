"""The interface of the components that use owned assets."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_entry.ownership import _succession
from walnutpoint_entry.ownership import _table

__all__ = ('AssetListener',)


class AssetListener(typing.Protocol):
    """A component that uses assets while they are active here."""

    def update_members(
        self, members: collections.abc.Iterable[_table.Member]
    ) -> None:
        """Replace the other members by those of a newer table."""

    def on_acquired(self, acquired: _succession.AcquiredAsset) -> None:
        """Start using an asset."""

    def on_lost(self, lost: _succession.LostAsset) -> None:
        """Stop starting work on an asset, before this returns."""

    def lower_in_use(self, asset: str, in_use: int) -> None:
        """Lower the number of slots that the previous owner still uses."""

    def in_use(self, asset: str) -> int:
        """Return how many slots of an asset this process still uses."""

    async def hand_over(
        self, asset: str, epoch: int, successor: _table.Member
    ) -> None:
        """Send the successor what it needs to take over the asset."""
