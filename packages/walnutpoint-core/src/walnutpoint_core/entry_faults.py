"""Entries in the store that can't be read, each told of once a revision."""

from __future__ import annotations

import collections
import typing

from walnutpoint_core import logs
from walnutpoint_core import ports

__all__ = ('EntryFaults',)

# Entries that are remembered: far above what damaged ones a store ever held,
# and some 100 kB at most.
_REMEMBERED_MAX: typing.Final = 1000


class EntryFaults:
    """Tells of unreadable entries, and forgets the oldest of many.

    A listing is read every few seconds: one damaged entry would otherwise
    write a line each time, and hide what else the log has to say.
    """

    __slots__ = ('_event', '_log', '_told')

    def __init__(self, name: str, event: str) -> None:
        """Tell under the name of a logger, as one kind of event."""
        self._log = logs.get_logger(name)
        self._event = event
        self._told: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def note(self, item: ports.StoredValue, fault: object) -> None:
        """Tell that an entry was passed over, unless it was told before."""
        if self._told.get(item.key) == item.revision:
            return
        self._told[item.key] = item.revision
        self._told.move_to_end(item.key)
        if len(self._told) > _REMEMBERED_MAX:
            self._told.popitem(last=False)
        self._log.error(
            self._event,
            key=item.key,
            revision=item.revision,
            size_bytes=len(item.value),
            fault=str(fault),
        )
