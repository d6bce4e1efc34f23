"""A sign of life in the store, for processes that can't reach each other."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import ports
from walnutpoint_core import timer
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _relay

__all__ = ('Pulse',)

# Between two signs. A process suspects a silent scheduler after some 0.6 s.
_PERIOD_S: typing.Final = 0.2
# A process that has not probed for this long can't reach the scheduler.
_MISSING_S: typing.Final = 0.3
# One that is missing for longer is gone, and no reason for a sign.
_GONE_S: typing.Final = 30.0


class Pulse:
    """Writes signs while a process misses its probes, and looks for them.

    Under a partition between processes that all reach the store, each side
    would depose the scheduler of the other in turn. The store shows that it
    lives; the side without a link to it is served through the store. In a
    calm cell every process probes, and nothing is written.
    """

    __slots__ = ('_probed_s', '_seen_revision', '_store', '_timer')

    def __init__(self, store: _relay.RelayedStore, clock: timer.Timer) -> None:
        self._store = store
        self._timer = clock
        self._probed_s: dict[str, float] = {}
        self._seen_revision = 0

    def note_probe(self, sender: str) -> None:
        """Note that a process has asked how this one stands."""
        self._probed_s[sender] = self._timer.now_s()

    def begin(self, names: collections.abc.Iterable[str]) -> None:
        """Expect the probes of some processes from now on."""
        now_s = self._timer.now_s()
        self._probed_s = dict.fromkeys(names, now_s)

    async def beat(self, token: int) -> None:
        """Write a sign where a process has ceased to ask."""
        if not self._is_missed():
            return
        await self._store.commit(
            ports.Batch(
                (ports.Guard(_keys.SCHEDULER, token),),
                (ports.Put(_keys.PULSE, str(token).encode()),),
            )
        )

    async def is_felt(self) -> bool:
        """Return whether the scheduler writes signs now."""
        first = await self._revision()
        if first is None or first == self._seen_revision:
            return False
        # Written since the last look, which may be long ago.
        self._seen_revision = first
        await self._timer.sleep(2 * _PERIOD_S)
        second = await self._revision()
        if second is None or second == first:
            return False
        self._seen_revision = second
        return True

    def _is_missed(self) -> bool:
        now_s = self._timer.now_s()
        ages = [now_s - probed_s for probed_s in self._probed_s.values()]
        return any(_MISSING_S < age_s < _GONE_S for age_s in ages)

    async def _revision(self) -> int | None:
        item = await self._store.get(_keys.PULSE)
        if item.is_error() or item.ok is None:
            return None
        return item.ok.revision
