"""Links that lose segments, as those who use them notice it."""

from __future__ import annotations

import random
import typing

__all__ = ('SegmentLoss',)

# When a lost segment is sent again: the least time that the kernel waits,
# doubled with each further loss.
_RETRANSMIT_S: typing.Final = 0.2


class SegmentLoss:
    """Draws how much later segments come on a lossy link.

    TCP hides a loss but for a pause of all that comes behind it. The kernel
    restores the order, so that another order shows as such a pause as well.
    """

    __slots__ = ('_random', 'lost', 'share')

    def __init__(self, seed: int, share: float = 0.0) -> None:
        """Create a link that loses a share of its segments."""
        self._random = random.Random(seed)  # noqa: S311
        self.share = share
        # Segments that were lost on the way.
        self.lost = 0

    def delay_s(self) -> float:
        """Return how much later the next segment comes."""
        delay_s, wait_s = 0.0, _RETRANSMIT_S
        while self.share and self._random.random() < self.share:
            self.lost += 1
            delay_s += wait_s
            wait_s *= 2
        return delay_s
