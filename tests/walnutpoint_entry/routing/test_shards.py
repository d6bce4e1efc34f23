"""Tests of the hand-over of key shards."""

from __future__ import annotations

import typing
import unittest

import expression

from tests.walnutpoint_entry import manual_timer
from tests.walnutpoint_entry.routing import fakes
from tests.walnutpoint_entry import samples
from walnutpoint_core import errors
from walnutpoint_core import settings
from walnutpoint_entry import keys
from walnutpoint_entry import ownership
from walnutpoint_entry import routing

_SETTINGS = settings.KeySettings()
_SHARD = 'shard-0'
_DONE = expression.Ok(samples.ANSWER)
_TWO = samples.member(2)


class _Home:
    """One process that may be home of the shard."""

    def __init__(self, timer: manual_timer.ManualTimer) -> None:
        self._timer = timer
        self.links = fakes.Links()
        self.memory = keys.KeyMemory(_SETTINGS)
        self.shards = routing.KeyShards(
            timer, _SETTINGS, self.memory, self.links
        )

    def begin(self, text: str, epoch: int = 1) -> typing.Any:
        """Begin a key in the memory; return its admission or error kind."""
        key = keys.MintedKey(text, 0, epoch, 0.0)
        result = self.memory.begin(0, key, b'print', self._timer.now_s())
        return result.ok if result.is_ok() else result.error.kind


