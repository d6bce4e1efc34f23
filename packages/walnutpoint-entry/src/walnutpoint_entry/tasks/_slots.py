"""The slots of workers, which tasks share with urgent requests."""

from __future__ import annotations

import typing

__all__ = ('SlotKeeper',)


class SlotKeeper(typing.Protocol):
    """What keeps the slots of the own endpoints.

    After a gain it lets no request start on an endpoint until open_slots:
    a request could otherwise take the slot of a task that the former owner
    started there, and the endpoint would be over its capacity.
    """

    def free_slots(self, endpoint: str) -> int:
        """Return how many tasks could take a slot now."""

    def take_slot(self, endpoint: str) -> bool:
        """Take a free slot for a task."""

    def claim_slot(self, endpoint: str) -> None:
        """Note that a task which was found there uses a slot already."""

    def free_slot(self, endpoint: str) -> None:
        """Free the slot of a task."""

    def open_slots(self, endpoint: str) -> None:
        """Let requests start on a gained endpoint."""
