"""Tests of the requests that wait."""

from __future__ import annotations

import asyncio
import typing
import unittest

import anyio

from tests.walnutpoint_entry import manual_timer
from tests.walnutpoint_entry import samples
from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import settings
from walnutpoint_entry import placement
from walnutpoint_entry import routing
from walnutpoint_entry.routing import _waiting

_LEASE = placement.SlotLease('a', 1)
_URGENT = model.WorkClass.URGENT


class WaitingRoomTest(unittest.IsolatedAsyncioTestCase):
    """One room with room for two."""

    def setUp(self) -> None:
        self.timer = manual_timer.ManualTimer()
        self.room = routing.WaitingRoom(
            self.timer,
            settings.PlacementSettings(queue_length=2, team_queue_length=2),
            placement.WaitEstimate(),
        )
        self.results: dict[str, typing.Any] = {}
        self.given_back: list[placement.SlotLease] = []

    async def _wait(self, name: str, **changes: typing.Any) -> None:
        request = samples.request(request_id=name, **changes)
        self.results[name] = await self.room.wait(
            request, self.given_back.append, lambda: None
        )

    async def test_grants_go_by_class(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait, 'standard')
            await samples.settle()
            urgent = {'work_class': _URGENT}
            tasks.start_soon(lambda: self._wait('urgent', **urgent))
            await samples.settle()
            self.assertTrue(self.room.grant(_waiting.Grant(lease=_LEASE)))
            await samples.settle()
            self.assertEqual(['urgent'], list(self.results))
            peer = samples.member(2)
            self.assertTrue(self.room.grant(_waiting.Grant(peer=peer)))
        self.assertEqual(_LEASE, self.results['urgent'].ok.lease)
        self.assertEqual(peer, self.results['standard'].ok.peer)
        self.assertFalse(self.room.grant(_waiting.Grant(lease=_LEASE)))

    async def test_refused_when_it_can_no_longer_start(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.room.run)
            tasks.start_soon(self._wait, 'late')
            await samples.settle()
            self.timer.advance(9.9)
            await samples.settle()
            self.assertEqual({}, self.results)
            self.timer.advance(0.2)
            await samples.settle()
            tasks.cancel_scope.cancel()
        self.assertEqual(
            errors.ErrorKind.DEADLINE_PASSED,
            samples.kind_of(self.results['late']),
        )

    async def test_displaced_one_is_told_at_once(self) -> None:
        async with anyio.create_task_group() as tasks:
            for name in ('one', 'two'):
                tasks.start_soon(self._wait, name)
            await samples.settle()
            urgent = {'work_class': _URGENT}
            tasks.start_soon(lambda: self._wait('urgent', **urgent))
            await samples.settle()
            (displaced,) = self.results.values()
            self.assertEqual(
                errors.ErrorKind.QUEUE_FULL, samples.kind_of(displaced)
            )
            tasks.cancel_scope.cancel()

    async def test_cancelled_waiter_leaves_and_gives_its_lease_back(
        self,
    ) -> None:
        for is_granted in (True, False):
            task = asyncio.ensure_future(self._wait('one'))
            await samples.settle()
            if is_granted:
                self.room.grant(_waiting.Grant(lease=_LEASE))
            task.cancel()
            await asyncio.wait({task})
            self.assertTrue(task.cancelled())
            self.assertEqual(0, len(self.room))
            self.assertEqual([_LEASE], self.given_back)
