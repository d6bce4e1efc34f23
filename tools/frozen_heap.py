"""nose2 plugin that keeps loaded code out of garbage collections."""

from __future__ import annotations

import gc

from nose2 import events

__all__ = ('FrozenHeap',)


class FrozenHeap(events.Plugin):
    """Freeze the heap before the first test.

    A full collection of all loaded modules pauses a test process, and with it
    both sides of each test that runs its stand-ins in the same process.
    """

    alwaysOn = True

    def startTestRun(self, event: events.StartTestRunEvent) -> None:
        """Exclude the objects that exist now from collections."""
        gc.collect()
        gc.freeze()
