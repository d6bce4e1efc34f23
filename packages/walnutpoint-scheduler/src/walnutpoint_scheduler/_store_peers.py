"""Store operations relayed through other processes."""

from __future__ import annotations

import asyncio
import typing

import xxhash

from walnutpoint_core import errors
from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers

__all__ = ('StorePeers',)

# Peers without a definite reply before an operation is given up.
_UNANSWERED_MAX: typing.Final = 2
# Peers that the store refuses as well: with half of the hosts refused, one
# operation in 64 meets six of them first. In an outage each costs a call.
_REFUSALS_MAX: typing.Final = 6
_TIMEOUT_S: typing.Final = 0.7
# A peer that has just lost the store, and has not detected it, replies only
# after its own timeout. A second peer is asked in parallel once a usual reply
# is long overdue.
_HEDGE_DELAY_S: typing.Final = 0.08
# With a third of the hosts cut off, all these are cut once in 80 operations.
_CONCURRENT_MAX: typing.Final = 4
# A peer without the store is not asked again for this long.
_WITHOUT_STORE_S: typing.Final = 1.0


class _Progress:
    """The replies of the peers asked so far."""

    __slots__ = ('maybe_applied', 'refused', 'reply', 'unanswered')

    def __init__(self) -> None:
        self.reply: _messages.StoreReply | None = None
        # Whether an unanswered commit may still apply.
        self.maybe_applied = False
        self.unanswered = 0
        self.refused = 0

    @property
    def may_request_more(self) -> bool:
        """Return whether to call one more peer."""
        return (
            self.unanswered < _UNANSWERED_MAX and self.refused < _REFUSALS_MAX
        )


class StorePeers:
    """Asks peers to execute operations, the last one to succeed first.

    Hosts that lose the store together begin with different peers: the calls
    of a third of all hosts would use up the core of a single one.
    """

    __slots__ = (
        '_last_address',
        '_members',
        '_peers',
        '_timer',
        '_without_store_until_s',
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
        self._without_store_until_s: dict[str, float] = {}
        # The peer that executed the newest operation.
        self._last_address = ''

    async def request(
        self, request: _messages.StoreRequest
    ) -> _messages.StoreReply | bool:
        """Return a peer's reply, or whether a commit may have applied."""
        progress = _Progress()
        candidates = iter(self._candidates())
        pending: dict[
            asyncio.Task[_messages.StoreReply | web.NoResponse], str
        ] = {}
        try:
            while progress.reply is None:
                address = None
                if (
                    progress.may_request_more
                    and len(pending) < _CONCURRENT_MAX
                ):
                    address = next(candidates, None)
                if address is not None:
                    pending[self._begin(address, request)] = address
                if not pending:
                    break
                done, _ = await asyncio.wait(
                    pending,
                    timeout=None if address is None else _HEDGE_DELAY_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    self._note_reply(
                        progress, pending.pop(task), task.result()
                    )
                if not progress.may_request_more:
                    break
            # Requests that are still pending may yet be executed.
            progress.maybe_applied = progress.maybe_applied or bool(pending)
        finally:
            for task in pending:
                task.cancel()
        return progress.reply or progress.maybe_applied

    def _candidates(self) -> list[str]:
        """Return the addresses of the peers that may reach the store."""
        now_s = self._timer.now_s()
        addresses = [
            member.address
            for member in self._members.others(now_s)
            if not self._members.is_unreachable(member, now_s)
            and self._without_store_until_s.get(member.address, 0.0) <= now_s
        ]
        local_name = self._members.local_member.name
        return sorted(
            addresses,
            key=lambda address: (
                address != self._last_address,
                xxhash.xxh64_intdigest(f'{local_name}/{address}'.encode()),
            ),
        )

    def _begin(
        self, address: str, request: _messages.StoreRequest
    ) -> asyncio.Task[_messages.StoreReply | web.NoResponse]:
        return asyncio.create_task(
            self._peers.request(
                address,
                _peers.STORE_PATH,
                request,
                _messages.StoreReply,
                _TIMEOUT_S,
            )
        )

    def _note_reply(
        self,
        progress: _Progress,
        address: str,
        reply: _messages.StoreReply | web.NoResponse,
    ) -> None:
        now_s = self._timer.now_s()
        if isinstance(reply, web.NoResponse):
            self._members.mark_unreachable(address, now_s)
            progress.maybe_applied = progress.maybe_applied or reply.maybe_sent
            progress.unanswered += 1
        elif reply.failure_kind:
            # The store refuses that host as well, which it reports within
            # some ms. With half of the hosts refused, two such replies in a
            # row are no reason to refuse a caller.
            self._without_store_until_s[address] = now_s + _WITHOUT_STORE_S
            lost = errors.ErrorKind.STORE_ANSWER_LOST.value
            is_lost = reply.failure_kind == lost
            progress.maybe_applied = progress.maybe_applied or is_lost
            progress.unanswered += is_lost
            progress.refused += not is_lost
        else:
            self._last_address = address
            progress.reply = reply
