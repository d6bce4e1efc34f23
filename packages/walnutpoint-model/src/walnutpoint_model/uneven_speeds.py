"""Workers of several speeds, and tasks of which a few are large."""

from __future__ import annotations

import random
import typing

import anyio

from walnutpoint_model import fleet as fleets
from walnutpoint_scheduler import ports

__all__ = (
    'UnevenSpeeds',
    'is_large',
)

_PERIOD_S: typing.Final = 0.5
# One worker in so many is slower by _SLOWDOWN for good.
_SLOW_EVERY: typing.Final = 3
_SLOWDOWN: typing.Final = 1.9
# Each worker is slower still for some seconds now and then: a tenth of the
# time, with this chance in each period.
_DISTURBED: typing.Final = 5.1
_DISTURBANCE_CHANCE: typing.Final = 0.015
_DISTURBED_PERIODS: typing.Final = (1, 12)
_LARGE_SHARE: typing.Final = 0.03


class UnevenSpeeds:
    """Sets the speeds of workers, also of those that restart."""

    __slots__ = ('_disturbed_periods', '_fleet', '_random')

    def __init__(self, fleet: fleets.Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._random = rng
        # Periods for which a worker stays disturbed.
        self._disturbed_periods: dict[str, int] = {}

    async def run(self, duration_s: float) -> None:
        """Disturb workers for a time, then only keep their own speeds."""
        periods = int(duration_s / _PERIOD_S)
        while True:
            for name in sorted(self._fleet.workers):
                self._update(name, may_disturb=periods > 0)
            periods -= 1
            await anyio.sleep(_PERIOD_S)

    def _update(self, name: str, *, may_disturb: bool) -> None:
        left = self._disturbed_periods.get(name, 0) - 1
        if may_disturb and left < 0:
            left = 0
            if self._random.random() < _DISTURBANCE_CHANCE:
                left = self._random.randint(*_DISTURBED_PERIODS)
        self._disturbed_periods[name] = left
        worker = self._fleet.workers[name]
        port = int(worker.listed.address.rpartition(':')[2])
        factor = 1.0 if port % _SLOW_EVERY else _SLOWDOWN
        if may_disturb and left > 0:
            factor *= _DISTURBED
        if factor != worker.slowdown_factor:
            worker.change_speed(factor)


def is_large(task: ports.TaskName) -> bool:
    """Return whether a task is much larger than others of its step."""
    draw = random.Random(str(task)).random()  # noqa: S311
    return draw < _LARGE_SHARE
