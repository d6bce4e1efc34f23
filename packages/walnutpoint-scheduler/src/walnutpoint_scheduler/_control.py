"""Registers this process, and watches the claim and the members."""

from __future__ import annotations

import typing

import msgspec

from walnutpoint_core import logs
from walnutpoint_core import ports
from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _leadership
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import _relay

__all__ = ('Control',)

_LOG: typing.Final = logs.get_logger('control')
_WATCH_TIMEOUT_S: typing.Final = 5.0
_RETRY_S: typing.Final = 0.3
_PROBE_TIMEOUT_S: typing.Final = 0.3
_EXPIRY_CHECK_S: typing.Final = 1.0
# Longer than a restart of a process, and most pauses and cuts of its host: one
# that comes back before it is listed again may succeed unseen. In an outage of
# the store each lost host that is still listed makes leases lapse.
_EXPIRY_S: typing.Final = 10.0


class Control:
    """Keeps this process registered and the members up to date."""

    __slots__ = (
        '_is_leaving',
        '_is_registered',
        '_leadership',
        '_members',
        '_peers',
        '_seeds',
        '_store',
        '_timer',
    )

    def __init__(
        self,
        store: _relay.RelayedStore,
        members: _membership.Membership,
        leadership: _leadership.Leadership,
        peers: _peers.Peers,
        clock: timer.Timer,
        seeds: tuple[str, ...],
    ) -> None:
        self._store = store
        self._members = members
        self._leadership = leadership
        self._peers = peers
        self._timer = clock
        self._seeds = seeds
        self._is_registered = False
        # Whether this process shuts down and stays unregistered.
        self._is_leaving = False

    async def run(self) -> None:
        """Register and watch until cancelled."""
        revision: int | None = None
        while True:
            if not self._is_registered and not self._is_leaving:
                await self._register()
            if revision is None:
                revision = await self._read()
                if revision is None:
                    await self._probe_seeds()
                    await self._timer.sleep(_RETRY_S)
                continue
            changes = await self._store.watch(
                _keys.CONTROL, revision, _WATCH_TIMEOUT_S
            )
            if changes.is_error():
                await self._timer.sleep(_RETRY_S)
                revision = None
            elif changes.ok is None:
                revision = None
            else:
                revision = changes.ok.revision
                self._apply(changes.ok)
                self._members.listing_revision = revision

    async def run_expiry(self) -> None:
        """Remove members that are silent, while this process schedules.

        One that is alive registers again.
        """
        heard_s: dict[str, float] = {}
        async for now_s in self._timer.subscribe(lambda: _EXPIRY_CHECK_S):
            token = self._leadership.token
            if not token:
                heard_s.clear()
                continue
            for name in self._members.listed_others():
                last_s = heard_s.setdefault(name, now_s)
                if self._members.is_alive(name, now_s):
                    heard_s[name] = now_s
                elif now_s - last_s > _EXPIRY_S:
                    del heard_s[name]
                    await self._expire(name, token)

    async def _expire(self, name: str, token: int) -> None:
        """Remove a silent member, unless it answers after all."""
        member = self._members.find(name)
        if member is not None:
            answer = await self._peers.probe(
                member.address,
                _messages.Probe(self._members.local_member.name, token),
                _PROBE_TIMEOUT_S,
            )
            if not isinstance(answer, web.NoResponse):
                return
        reply = await self._store.commit(
            ports.Batch(
                (ports.Guard(_keys.SCHEDULER, token),),
                (),
                (_keys.member_key(name),),
            )
        )
        _LOG.info(
            'member.expired',
            member=name,
            address=member.address if member is not None else '-',
            stored=reply.is_ok() and reply.ok.applied,
        )

    async def deregister(self) -> None:
        """Remove this process's entry."""
        self._is_leaving = True
        await self._store.commit(
            ports.Batch(
                (), (), (_keys.member_key(self._members.local_member.name),)
            )
        )

    async def _register(self) -> None:
        local_member = self._members.local_member
        reply = await self._store.commit(
            ports.Batch(
                (),
                (
                    ports.Put(
                        _keys.member_key(local_member.name),
                        msgspec.msgpack.encode(local_member),
                    ),
                ),
            )
        )
        self._is_registered = reply.is_ok()

    async def _read(self) -> int | None:
        snapshot = await self._store.read(_keys.CONTROL)
        if snapshot.is_error():
            return None
        claim = None
        self._members.begin_listing(snapshot.ok.revision)
        for item in snapshot.ok.values:
            if item.key == _keys.SCHEDULER:
                claim = item
            else:
                self._members.update(item)
        self._check_listed()
        self._leadership.update_claim(claim)
        return snapshot.ok.revision

    def _apply(self, changes: ports.Changes) -> None:
        for item in changes.values:
            if item.key == _keys.SCHEDULER:
                self._leadership.update_claim(item)
            else:
                self._members.update(item)
        for key in changes.removed:
            if key.startswith(_keys.MEMBERS):
                self._members.remove(key)
        self._check_listed()

    def _check_listed(self) -> None:
        """Register again if the entry of this process was removed.

        The scheduler takes a process that stood still or was cut off for lost.
        """
        if not self._members.is_listed:
            self._is_registered = False

    async def _probe_seeds(self) -> None:
        """Discover members through the seeds when the store is down."""
        for address in self._seeds:
            if address == self._members.local_member.address:
                continue
            answer = await self._peers.probe(
                address,
                _messages.Probe(
                    self._members.local_member.name, self._leadership.revision
                ),
                _PROBE_TIMEOUT_S,
            )
            if isinstance(answer, web.NoResponse):
                continue
            for member in answer.members:
                self._members.add(member)
