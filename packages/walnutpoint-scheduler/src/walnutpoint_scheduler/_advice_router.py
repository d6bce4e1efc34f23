"""Routes advice requests through many hosts, one at a time per host."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import contextlib
import math
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peak
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

__all__ = (
    'AdviceRouter',
    'brief_limit_s',
)

_LOG: typing.Final = logs.get_logger('advice')
# Longer requests go last: behind one (up to a second) others would wait for
# several times their own duration.
_SHORT_S: typing.Final = 0.25
# A brief request takes at most this many times as long as a typical one of the
# fastest queue: more than requests of one queue differ by the workers that
# they name, and less than urgent and batch queues differ.
_BRIEF_FACTOR: typing.Final = 3.0
# Workers that a typical request names.
_TYPICAL_TARGETS: typing.Final = 10
# The most hosts reserved for brief requests.
_BRIEF_HOSTS_SHARE_MAX: typing.Final = 0.25
# Reserved beyond the recent peak of brief requests, as one may be down.
_SPARE_BRIEF_HOSTS: typing.Final = 1.0
_PEAK_HALF_LIFE_S: typing.Final = 10.0
# The peak is unknown if no brief request arrived for this long.
_BRIEF_IDLE_S: typing.Final = 2.0
# Extra time for an answer through another host: the service may still process
# requests that an earlier scheduler sent through it.
_PEER_SLACK_S: typing.Final = 0.8
# How long a host is not used after a request through it failed.
_FAILED_BACKOFF_S: typing.Final = 2.0
# Shorter if it refused the connection: after a power loss all hosts return at
# about the same time, and the first schedules at once.
_REFUSED_BACKOFF_S: typing.Final = 0.25
# Most refusals before a request fails.
_REFUSALS_MAX: typing.Final = 12


def brief_limit_s(configured: cell.Cell | None) -> float:
    """Return the longest expected duration of a brief request.

    Derived from the configuration, so that a scheduler knows it before its
    first urgent job.
    """
    typical_s = [
        queue.advice.decide_s + queue.advice.per_worker_s * _TYPICAL_TARGETS
        for queue in (configured.queues if configured else ())
        if queue.advice is not None
    ]
    return _BRIEF_FACTOR * min(typical_s) if typical_s else _SHORT_S


class _HostState:
    """Whether a host is handling a request, and its last failure."""

    __slots__ = ('failed_until_s', 'is_busy')

    def __init__(self) -> None:
        self.is_busy = False
        self.failed_until_s = 0.0


_HostFuture = asyncio.Future[_messages.Member]


class AdviceRouter:
    """Sends one request at a time through each host, brief ones first.

    The service processes a host's requests in order, abandoned ones too. As
    they queue here instead, an urgent request can pass slow ones, a host that
    dies loses only one, and little is left to process after a failover. Some
    hosts are reserved for brief requests, which would otherwise wait behind
    batch ones on all hosts.
    """

    __slots__ = (
        '_brief',
        '_brief_count',
        '_brief_limit_s',
        '_brief_peak',
        '_host_states',
        '_is_spread',
        '_last_brief_s',
        '_local',
        '_long',
        '_members',
        '_peers',
        '_short',
        '_timer',
    )

    def __init__(
        self,
        local: ports.AdviceSource,
        members: _membership.Membership,
        peers: _peers.Peers,
        clock: timer.Timer,
        is_spread: collections.abc.Callable[[], bool] = lambda: True,
        brief_limit_s: collections.abc.Callable[[], float] = lambda: _SHORT_S,
    ) -> None:
        """Create the queues; brief_limit_s returns the current limit."""
        self._local = local
        self._is_spread = is_spread
        self._brief_limit_s = brief_limit_s
        self._members = members
        self._peers = peers
        self._timer = clock
        self._host_states: dict[str, _HostState] = {}
        self._brief: collections.deque[_HostFuture] = collections.deque()
        # Concurrent brief requests, and their recent peak.
        self._brief_count = 0
        self._brief_peak = _peak.DecayingPeak(clock.now_s, _PEAK_HALF_LIFE_S)
        self._last_brief_s = float('-inf')
        self._short: collections.deque[_HostFuture] = collections.deque()
        self._long: collections.deque[_HostFuture] = collections.deque()

    async def request(
        self, step: str, worker_ids: tuple[str, ...], expected_s: float
    ) -> expression.Result[ports.Advice, errors.Failure]:
        """Request which of some workers may run a step.

        A refusal arrives within 1 ms, and the next host is tried at once:
        while most hosts are down, a step would otherwise meet several in a
        row, with a backoff after each.
        """
        for _ in range(_REFUSALS_MAX):
            async with self._assigned_host(expected_s) as member:
                start_s = self._timer.now_s()
                answer = await self._send_request(
                    member, step, worker_ids, expected_s
                )
                if answer.is_ok():
                    break
                # Unreachable, paused or down: avoid the host for a while.
                now_s = self._timer.now_s()
                is_refused = now_s - start_s < expected_s
                self._host_state(member).failed_until_s = now_s + (
                    _REFUSED_BACKOFF_S if is_refused else _FAILED_BACKOFF_S
                )
            if not is_refused:
                break
        return answer

    @contextlib.asynccontextmanager
    async def _assigned_host(
        self, expected_s: float
    ) -> collections.abc.AsyncIterator[_messages.Member]:
        """Wait for a free host, and occupy it for one request."""
        assignment: _HostFuture = asyncio.get_running_loop().create_future()
        queue = self._queue(expected_s)
        queue.append(assignment)
        if queue is self._brief:
            self._count_brief()
        self._dispatch()
        try:
            yield await assignment
        finally:
            self._brief_count -= queue is self._brief
            if assignment in queue:
                queue.remove(assignment)
            if assignment.done() and not assignment.cancelled():
                self._host_state(assignment.result()).is_busy = False
            self._dispatch()

    def max_concurrent(self, expected_s: float) -> int | None:
        """Return how many hosts may take a request of some duration."""
        if expected_s <= self._brief_limit_s():
            return None
        members, healthy = self._eligible_hosts(is_brief=False)
        return len(healthy or members)

    def _queue(self, expected_s: float) -> collections.deque[_HostFuture]:
        """Return the queue for a request of some duration."""
        if expected_s <= self._brief_limit_s():
            return self._brief
        return self._short if expected_s <= _SHORT_S else self._long

    def _dispatch(self) -> None:
        """Assign free hosts to queued requests."""
        for queue in (self._brief, self._short, self._long):
            while queue:
                member = self._pick_host(queue is self._brief)
                if member is None:
                    break
                assignment = queue.popleft()
                if not assignment.done():
                    self._host_state(member).is_busy = True
                    assignment.set_result(member)

    def _pick_host(self, is_brief: bool) -> _messages.Member | None:
        """Return a free host, or None while a healthy one is busy."""
        now_s = self._timer.now_s()
        members, healthy = self._eligible_hosts(is_brief)
        free = [
            m for m in healthy or members if not self._host_state(m).is_busy
        ]
        # The local host saves a hop; one heard from recently is alive.
        return min(
            free,
            key=lambda m: (
                m is not self._members.local_member,
                not self._members.is_alive(m.name, now_s),
            ),
            default=None,
        )

    def _eligible_hosts(
        self, is_brief: bool
    ) -> tuple[list[_messages.Member], list[_messages.Member]]:
        """Return the hosts for a request, and the healthy ones of them."""
        if not self._is_spread():
            members = [self._members.local_member]
        else:
            members = sorted(self._members.all(), key=lambda m: m.name)
        if not is_brief:
            members = (
                members[self._reserved_host_count(len(members)) :] or members
            )
        now_s = self._timer.now_s()

        def has_failed(member: _messages.Member) -> bool:
            if self._host_state(member).failed_until_s > now_s:
                return True
            return self._members.is_unreachable(member, now_s)

        return members, [m for m in members if not has_failed(m)]

    def _reserved_host_count(self, host_count: int) -> int:
        """Return how many hosts are reserved for brief requests."""
        reserved_max = int(host_count * _BRIEF_HOSTS_SHARE_MAX)
        if self._timer.now_s() - self._last_brief_s > _BRIEF_IDLE_S:
            return reserved_max
        return min(
            reserved_max,
            math.ceil(self._brief_peak.value + _SPARE_BRIEF_HOSTS),
        )

    def _count_brief(self) -> None:
        """Count a brief request that begins."""
        now_s = self._timer.now_s()
        if now_s - self._last_brief_s > _BRIEF_IDLE_S:
            # The peak is unknown: reserve as many hosts as allowed.
            self._brief_peak.observe(len(self._members.all()))
        self._last_brief_s = now_s
        self._brief_count += 1
        self._brief_peak.observe(self._brief_count)

    def _host_state(self, member: _messages.Member) -> _HostState:
        return self._host_states.setdefault(member.name, _HostState())

    async def _send_request(
        self,
        member: _messages.Member,
        step: str,
        worker_ids: tuple[str, ...],
        expected_s: float,
    ) -> expression.Result[ports.Advice, errors.Failure]:
        if member is self._members.local_member:
            return await self._local.request(step, worker_ids, expected_s)
        answer = await self._peers.request(
            member.address,
            _peers.ADVICE_PATH,
            _messages.AdviceRequest(step, worker_ids, expected_s),
            _messages.AdviceReply,
            expected_s + _PEER_SLACK_S,
        )
        if isinstance(answer, web.NoResponse):
            detail = f'through {member.name}: {answer.detail}'
        elif answer.failure:
            detail = f'through {member.name}: {answer.failure}'
        else:
            return expression.Ok(ports.Advice(answer.tickets, answer.valid_s))
        return expression.Error(
            errors.Failure(errors.ErrorKind.PEER_UNREACHABLE, detail)
        )
