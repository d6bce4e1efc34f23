"""Segment loss on links, as it appears above TCP."""

from __future__ import annotations

import random
import typing

__all__ = ('SegmentLoss',)

# The kernel's minimum retransmission timeout, doubled with each further loss.
_RETRANSMIT_S: typing.Final = 0.2


class SegmentLoss:
    """Draws the delays of segments on a lossy link.

    Above TCP, lost or reordered segments appear only as a delay of all that
    follows, since the kernel restores the order.
    """

    __slots__ = ('_random', 'lost', 'share')

    def __init__(self, seed: int, share: float = 0.0) -> None:
        """Create a link that loses a share of its segments."""
        self._random = random.Random(seed)  # noqa: S311
        self.share = share
        self.lost = 0

    def delay_s(self) -> float:
        """Return by how much the next segment is delayed."""
        delay_s, wait_s = 0.0, _RETRANSMIT_S
        while self.share and self._random.random() < self.share:
            self.lost += 1
            delay_s += wait_s
            wait_s *= 2
        return delay_s
