"""The links to the other members of the assignment table."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import typing

from walnutpoint_core import settings as settings_module
from walnutpoint_core import timer as timers
from walnutpoint_entry import ownership
from walnutpoint_entry.peers import _codec
from walnutpoint_entry.peers import _link
from walnutpoint_entry.peers import messages

__all__ = ('Links',)


_TRIGGER_INTERVAL_MIN_S: typing.Final = 0.01


@dataclasses.dataclass(slots=True)
class _RunningLink:
    link: _link.Link
    task: asyncio.Task[None]
    ticks: timers.Subscription
    triggered_at_s: float = float('-inf')


class Links:
    """A link and a heartbeat task for each other member."""

    __slots__ = (
        '_activity',
        '_draining',
        '_member',
        '_message_size_bytes',
        '_observer',
        '_running',
        '_settings',
        '_timer',
        '_token',
    )

    def __init__(
        self,
        member: ownership.Member,
        timer: timers.Timer,
        settings: settings_module.OwnershipSettings,
        message_size_bytes: int,
        token: str,
        activity: ownership.Activity,
        observer: _link.LinkObserver,
    ) -> None:
        self._member = member
        self._timer = timer
        self._settings = settings
        self._message_size_bytes = message_size_bytes
        self._token = token
        self._activity = activity
        self._observer = observer
        self._running: dict[str, _RunningLink] = {}
        self._draining: set[asyncio.Task[None]] = set()

    def update_members(
        self, members: collections.abc.Iterable[ownership.Member]
    ) -> None:
        """Open links to new members and close those to former ones."""
        wanted = {member.address: member for member in members}
        for address in list(self._running):
            member = wanted.get(address)
            if member != self._running[address].link.member:
                self._stop_link(address)
        for address, member in wanted.items():
            if address not in self._running:
                self._start_link(member)

    def find(self, member: ownership.Member) -> _link.Link | None:
        """Return the link to this incarnation of a member, or None."""
        running = self._running.get(member.address)
        if running is None or running.link.member != member:
            return None
        return running.link

    def responsive(self) -> tuple[_link.Link, ...]:
        """Return the links to peers that answered the last heartbeat."""
        return tuple(
            running.link
            for running in self._running.values()
            if running.link.is_responsive()
        )

    def trigger_heartbeats(
        self, members: collections.abc.Iterable[ownership.Member]
    ) -> None:
        """Send a heartbeat to some members now, at a limited rate."""
        now_s = self._timer.now_s()
        for member in members:
            running = self._running.get(member.address)
            if running is None:
                continue
            # Under load each request frees a slot; a heartbeat for each one
            # would cost more than it gains.
            if now_s >= running.triggered_at_s + _TRIGGER_INTERVAL_MIN_S:
                running.triggered_at_s = now_s
                running.ticks.wake()

    async def send_release(
        self,
        successor: ownership.Member,
        table_revision: int,
        released: tuple[ownership.ReleasedAsset, ...],
    ) -> bool:
        """Send a release and return whether the successor accepted it."""
        link = self.find(successor)
        if link is None:
            return False
        return await link.release(
            messages.ReleaseMessage(
                sender=_codec.encode_member(self._member),
                table_revision=table_revision,
                assets=[
                    messages.Released(
                        asset=item.asset,
                        epoch=item.epoch,
                        released_epoch=item.released_epoch,
                        in_use=item.in_use,
                    )
                    for item in released
                ],
            )
        )

    async def send_keys(
        self, successor: ownership.Member, batch: messages.KeyBatch
    ) -> bool:
        """Send a batch of keys and return whether it was accepted."""
        link = self.find(successor)
        return link is not None and await link.import_keys(batch)

    def close(self) -> None:
        """Close every link at once."""
        for address in list(self._running):
            self._stop_link(address)
        for task in self._draining:
            task.cancel()

    def _start_link(self, member: ownership.Member) -> None:
        link = _link.Link(
            member,
            self._timer,
            self._settings,
            self._message_size_bytes,
            self._token,
            self._observer,
        )
        ticks = self._activity.subscribe(
            self._settings.heartbeat_period_s,
            self._settings.rest_heartbeat_period_s,
        )
        task = asyncio.ensure_future(link.run(ticks))
        self._running[member.address] = _RunningLink(link, task, ticks)

    def _stop_link(self, address: str) -> None:
        running = self._running.pop(address)
        self._activity.unsubscribe(running.ticks)
        running.task.cancel()
        task = asyncio.ensure_future(running.link.drain())
        self._draining.add(task)
        task.add_done_callback(self._draining.discard)
