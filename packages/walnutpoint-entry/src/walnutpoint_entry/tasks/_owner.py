"""Interface to the ownership of workers."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_entry import ownership

__all__ = ('Owner',)


class Owner(typing.Protocol):
    """The ownership of workers by this process."""

    @property
    def member(self) -> ownership.Member:
        """Return this process as a member."""

    @property
    def stored_table(self) -> ownership.StoredTable | None:
        """Return the newest table that this process has read."""

    @property
    def table_revision(self) -> int:
        """Return the revision of the newest table read, or zero."""

    def may_act(self, asset: str) -> bool:
        """Return whether this process may act on an asset now."""

    def is_confirmed(self) -> bool:
        """Return whether no newer table can be in use now."""

    def pending(self) -> collections.abc.Mapping[str, int]:
        """Return assigned assets that are not active here yet."""

    async def poll(self) -> None:
        """Read the control keys once and apply them."""
