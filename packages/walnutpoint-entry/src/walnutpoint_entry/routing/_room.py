"""Room for urgent requests at the cost of batch tasks."""

from __future__ import annotations

import typing

__all__ = ('RoomMaker',)


class RoomMaker(typing.Protocol):
    """The part that can end batch tasks to free their slots."""

    def make_room(self, slots: int) -> int:
        """Free slots for urgent requests, and return how many."""
