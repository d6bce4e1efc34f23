"""Advice through many hosts: the service takes one call a host at a time."""

from __future__ import annotations

import collections.abc
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import ports

__all__ = ('Advisors',)

_LOG: typing.Final = logs.get_logger('advice')
# Calls up to this long are urgent queues' (some 50 ms); behind a long one
# (up to a second) each would wait several times its own length.
_SHORT_S: typing.Final = 0.25
# The share of hosts that only short calls are put through.
_SHORT_HOSTS_SHARE: typing.Final = 0.4
# How much later than expected an answer through another host may come
# before the question is put through a third. One that is given up on costs
# the service its time all the same, so that haste lengthens the queue.
_SLACK_S: typing.Final = 0.8
# A host whose call failed is not used for this long.
_FAILED_S: typing.Final = 2.0


class _Advisor:
    __slots__ = ('failed_until_s', 'free_s', 'waiting')

    def __init__(self) -> None:
        self.failed_until_s = 0.0
        # When the calls that were put through it are expected to be done.
        self.free_s = 0.0
        self.waiting = 0


class Advisors:
    """Puts each question through the host that is free first."""

    __slots__ = (
        '_advisors',
        '_is_spread',
        '_members',
        '_own',
        '_peers',
        '_timer',
    )

    def __init__(
        self,
        own: ports.AdviceSource,
        members: _membership.Membership,
        peers: _peers.Peers,
        clock: timer.Timer,
        is_spread: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self._own = own
        self._is_spread = is_spread
        self._members = members
        self._peers = peers
        self._timer = clock
        self._advisors: dict[str, _Advisor] = {}

    async def ask(
        self, step: str, worker_ids: tuple[str, ...], expected_s: float
    ) -> expression.Result[ports.Advice, errors.Failure]:
        """Ask which of some workers may run a step."""
        now_s = self._timer.now_s()
        member = self._choose(expected_s, now_s)
        advisor = self._advisors.setdefault(member.name, _Advisor())
        wait_s = max(0.0, advisor.free_s - now_s)
        advisor.free_s = max(advisor.free_s, now_s) + expected_s
        advisor.waiting += 1
        try:
            answer = await self._ask(
                member, step, worker_ids, wait_s + expected_s
            )
        finally:
            advisor.waiting -= 1
            if not advisor.waiting:
                advisor.free_s = self._timer.now_s()
        if answer.is_error():
            advisor.free_s = self._timer.now_s() + expected_s + _SLACK_S
            # Cut off, paused or gone: the question goes elsewhere next.
            advisor.failed_until_s = self._timer.now_s() + _FAILED_S
        return answer

    def _choose(self, length_s: float, now_s: float) -> _messages.Member:
        if not self._is_spread():
            return self._members.me
        members = sorted(self._members.all(), key=lambda m: m.name)
        if length_s > _SHORT_S:
            kept = int(len(members) * _SHORT_HOSTS_SHARE)
            members = members[kept:] or members

        def key(member: _messages.Member) -> tuple[bool, float, bool]:
            advisor = self._advisors.get(member.name)
            shunned = self._members.is_shunned(member, now_s)
            if advisor is None:
                return shunned, 0.0, member is not self._members.me
            failed = shunned or advisor.failed_until_s > now_s
            wait_s = max(0.0, advisor.free_s - now_s)
            return failed, wait_s, member is not self._members.me

        return min(members, key=key)

    async def _ask(
        self,
        member: _messages.Member,
        step: str,
        worker_ids: tuple[str, ...],
        expected_s: float,
    ) -> expression.Result[ports.Advice, errors.Failure]:
        if member is self._members.me:
            return await self._own.ask(step, worker_ids, expected_s)
        answer = await self._peers.ask(
            member.address,
            _peers.ADVICE_PATH,
            _messages.AdviceQuestion(step, worker_ids, expected_s),
            _messages.AdviceAnswer,
            expected_s + _SLACK_S,
        )
        if isinstance(answer, web.Loss):
            detail = f'through {member.name}: {answer.detail}'
        elif answer.failure:
            detail = f'through {member.name}: {answer.failure}'
        else:
            return expression.Ok(ports.Advice(answer.tickets, answer.valid_s))
        return expression.Error(
            errors.Failure(errors.ErrorKind.PEER_UNREACHABLE, detail)
        )
