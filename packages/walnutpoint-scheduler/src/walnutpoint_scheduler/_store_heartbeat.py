"""Scheduler heartbeats in the store, for hosts that can't reach it."""

from __future__ import annotations

import collections.abc
import typing

import anyio

from walnutpoint_core import ports
from walnutpoint_core import timer
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _relay

__all__ = ('StoreHeartbeat',)

# Interval of heartbeats. A silent scheduler is suspected after some 0.6 s.
_PERIOD_S: typing.Final = 0.2
# A heartbeat follows another within this: the period, and half of it for the
# commit. Twice the duration of a read is added, for a slow store.
_NEXT_WITHIN_S: typing.Final = 0.3
# A process that has not probed for this long may not reach the scheduler.
_PROBE_OVERDUE_S: typing.Final = 0.3
# One that has not probed for this long is gone and needs no heartbeat.
_PROBER_GONE_S: typing.Final = 30.0


class _Baseline(typing.NamedTuple):
    """A first heartbeat revision, and when the next one is due."""

    revision: int
    due_s: float


class StoreHeartbeat:
    """Writes heartbeats while probes are overdue, and checks for them.

    Under a partition between processes that all reach the store, each side
    would depose the other's scheduler in turn. The heartbeat shows that it
    is alive; the side that can't reach it is served through the store. While
    every process probes, nothing is written.
    """

    __slots__ = (
        '_baseline',
        '_probed_s',
        '_seen_revision',
        '_store',
        '_timer',
    )

    def __init__(self, store: _relay.RelayedStore, clock: timer.Timer) -> None:
        self._store = store
        self._timer = clock
        self._probed_s: dict[str, float] = {}
        self._baseline: _Baseline | None = None
        # The newest heartbeat at the last check.
        self._seen_revision = 0

    def note_probe(self, sender: str) -> None:
        """Record a probe by another process."""
        self._probed_s[sender] = self._timer.now_s()

    def expect_probes(self, names: collections.abc.Iterable[str]) -> None:
        """Expect probes from the named processes from now on."""
        now_s = self._timer.now_s()
        self._probed_s = dict.fromkeys(names, now_s)

    async def write_if_missed(self, token: int) -> None:
        """Write a heartbeat if a process stopped probing."""
        if not self._is_probe_overdue():
            return
        await self._store.commit(
            ports.Batch(
                (ports.Guard(_keys.SCHEDULER, token),),
                (ports.Put(_keys.HEARTBEAT, str(token).encode()),),
            )
        )

    async def read_baseline(self) -> None:
        """Read the newest heartbeat when a probe has timed out.

        To a first reader, the last heartbeat of a dead scheduler looks new.
        With this baseline before the second probe times out, the next read
        decides.
        """
        self._baseline = None
        began_s = self._timer.now_s()
        revision = await self._read_revision()
        if revision is not None:
            took_s = self._timer.now_s() - began_s
            due_s = began_s + _NEXT_WITHIN_S + 2 * took_s
            self._baseline = _Baseline(revision, due_s)

    async def read_baseline_within(self, within_s: float) -> None:
        """Read the baseline, but do not wait for a silent store."""
        with anyio.move_on_after(within_s):
            await self.read_baseline()

    async def has_advanced(self) -> bool:
        """Return whether a heartbeat was written since the baseline."""
        if self._baseline is None:
            await self.read_baseline()
        baseline, self._baseline = self._baseline, None
        if baseline is None:
            return False
        revision = await self._read_revision()
        if revision == baseline.revision != self._seen_revision:
            # The heartbeat is recent, and the next may be in flight.
            left_s = baseline.due_s - self._timer.now_s()
            await self._timer.sleep(max(0.0, left_s))
            revision = await self._read_revision()
        if revision is None:
            return False
        self._seen_revision = revision
        return revision != baseline.revision

    def _is_probe_overdue(self) -> bool:
        now_s = self._timer.now_s()
        ages = [now_s - probed_s for probed_s in self._probed_s.values()]
        return any(_PROBE_OVERDUE_S < age_s < _PROBER_GONE_S for age_s in ages)

    async def _read_revision(self) -> int | None:
        """Return the newest revision, zero for none, None if unknown."""
        item = await self._store.get(_keys.HEARTBEAT)
        if item.is_error():
            return None
        return item.ok.revision if item.ok else 0
