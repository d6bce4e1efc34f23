"""Indirect probes of a scheduler that does not answer this process."""

from __future__ import annotations

import asyncio
import typing

from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import settings

__all__ = ('IndirectProbes',)

# Processes to ask; one that reaches the scheduler is enough.
_PEERS_MAX: typing.Final = 3


class IndirectProbes:
    """Asks other processes whether the scheduler answers them."""

    __slots__ = ('_members', '_peers', '_settings', '_timer')

    def __init__(
        self,
        members: _membership.Membership,
        peers: _peers.Peers,
        clock: timer.Timer,
        config: settings.SchedulerSettings,
    ) -> None:
        self._members = members
        self._peers = peers
        self._timer = clock
        self._settings = config

    async def confirm_alive(
        self, claim: _messages.Claim | None, token: int, age_max_s: float
    ) -> bool:
        """Return whether the scheduler answers another process.

        Under a partial partition it serves all others; replacing it would
        make the other side suspect this process in turn, endlessly.
        """
        others = [
            member
            for member in self._members.others(self._timer.now_s())
            if claim is None or member.name != claim.member.name
        ]
        # Concurrently: some of them may not answer either.
        answers = await asyncio.gather(
            *(
                self._probe(member, token, age_max_s)
                for member in others[:_PEERS_MAX]
            )
        )
        return any(answers)

    async def _probe(
        self, member: _messages.Member, token: int, age_max_s: float
    ) -> bool:
        """Return whether a process reaches it, or a newer scheduler."""
        answer = await self._peers.probe(
            member.address,
            _messages.Probe(self._members.local_member.name, token),
            self._settings.probe_timeout_s,
        )
        if isinstance(answer, web.NoResponse):
            self._members.mark_unreachable(member.address, self._timer.now_s())
            return False
        return answer.token > token or answer.scheduler_age_s < age_max_s
