"""Checks whether a request may start, right before its first byte."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_entry import keys

__all__ = (
    'KeyGuard',
    'OpenGuard',
    'StartGuard',
)


class StartGuard(typing.Protocol):
    """The final check of whether a request may start."""

    def try_start(self) -> bool:
        """Mark the request as started; return whether it may start."""

    def is_closed(self) -> bool:
        """Return whether the request may never start again."""


class OpenGuard:
    """Allow every request to start."""

    __slots__ = ()

    def try_start(self) -> bool:
        """Allow the start."""
        return True

    def is_closed(self) -> bool:
        """Return False: the request may always start."""
        return False


class KeyGuard:
    """Allow a keyed request to start while its home owns its shard."""

    __slots__ = ('_entry', '_may_act')

    def __init__(
        self,
        entry: keys.InFlightKey,
        may_act: collections.abc.Callable[[], bool],
    ) -> None:
        self._entry = entry
        self._may_act = may_act

    def try_start(self) -> bool:
        """Mark the request as started; return whether it may start."""
        # A paused home may have lost the shard to a new one that runs the
        # repeat: this request would then run twice.
        return self._may_act() and self._entry.start().is_ok()

    def is_closed(self) -> bool:
        """Return whether the key already has a result."""
        return self._entry.result is not None
