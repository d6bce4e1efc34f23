"""Watches of the intake that miss changes."""

from __future__ import annotations

import typing
import unittest

import anyio
import expression

from tests.walnutpoint_scheduler import harness
from walnutpoint_core import ports as core_ports
from walnutpoint_model import store
from walnutpoint_scheduler import _keys

# Above the longest wait of a watch.
_SILENCE_S = 12.0


class _SilentWatchStore(store.MemoryStore):
    """A store whose watches of the intake may miss changes."""

    def __init__(self) -> None:
        super().__init__()
        self.misses_changes = False

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> typing.Any:
        """Wait for changes, or report none up to the newest revision."""
        if prefix != _keys.INTAKE or not self.misses_changes:
            return await super().watch(prefix, after_revision, wait_s)
        await anyio.sleep(wait_s)
        return expression.Ok(core_ports.Changes(self.revision, ()))


class SilentWatchTest(unittest.TestCase):
    """A watch reports no change, with a revision past the change."""

    def test_job_that_a_watch_missed_is_done(self) -> None:
        """Guards against an accepted job that waits for the next term.

        The notice of the job is lost as well.
        """

        async def scenario() -> None:
            bed = harness.Testbed()
            bed.store = silent = _SilentWatchStore()
            async with bed.scheduling() as term:
                await harness.until(lambda: term.ready)
                silent.misses_changes = True
                # Ends the watch that began before.
                first = harness.job(1)
                bed.submit(first)
                await harness.until(lambda: bed.state(first.job_id) == 'done')
                missed = harness.job(2)
                bed.submit(missed)
                await anyio.sleep(_SILENCE_S)
                silent.misses_changes = False
                await harness.until(
                    lambda: bed.state(missed.job_id) == 'done', _SILENCE_S
                )

        harness.run_virtual(scenario)
