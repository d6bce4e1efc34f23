"""The slots of workers, which tasks share with urgent requests."""

from __future__ import annotations

import typing

__all__ = ('SlotKeeper',)


class SlotKeeper(typing.Protocol):
    """The slots of the owned endpoints.

    An acquired endpoint gets no request until open_slots: the request could
    take the slot of a task that the former owner started there, and exceed
    the endpoint's capacity.
    """

    def free_slots(self, endpoint: str) -> int:
        """Return the number of slots free for tasks."""

    def take_slot(self, endpoint: str) -> bool:
        """Take a free slot for a task."""

    def claim_slot(self, endpoint: str) -> None:
        """Count the slot of a task that was found there."""

    def free_slot(self, endpoint: str) -> None:
        """Free the slot of a task."""

    def open_slots(self, endpoint: str) -> None:
        """Allow requests on an acquired endpoint."""
