"""The key shards that this process is the home of, and their hand-over."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import typing

from walnutpoint_core import logs
from walnutpoint_core import settings as settings_module
from walnutpoint_core import timer as timers
from walnutpoint_entry import keys
from walnutpoint_entry import ownership
from walnutpoint_entry import peers
from walnutpoint_entry.peers import messages

__all__ = ('KeyShards',)

_LATE_RESULT_RETRY_S: typing.Final = 0.2
_LATE_RESULT_ATTEMPTS: typing.Final = 10

_LOG = logs.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _NextHome:
    asset: str
    epoch: int
    member: ownership.Member


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedMemory:
    epoch: int
    blind_period: keys.RemainingBlindPeriod


class KeyShards:
    """Open and close the shards of the key memory as ownership changes."""

    __slots__ = (
        '_links',
        '_memory',
        '_next_homes',
        '_received',
        '_settings',
        '_tasks',
        '_timer',
    )

    def __init__(
        self,
        timer: timers.Timer,
        settings: settings_module.KeySettings,
        memory: keys.KeyMemory,
        links: peers.Links,
    ) -> None:
        self._timer = timer
        self._settings = settings
        self._memory = memory
        self._links = links
        self._next_homes: dict[int, _NextHome] = {}
        self._received: dict[int, _ReceivedMemory] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def on_acquired(self, acquired: ownership.AcquiredAsset) -> None:
        """Open an acquired shard, blind unless its memory was received."""
        shard = ownership.shard_index(acquired.asset)
        self._next_homes.pop(shard, None)
        received = self._received.pop(shard, None)
        now_s = self._timer.now_s()
        blind_until_s = now_s + self._settings.remember_s
        first_epoch = None
        if acquired.is_first:
            blind_until_s = now_s
        elif (
            acquired.in_use is not None
            and received is not None
            and received.epoch == acquired.epoch
        ):
            blind_until_s = now_s + received.blind_period.remaining_s
            first_epoch = received.blind_period.first_epoch
        opened = self._memory.open_shard(
            shard, acquired.epoch, now_s, blind_until_s, first_epoch
        )
        if opened.is_error():
            _LOG.error('shard_not_opened', detail=opened.error.detail)
        elif blind_until_s > now_s:
            _LOG.warning(
                'shard_blind',
                shard=shard,
                epoch=acquired.epoch,
                for_s=round(blind_until_s - now_s, 3),
                memory_came=received is not None,
            )

    def on_lost(self, lost: ownership.LostAsset) -> None:
        """Close a lost shard."""
        shard = ownership.shard_index(lost.asset)
        self._memory.close_shard(shard, self._timer.now_s())

    def lower_in_use(self, asset: str, in_use: int) -> None:
        """Do nothing: a shard has no slots."""

    def in_use(self, asset: str) -> int:
        """Return zero: a shard has no slots."""
        return 0

    async def hand_over(
        self, asset: str, epoch: int, successor: ownership.Member
    ) -> None:
        """Send the key memory of a lost shard to its next home."""
        shard = ownership.shard_index(asset)
        now_s = self._timer.now_s()
        blind_period = self._memory.remaining_blind_period(shard, now_s)
        if blind_period is None:
            return
        self._next_homes[shard] = _NextHome(asset, epoch, successor)
        exported = self._memory.export_shard(shard, now_s)
        batches = list(keys.encode_records(exported)) or [b'']
        for records in batches:
            batch = messages.KeyBatch(
                asset=asset, epoch=epoch, records=records
            )
            if records is batches[-1]:
                batch.is_last = True
                batch.blind_left_s = blind_period.remaining_s
                batch.first_epoch = blind_period.first_epoch
            if not await self._links.send_keys(successor, batch):
                # The next home then opens blind and refuses old keys.
                _LOG.warning('keys_not_sent', shard=shard)
                return

    def receive(self, batch: messages.KeyBatch) -> bool:
        """Import a batch of the key memory of a shard being handed over."""
        shard = ownership.shard_index(batch.asset)
        if batch.records:
            decoded = keys.decode_records(batch.records)
            if decoded.is_error():
                return False
            imported = self._memory.import_records(
                shard, decoded.ok, self._timer.now_s()
            )
            if imported.is_error():
                return False
            self._forward(shard, batch)
        if batch.is_last:
            self._received[shard] = _ReceivedMemory(
                batch.epoch,
                keys.RemainingBlindPeriod(
                    batch.blind_left_s, batch.first_epoch
                ),
            )
        return True

    def on_finished(self, entry: keys.InFlightKey) -> None:
        """Send the next home the result of a key handed over in flight."""
        if not entry.started:
            # Withdrawn when the shard closed, so that the next home may
            # start the sender's repeat.
            return
        next_home = self._next_homes.get(entry.shard)
        if next_home is None or self._memory.is_open(entry.shard):
            return
        for records in keys.encode_records((entry.to_record(),)):
            self._start_sending(entry.shard, records, next_home)

    def is_idle(self) -> bool:
        """Return whether no late result is being sent."""
        return not self._tasks

    async def run(self, ticks: collections.abc.AsyncIterable[float]) -> None:
        """Remove expired keys on each tick."""
        async for now_s in ticks:
            self._memory.expire(now_s)

    def _forward(self, shard: int, batch: messages.KeyBatch) -> None:
        """Pass on a late result of a shard that has moved on from here."""
        next_home = self._next_homes.get(shard)
        if next_home is not None and batch.epoch < next_home.epoch:
            self._start_sending(shard, batch.records, next_home)

    def _start_sending(
        self, shard: int, records: bytes, next_home: _NextHome
    ) -> None:
        task = asyncio.ensure_future(
            self._send_late_result(shard, records, next_home)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_late_result(
        self, shard: int, records: bytes, next_home: _NextHome
    ) -> None:
        batch = messages.KeyBatch(
            asset=next_home.asset, epoch=next_home.epoch, records=records
        )
        for _ in range(_LATE_RESULT_ATTEMPTS):
            if await self._links.send_keys(next_home.member, batch):
                return
            await self._timer.sleep(_LATE_RESULT_RETRY_S)
        # Repeats get an unknown outcome until the key is forgotten.
        _LOG.warning(
            'late_result_not_sent',
            shard=shard,
            epoch=next_home.epoch,
            successor=next_home.member.name,
        )
