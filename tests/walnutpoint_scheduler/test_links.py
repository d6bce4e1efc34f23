"""What a link to a worker acknowledges."""

from __future__ import annotations

import asyncio
import types
import unittest

from tests.walnutpoint_scheduler import harness
from walnutpoint_scheduler import _lease
from walnutpoint_scheduler import _links
from walnutpoint_scheduler import _roster
from walnutpoint_scheduler import settings


class AcknowledgeTest(unittest.TestCase):
    """Only ends that are stored are acknowledged."""

    def test_newer_ends_of_a_look_are_not_acknowledged(self) -> None:
        """An end that was acknowledged and not stored would be forgotten.

        A report listed ends up to 5 and they are stored. A look beside it
        has taken in end 6 meanwhile, which is not stored yet.
        """

        async def scene() -> None:
            context = types.SimpleNamespace(
                settings=settings.SchedulerSettings()
            )
            links = _links.WorkerLinks(context, None, None)
            worker = _roster.WorkerState(
                harness.workers.listed_worker(0),
                _lease.WorkerLease(2.5, 0.0),
            )
            worker.processed = 6
            stored: asyncio.Future[None] = asyncio.Future()
            stored.set_result(None)
            await links._acknowledge(worker, stored, 5)
            self.assertEqual(5, worker.acknowledged)

        harness.play(scene)
