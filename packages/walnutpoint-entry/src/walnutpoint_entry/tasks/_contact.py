"""The state of the link to an owned worker, and lease times."""

from __future__ import annotations

import dataclasses
import math
import typing

from walnutpoint_entry.tasks import _wire

__all__ = (
    'LeaseTimes',
    'WorkerLink',
)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTimes:
    """The durations that govern task leases.

    The margin covers clock rates that differ by one per cent over a lease
    and over the age of the worker's clock reading that starts it.
    """

    lease_s: float = 30.0
    renew_period_s: float = 10.0
    retry_s: float = 2.0
    margin_s: float = 1.0
    clock_age_max_s: float = 60.0
    checkpoint_grace_s: float = 5.0

    @property
    def lapse_s(self) -> float:
        """Return the time after which a lease has certainly lapsed."""
        return self.lease_s + self.margin_s

    @property
    def renewable_silence_max_s(self) -> float:
        """Return the silence after which leases are not renewed."""
        return self.lease_s - self.renew_period_s


@dataclasses.dataclass(slots=True, eq=False)
class WorkerLink:
    """An owned worker's epoch, clock reading and next renewal time."""

    worker: str
    epoch: int
    acquired_s: float
    due_s: float
    is_inventoried: bool = False
    renewals_in_flight: int = 0
    last_reply_s: float = -math.inf
    clock_s: float = 0.0
    acknowledged: set[_wire.Attempt] = dataclasses.field(default_factory=set)

    def record_reply(self, clock_s: float, now_s: float) -> None:
        """Record the worker's clock from a reply received now."""
        self.clock_s = clock_s
        self.last_reply_s = now_s

    def clock_at(self, now_s: float) -> float:
        """Return a lower bound of the worker's clock."""
        # The clock was read before the reply arrived, so an estimate that
        # counts from the arrival is never ahead of the worker.
        return self.clock_s + now_s - self.last_reply_s

    def has_clock(self, now_s: float, age_max_s: float) -> bool:
        """Return whether the clock reading is recent enough."""
        return now_s - self.last_reply_s <= age_max_s

    def schedule_by(self, due_s: float) -> None:
        """Schedule the next renewal no later than due_s."""
        self.due_s = min(self.due_s, due_s)


NEVER_S: typing.Final = math.inf
