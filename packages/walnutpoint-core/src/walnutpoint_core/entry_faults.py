"""Logging of unreadable store entries, once per revision."""

from __future__ import annotations

import collections
import typing

from walnutpoint_core import logs
from walnutpoint_core import ports

__all__ = ('EntryFaults',)

_LOG: typing.Final = logs.get_logger('entries')
# Far more than the damaged entries of any store; some 100 kB at most.
_REPORTED_MAX: typing.Final = 1000


class EntryFaults:
    """Logs each unreadable entry once per revision.

    Listings are read every few seconds: one damaged entry would otherwise
    add a line each time and hide other events.
    """

    __slots__ = ('_reader', '_reported')

    def __init__(self, reader: str) -> None:
        """Set the name under which the log shows the reading component."""
        self._reader = reader
        self._reported: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def report(self, item: ports.StoredValue, fault: object) -> None:
        """Log a skipped entry unless its revision was reported before."""
        if self._reported.get(item.key) == item.revision:
            return
        self._reported[item.key] = item.revision
        self._reported.move_to_end(item.key)
        if len(self._reported) > _REPORTED_MAX:
            self._reported.popitem(last=False)
        _LOG.error(
            'entry.unreadable',
            reader=self._reader,
            key=item.key,
            revision=item.revision,
            size_bytes=len(item.value),
            fault=str(fault),
        )
