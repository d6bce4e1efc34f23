"""Counts of a process's store calls."""

from __future__ import annotations

import collections
import typing

from walnutpoint_core import logs
from walnutpoint_core import ports
from walnutpoint_core import timer

__all__ = ('StoreCalls',)

_LOG: typing.Final = logs.get_logger('store')
# Calls are billed; one log line a period shows what they are for.
_LOG_PERIOD_S: typing.Final = 10.0
# Leading parts of a key that name its area.
_AREA_PARTS: typing.Final = 2


class StoreCalls:
    """Counts operations by the area of their keys."""

    __slots__ = ('_counts', '_timer')

    def __init__(self, clock: timer.Timer) -> None:
        self._timer = clock
        self._counts: collections.Counter[str] = collections.Counter()

    def note(self, operation: str, key: str) -> None:
        """Count one operation on a key or a prefix."""
        area = '/'.join(key.split('/')[:_AREA_PARTS]).rstrip('/')
        self._counts[f'{operation}:{area}'] += 1

    def note_commit(self, batch: ports.Batch) -> None:
        """Count a commit under the first key that it changes."""
        keys = (*(put.key for put in batch.puts), *batch.deletes)
        self.note('commit', keys[0] if keys else '')

    async def log_counts(self) -> None:
        """Log and reset the counts periodically until cancelled."""
        async for _ in self._timer.subscribe(lambda: _LOG_PERIOD_S):
            if not self._counts:
                continue
            counts, self._counts = self._counts, collections.Counter()
            text = ','.join(f'{k}={n}' for k, n in sorted(counts.items()))
            _LOG.info('store.calls', period_s=_LOG_PERIOD_S, counts=text)
