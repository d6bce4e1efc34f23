"""Planned handover from one scheduler to the next."""

from __future__ import annotations

import typing

import msgspec

from walnutpoint_core import logs
from walnutpoint_core import ports
from walnutpoint_core import timer
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _leadership
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import _relay

__all__ = ('Handover',)

_LOG: typing.Final = logs.get_logger('handover')
# Candidates that a stopping scheduler asks, and the timeout for each: two
# calls to a slow store.
_CANDIDATES_MAX: typing.Final = 2
_HANDOVER_TIMEOUT_S: typing.Final = 1.0
# Candidates to ask when the store may refuse them as well: with two in five
# hosts refused, all of these are one time in 300.
_STORE_CANDIDATES_MAX: typing.Final = 6
# Least strength of a successor, relative to this host.
_STRENGTH_RATIO_MIN: typing.Final = 0.5


class Handover:
    """Hands the term over to another process, or accepts it."""

    __slots__ = ('_leadership', '_members', '_peers', '_store', '_timer')

    def __init__(
        self,
        leadership: _leadership.Leadership,
        store: _relay.RelayedStore,
        members: _membership.Membership,
        peers: _peers.Peers,
        clock: timer.Timer,
    ) -> None:
        self._leadership = leadership
        self._store = store
        self._members = members
        self._peers = peers
        self._timer = clock

    async def hand_over(self) -> bool:
        """Let another process claim the key while this one keeps working.

        The gap is only the successor's reading of the store. Releasing first
        would add that commit, the watches and the claim.
        """
        self._leadership.is_stopping = True
        successors = self._strongest()[:_CANDIDATES_MAX]
        return await self._offer(successors, needs_store=False)

    async def step_down(self) -> bool:
        """Hand over to a process that reaches the store directly.

        A scheduler whose host the store refuses would go on through peers:
        each commit takes one more hop, and as watches are not relayed, all
        jobs and workers are read repeatedly. A much weaker host would be no
        better: it takes longer to read all jobs.
        """
        strength_min = (
            self._members.local_member.strength * _STRENGTH_RATIO_MIN
        )
        eligible = [m for m in self._strongest() if m.strength >= strength_min]
        return await self._offer(
            eligible[:_STORE_CANDIDATES_MAX], needs_store=True
        )

    def _strongest(self) -> list[_messages.Member]:
        """Return the other members, the reachable and strong first."""
        now_s = self._timer.now_s()
        return sorted(
            self._members.others(now_s),
            key=lambda m: (
                self._members.is_unreachable(m, now_s),
                -m.strength,
            ),
        )

    async def _offer(
        self, candidates: list[_messages.Member], *, needs_store: bool
    ) -> bool:
        """Ask candidates in turn; return whether one accepted."""
        token = self._leadership.token
        for member in candidates:
            reply = await self._peers.request(
                member.address,
                _peers.SUCCESSION_PATH,
                _messages.HandoverRequest(token, needs_store),
                _messages.HandoverReply,
                _HANDOVER_TIMEOUT_S,
            )
            if isinstance(reply, _messages.HandoverReply) and reply.won:
                _LOG.info(
                    'scheduler.handed_over',
                    token=token,
                    successor=member.name,
                )
                return True
        return False

    async def accept_handover(
        self, request: _messages.HandoverRequest
    ) -> bool:
        """Claim the key at the scheduler's request."""
        if (
            not self._leadership.is_stopping
            and not self._leadership.token
            and request.token >= self._leadership.revision
        ):
            if request.needs_store and not await self._store.check_direct():
                return False
            await self._leadership.claim_key(request.token)
        return bool(self._leadership.token)

    async def release(self) -> None:
        """Mark the claim as released, for any process to claim."""
        token, claim = self._leadership.token, self._leadership.claim
        self._leadership.is_stopping = True
        if not token or claim is None:
            return
        released = msgspec.structs.replace(claim, released=True)
        reply = await self._store.commit(
            ports.Batch(
                (ports.Guard(_keys.SCHEDULER, token),),
                (
                    ports.Put(
                        _keys.SCHEDULER, msgspec.msgpack.encode(released)
                    ),
                ),
            )
        )
        _LOG.info('scheduler.released', token=token, stored=reply.is_ok())