class KeyShardsTest(unittest.IsolatedAsyncioTestCase):
    """A shard moves from one home to the next."""

    def setUp(self) -> None:
        self.timer = manual_timer.ManualTimer()
        self.first, self.next = _Home(self.timer), _Home(self.timer)
        self.first.shards.on_acquired(fakes.acquired_asset(_SHARD, epoch=1))
        entry = self.first.begin('done').entry
        entry.start()
        self.first.memory.finish(entry, _DONE, self.timer.now_s())

    async def _hand_over(self) -> None:
        self.first.shards.on_lost(ownership.LostAsset(_SHARD, 1, _TWO))
        await self.first.shards.hand_over(_SHARD, 2, _TWO)

    def _receive(self, epoch: int = 2, in_use: int | None = 0) -> None:
        for batch in self.first.links.batches:
            self.assertTrue(self.next.shards.receive(batch))
        self.next.shards.on_acquired(
            fakes.acquired_asset(_SHARD, in_use, False, epoch)
        )

    async def test_release_hands_over_memory(self) -> None:
        await self._hand_over()
        self._receive()
        self.assertEqual(keys.Replayed(_DONE), self.next.begin('done'))
        self.assertIsInstance(self.next.begin('new'), keys.Admitted)

    async def test_blind_without_the_whole_memory(self) -> None:
        """A key that ran at the previous home would run a second time.

        The records may be incomplete or of another epoch, or the asset may
        have been acquired by the fence after its release was lost.
        """
        await self._hand_over()
        self.first.links.batches[-1].is_last = False
        self._receive()
        self.assertEqual(errors.ErrorKind.KEY_BLIND, self.next.begin('new'))
        self.timer.advance(_SETTINGS.remember_s + 0.1)
        self.assertIsInstance(self.next.begin('new'), keys.Admitted)
        self.first.links.batches[-1].is_last = True
        for changes in ({'epoch': 3}, {'in_use': None}):
            self.next = _Home(self.timer)
            self._receive(**changes)
            self.assertEqual(
                errors.ErrorKind.KEY_BLIND, self.next.begin('new')
            )

    async def test_hand_over_includes_remaining_blind_period(self) -> None:
        self.first.shards.on_lost(ownership.LostAsset(_SHARD, 1, _TWO))
        self.first.shards.on_acquired(
            fakes.acquired_asset(_SHARD, None, False, 2)
        )
        self.first.shards.on_lost(ownership.LostAsset(_SHARD, 2, _TWO))
        await self.first.shards.hand_over(_SHARD, 3, _TWO)
        self._receive(epoch=3)
        self.assertEqual(errors.ErrorKind.KEY_BLIND, self.next.begin('new'))
        self.assertIsInstance(self.next.begin('new', 2), keys.Admitted)

    async def test_malformed_batch_is_refused(self) -> None:
        await self._hand_over()
        batch = self.first.links.batches[-1]
        batch.records = b'\xff'
        self.assertFalse(self.next.shards.receive(batch))

    async def test_sending_stops_with_a_lost_batch(self) -> None:
        for number in range(3):
            entry = self.first.begin(f'big-{number}').entry
            entry.start()
            big = expression.Ok(
                samples.ANSWER.__class__(
                    200, (), b'x' * (keys.BATCH_SIZE_BYTES // 2), 'a', 'b', 0.0
                )
            )
            self.first.memory.finish(entry, big, self.timer.now_s())
        self.first.links.accepts_keys = False
        await self._hand_over()
        (batch,) = self.first.links.batches
        self.assertFalse(batch.is_last)

    async def test_late_result_is_sent_to_the_next_home(self) -> None:
        entry = self.first.begin('running').entry
        entry.start()
        await self._hand_over()
        self._receive()
        self.assertEqual(
            errors.ErrorKind.PEER_ANSWER_LOST, self.next.begin('running')
        )
        self.first.memory.finish(entry, _DONE, self.timer.now_s())
        self.first.shards.on_finished(entry)
        self.assertFalse(self.first.shards.is_idle())
        await samples.settle()
        self.assertTrue(self.first.shards.is_idle())
        self.next.shards.receive(self.first.links.batches[-1])
        self.assertEqual(keys.Replayed(_DONE), self.next.begin('running'))

    async def test_withdrawn_request_may_start_at_the_next_home(self) -> None:
        """A shard moves while a request waits for a slot.

        The old home withdraws the request, and its sender repeats it at the
        next home. A late result from the old home would refuse that repeat.
        """
        entry = self.first.begin('waiting').entry
        await self._hand_over()
        self._receive()
        self.first.memory.finish(
            entry, fakes.failed(errors.ErrorKind.NOT_CONFIRMED), 0.0
        )
        self.first.shards.on_finished(entry)
        await samples.settle()
        for batch in self.first.links.batches:
            self.next.shards.receive(batch)
        self.assertIsInstance(self.next.begin('waiting'), keys.Admitted)

    async def test_late_result_is_sent_until_it_is_accepted(self) -> None:
        """The only message with the result of a key is lost.

        The next home would answer repeats with an unknown outcome for as
        long as the key is valid.
        """
        entry = self.first.begin('running').entry
        entry.start()
        await self._hand_over()
        sent = len(self.first.links.batches)
        self.first.links.lost_key_calls = 2
        self.first.memory.finish(entry, _DONE, self.timer.now_s())
        self.first.shards.on_finished(entry)
        await samples.settle()
        self.assertEqual(sent + 3, len(self.first.links.batches))
        self.assertTrue(self.first.shards.is_idle())

    async def test_late_result_follows_a_shard_that_moved_on(self) -> None:
        """A shard moves twice while a request runs at its first home.

        The first home sends the result to the second one, which is no
        longer the home of the key.
        """
        entry = self.first.begin('running').entry
        entry.start()
        await self._hand_over()
        self._receive()
        self.next.shards.on_lost(
            ownership.LostAsset(_SHARD, 2, samples.member(3))
        )
        await self.next.shards.hand_over(_SHARD, 3, samples.member(3))
        third = _Home(self.timer)
        for batch in self.next.links.batches:
            third.shards.receive(batch)
        third.shards.on_acquired(
            fakes.acquired_asset(_SHARD, 0, False, epoch=3)
        )
        self.first.memory.finish(entry, _DONE, self.timer.now_s())
        self.first.shards.on_finished(entry)
        await samples.settle()
        self.next.shards.receive(self.first.links.batches[-1])
        await samples.settle()
        third.shards.receive(self.next.links.batches[-1])
        self.assertEqual(keys.Replayed(_DONE), third.begin('running'))
