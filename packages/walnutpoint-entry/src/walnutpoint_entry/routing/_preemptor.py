"""Preemption of batch tasks in favour of urgent requests."""

from __future__ import annotations

import typing

__all__ = ('BatchPreemptor',)


class BatchPreemptor(typing.Protocol):
    """Preempt batch tasks to free their slots."""

    def preempt_for_urgent(self, slots: int) -> int:
        """Free up to this many slots and return how many."""
