"""Team weights for the queue of waiting requests."""

from __future__ import annotations

from walnutpoint_core import documents
from walnutpoint_entry import routing

__all__ = ('TeamWeightListener',)


class TeamWeightListener:
    """Update the queue's team weights from the configuration."""

    __slots__ = ('_wait_queue',)

    def __init__(self, wait_queue: routing.WaitQueue) -> None:
        self._wait_queue = wait_queue

    def apply(self, configuration: documents.Configuration) -> None:
        """Set the weights of a new configuration."""
        self._wait_queue.set_weights(
            {
                name: part.team.item.weight
                for name, part in configuration.teams.items()
            }
        )
