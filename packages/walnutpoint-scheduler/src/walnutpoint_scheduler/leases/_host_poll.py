"""Asks the other hosts whether one of them has begun a newer term."""

from __future__ import annotations

import asyncio
import typing

from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers

__all__ = (
    'HostPoll',
    'Hosts',
    'NoOtherHosts',
    'PollResult',
)

# Several times the usual answer of a busy host.
_TIMEOUT_S: typing.Final = 0.5
# A first refusal may come from a full accept queue, the second does not.
_REFUSALS_MIN: typing.Final = 2


class PollResult(typing.NamedTuple):
    """What the other hosts know of a successor."""

    # Since when none of them is one; None if that is not certain of each.
    excluded_s: float | None
    # A host that knows a newer token, and the token; empty and zero if none.
    newer_host: str = ''
    newer_token: int = 0


class Hosts(typing.Protocol):
    """The other hosts, any of which may be the successor of a term."""

    @property
    def count(self) -> int:
        """Return the number of hosts, including this one."""

    def silent(self) -> list[str]:
        """Return the hosts that may be the successor of the last poll."""

    async def poll(self, token: int) -> PollResult:
        """Ask all other hosts for a term newer than a token."""


class NoOtherHosts:
    """A deployment of one host, which has no successor."""

    __slots__ = ('_timer',)

    def __init__(self, clock: timer.Timer) -> None:
        self._timer = clock

    @property
    def count(self) -> int:
        """Return one."""
        return 1

    def silent(self) -> list[str]:
        """Return no hosts."""
        return []

    async def poll(self, token: int) -> PollResult:
        """Exclude a successor."""
        return PollResult(self._timer.now_s())


class HostPoll:
    """Asks the member processes.

    Each knows whether it has begun a term. One that does not answer may have:
    a host that is cut off looks like one without power.
    """

    __slots__ = (
        '_excluded_s',
        '_members',
        '_peers',
        '_refusals',
        '_timer',
        '_token',
    )

    def __init__(
        self,
        members: _membership.Membership,
        peers: _peers.Peers,
        clock: timer.Timer,
    ) -> None:
        self._members = members
        self._peers = peers
        self._timer = clock
        self._token = 0
        # By name, when a host was asked and was no successor.
        self._excluded_s: dict[str, float] = {}
        # Consecutive refusals by name.
        self._refusals: dict[str, int] = {}

    @property
    def count(self) -> int:
        """Return the number of hosts, including this one."""
        return len(self._members.listed_others()) + 1

    def silent(self) -> list[str]:
        """Return the hosts that may be the successor of the last poll."""
        return [
            name
            for name in self._members.listed_others()
            if name not in self._excluded_s
        ]

    async def poll(self, token: int) -> PollResult:
        """Ask all other hosts for a term newer than a token."""
        if self._members.listing_revision < token:
            # A host that registered before the claim may be missing.
            return PollResult(None)
        if token != self._token:
            self._token = token
            self._excluded_s.clear()
            self._refusals.clear()
        asked_s = self._timer.now_s()
        answers = await asyncio.gather(
            *(self._ask(name) for name in self._members.listed_others())
        )
        for newer in filter(None, answers):
            return newer
        # Includes hosts that were listed meanwhile.
        if self.silent():
            return PollResult(None)
        times_s = (
            self._excluded_s[name] for name in self._members.listed_others()
        )
        return PollResult(min(times_s, default=asked_s))

    async def _ask(self, name: str) -> PollResult | None:
        """Ask one host; return a result if it knows a newer token."""
        member = self._members.find(name)
        if member is None:
            return None
        asked_s = self._timer.now_s()
        answer = await self._peers.probe(
            member.address,
            _messages.Probe(self._members.local_member.name, self._token),
            _TIMEOUT_S,
        )
        if isinstance(answer, web.NoResponse):
            self._note_no_response(name, answer, asked_s)
            return None
        self._refusals.pop(name, None)
        if answer.token > self._token:
            self._excluded_s.pop(name, None)
            return PollResult(None, name, answer.token)
        self._excluded_s[name] = asked_s
        return None

    def _note_no_response(
        self, name: str, response: web.NoResponse, asked_s: float
    ) -> None:
        if not _peers.is_refused(response):
            self._refusals.pop(name, None)
            return
        # No process listens there, so that none schedules.
        self._refusals[name] = self._refusals.get(name, 0) + 1
        if self._refusals[name] >= _REFUSALS_MIN:
            self._excluded_s[name] = asked_s
