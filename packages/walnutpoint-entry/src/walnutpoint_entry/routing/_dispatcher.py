"""Dispatch of requests to a local slot, to a peer or into the queue."""

from __future__ import annotations

import dataclasses
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import settings as settings_module
from walnutpoint_core import timer as timers
from walnutpoint_entry import endpoints as endpoints_module
from walnutpoint_entry import ownership
from walnutpoint_entry import peers
from walnutpoint_entry import placement
from walnutpoint_entry.routing import _dispatch_state
from walnutpoint_entry.routing import _fleet
from walnutpoint_entry.routing import _journal
from walnutpoint_entry.routing import _peer_loads
from walnutpoint_entry.routing import _preemptor
from walnutpoint_entry.routing import _start_guard
from walnutpoint_entry.routing import _waiting

__all__ = ('Dispatcher',)

_ATTEMPTS_MAX: typing.Final = 5
_CONFIRM_WAIT_S: typing.Final = 0.05
_ATTEMPT_TIMEOUT_FACTOR: typing.Final = 4.0
_ATTEMPT_TIMEOUT_MIN_S: typing.Final = 0.5

_KIND = errors.ErrorKind
# The request has not run and may be sent to another endpoint or peer.
_RETRYABLE_ELSEWHERE: typing.Final = frozenset(
    {
        _KIND.ENDPOINT_REFUSED,
        _KIND.ENDPOINT_UNREACHABLE,
        _KIND.NOT_CONFIRMED,
        _KIND.NOT_OWNER,
        _KIND.NO_FREE_SLOT,
        _KIND.PEER_UNREACHABLE,
        _KIND.STOPPING,
    }
)
_ENDPOINT_FAULTS: typing.Final = frozenset(
    {
        _KIND.ANSWER_CUT,
        _KIND.ANSWER_LATE,
        _KIND.ANSWER_LOST,
        _KIND.ENDPOINT_REFUSED,
        _KIND.ENDPOINT_UNREACHABLE,
    }
)

_ServeResult: typing.TypeAlias = expression.Result[
    model.Answer, errors.Failure
]


class Dispatcher:
    """Serve requests on owned endpoints first, then at peers."""

    __slots__ = (
        '_budget',
        '_client',
        '_decision_log',
        '_estimate',
        '_fleet',
        '_links',
        '_ownership',
        '_peer_loads',
        '_preemptor',
        '_settings',
        '_timer',
        '_wait_queue',
    )

    def __init__(
        self,
        timer: timers.Timer,
        settings: settings_module.PlacementSettings,
        owner: ownership.OwnershipService,
        fleet: _fleet.Fleet,
        client: endpoints_module.EndpointClient,
        links: peers.Links,
        peer_loads: _peer_loads.PeerLoads,
        decision_log: _journal.DecisionLog,
        estimate: placement.WaitEstimate,
        wait_queue: _waiting.WaitQueue,
        preemptor: _preemptor.BatchPreemptor,
    ) -> None:
        self._timer = timer
        self._settings = settings
        self._ownership = owner
        self._fleet = fleet
        self._client = client
        self._links = links
        self._peer_loads = peer_loads
        self._decision_log = decision_log
        self._estimate = estimate
        self._wait_queue = wait_queue
        self._preemptor = preemptor
        self._budget = placement.RetryBudget(
            settings.retry_budget_ratio,
            settings.retry_budget_minimum_per_s,
            timer.now_s(),
        )

    @property
    def backlog(self) -> int:
        """Return the length of the local queue."""
        return len(self._wait_queue)

    @property
    def free_slots(self) -> int:
        """Return the number of slots that peers may use now."""
        if len(self._wait_queue) or not self._ownership.is_confirmed():
            return 0
        return self._fleet.free_slots

    async def serve(
        self, request: model.Request, start_guard: _start_guard.StartGuard
    ) -> _ServeResult:
        """Run a request on any free slot, with retries where allowed."""
        self._budget.observe_request(self._timer.now_s())
        state = _dispatch_state.DispatchState(request, start_guard)
        while True:
            result = await self._attempt(state)
            if result.is_ok():
                return result
            state.record_failure(result.error)
            if not self._may_retry(state, result.error):
                return expression.Error(state.final_failure(result.error))

    async def place(self, request: model.Request) -> _ServeResult:
        """Run a peer's request on an owned endpoint, or refuse it."""
        await self._renew_confirmation()
        lease = None
        if not len(self._wait_queue) and self._ownership.is_confirmed():
            lease = self._fleet.acquire(frozenset())
        if lease is None:
            return expression.Error(errors.Failure(_KIND.NO_FREE_SLOT))
        state = _dispatch_state.DispatchState(
            request, _start_guard.OpenGuard()
        )
        return await self._run_locally(state, lease, 'peer')

    def drain(self) -> None:
        """Grant free slots, local and at peers, to queued requests."""
        while len(self._wait_queue):
            grant = self._next_grant()
            if grant is None:
                return
            if not self._wait_queue.grant(grant) and grant.lease is not None:
                self._fleet.release(grant.lease)

    def _next_grant(self) -> _waiting.Grant | None:
        if self._ownership.is_confirmed():
            lease = self._fleet.acquire(frozenset())
            if lease is not None:
                return _waiting.Grant(lease=lease)
        peer = self._peer_loads.most_free()
        if peer is None:
            return None
        self._peer_loads.reserve_slot(peer)
        return _waiting.Grant(peer=peer)

    async def _attempt(
        self, state: _dispatch_state.DispatchState
    ) -> _ServeResult:
        await self._renew_confirmation()
        if not len(self._wait_queue) and self._ownership.is_confirmed():
            lease = self._fleet.acquire(frozenset(state.tried_endpoints))
            if lease is not None:
                return await self._run_locally(state, lease, 'local')
        spill_result = await self._spill(state)
        if spill_result is not None:
            return spill_result
        return await self._enqueue(state)

    async def _renew_confirmation(self) -> None:
        """Renew an expired confirmation, waiting briefly."""
        # Idle processes poll rarely: without this, the first request after
        # an idle period would find the ownership unconfirmed and be refused.
        if self._ownership.is_confirmed() or not self._ownership.is_member():
            return
        await self._ownership.poll()
        if not self._ownership.is_confirmed():
            await self._timer.sleep(_CONFIRM_WAIT_S)

    async def _spill(
        self, state: _dispatch_state.DispatchState
    ) -> _ServeResult | None:
        for _ in range(self._settings.spill_attempts):
            peer = self._peer_loads.most_free(frozenset(state.tried_peers))
            if peer is None:
                return None
            self._peer_loads.reserve_slot(peer)
            result = await self._run_at_peer(state, peer, 'spill')
            if result.is_ok() or result.error.kind not in _RETRYABLE_ELSEWHERE:
                return result
        return None

    async def _enqueue(
        self, state: _dispatch_state.DispatchState
    ) -> _ServeResult:
        request = state.request
        if not self._may_get_slot():
            return self._refuse(state, errors.Failure(_KIND.NO_ENDPOINTS))
        deadline_check = self._estimate.check_deadline(
            request,
            self._timer.now_s(),
            self._wait_queue.ahead_of(request.work_class) + 1,
            self._fleet.total_slots,
        )
        if deadline_check.is_error():
            return self._refuse(state, deadline_check.error)
        if request.work_class is model.WorkClass.URGENT:
            self._preemptor.preempt_for_urgent(
                self._wait_queue.ahead_of(request.work_class) + 1
            )
        grant_result = await self._wait_queue.wait(
            request, self._fleet.release, self.drain
        )
        if grant_result.is_error():
            return self._refuse(state, grant_result.error)
        grant = grant_result.ok
        if grant.lease is not None:
            return await self._run_locally(state, grant.lease, 'queued')
        assert grant.peer is not None
        return await self._run_at_peer(state, grant.peer, 'offered')

    def _may_get_slot(self) -> bool:
        if not self._fleet.has_live_hosts:
            return False
        return bool(self._fleet.total_slots or self._links.responsive())

    async def _run_locally(
        self,
        state: _dispatch_state.DispatchState,
        lease: placement.SlotLease,
        reason: str,
    ) -> _ServeResult:
        endpoint = lease.endpoint
        state.attempts += 1
        request = dataclasses.replace(
            state.request,
            request_id=f'{state.request.request_id}.{state.attempts}',
        )
        free_slots = self._fleet.free_slots
        now_s = self._timer.now_s()
        waited_s = now_s - request.received_at_s
        self._fleet.begin(lease, request.request_id)
        failure: errors.Failure | None = errors.Failure(_KIND.ANSWER_LOST)
        try:
            call_result = await self._client.call(
                endpoints_module.EndpointCall(
                    address=endpoint,
                    request=request,
                    epoch=self._ownership.epoch(endpoint),
                    guard=lambda: self._try_start(state, endpoint),
                    timeout_s=self._attempt_timeout_s(state, now_s),
                    connections_max=self._fleet.connections_max(endpoint),
                    late_answer_s=request.late_answer_s,
                )
            )
            failure = call_result.error if call_result.is_error() else None
        finally:
            self._fleet.end(lease, request.request_id, failure)
        self._record_decision(
            state, endpoint, reason, free_slots, waited_s, failure
        )
        self._observe_call(state, endpoint, call_result)
        if failure is not None:
            state.tried_endpoints.add(endpoint)
            return expression.Error(failure)
        reply = call_result.ok
        return expression.Ok(
            model.Answer(
                status=reply.status,
                headers=reply.headers,
                body=reply.body,
                endpoint=endpoint,
                owner=self._ownership.member.name,
                waited_s=waited_s,
            )
        )

    def _try_start(
        self, state: _dispatch_state.DispatchState, endpoint: str
    ) -> bool:
        return (
            self._ownership.may_act(endpoint) and state.start_guard.try_start()
        )

    async def _run_at_peer(
        self,
        state: _dispatch_state.DispatchState,
        peer: ownership.Member,
        reason: str,
    ) -> _ServeResult:
        link = self._links.find(peer)
        if link is None or not link.is_responsive():
            self._peer_loads.forget(peer)
            state.tried_peers.add(peer.address)
            return expression.Error(errors.Failure(_KIND.PEER_UNREACHABLE))
        if not state.start_guard.try_start():
            return expression.Error(errors.Failure(_KIND.ANSWER_LOST))
        waited_s = self._timer.now_s() - state.request.received_at_s
        result = await link.place(state.request)
        failure = result.error if result.is_error() else None
        if failure is not None:
            state.tried_peers.add(peer.address)
            self._peer_loads.observe_free_slots(peer, 0)
        self._record_decision(
            state, '', reason, 0, waited_s, failure, peer.name
        )
        return result

    def _attempt_timeout_s(
        self, state: _dispatch_state.DispatchState, now_s: float
    ) -> float:
        """Return a timeout that leaves time for a retry, if allowed."""
        request = state.request
        remaining_s = request.deadline_at_s - now_s
        high_s = self._estimate.high_run_s(request.team, request.work_class)
        if not request.idempotent or not high_s:
            return remaining_s
        limit_s = max(_ATTEMPT_TIMEOUT_MIN_S, high_s * _ATTEMPT_TIMEOUT_FACTOR)
        return min(remaining_s, limit_s)

    def _may_retry(
        self, state: _dispatch_state.DispatchState, failure: errors.Failure
    ) -> bool:
        now_s = self._timer.now_s()
        if state.attempts >= _ATTEMPTS_MAX or state.start_guard.is_closed():
            return False
        if now_s >= state.request.deadline_at_s:
            return False
        if failure.kind in _RETRYABLE_ELSEWHERE:
            return True
        if failure.outcome is not errors.Outcome.UNKNOWN:
            return False
        # With an unknown outcome, the request may have run: only idempotent
        # ones are retried, within a budget, as retries during an overload
        # multiply it.
        if not state.request.idempotent:
            return False
        if not self._budget.can_retry(now_s):
            return False
        self._budget.spend(now_s)
        return True

    def _observe_call(
        self,
        state: _dispatch_state.DispatchState,
        endpoint: str,
        call_result: expression.Result[
            endpoints_module.EndpointReply, errors.Failure
        ],
    ) -> None:
        request = state.request
        self._estimate.observe_completion(self._timer.now_s())
        if call_result.is_ok():
            self._estimate.observe(
                request.team, request.work_class, call_result.ok.run_s
            )
            self._fleet.observe(endpoint, call_result.ok.status < 500)
        elif call_result.error.kind in _ENDPOINT_FAULTS:
            self._fleet.observe(endpoint, False)

    def _refuse(
        self, state: _dispatch_state.DispatchState, failure: errors.Failure
    ) -> _ServeResult:
        waited_s = self._timer.now_s() - state.request.received_at_s
        self._record_decision(state, '', 'refused', 0, waited_s, failure)
        return expression.Error(failure)

    def _record_decision(
        self,
        state: _dispatch_state.DispatchState,
        endpoint: str,
        reason: str,
        free_slots: int,
        waited_s: float,
        failure: errors.Failure | None,
        owner: str | None = None,
    ) -> None:
        outcome = errors.Outcome.DONE if failure is None else failure.outcome
        self._decision_log.record(
            _journal.Decision(
                request_id=state.request.request_id,
                team=state.request.team,
                work_class=state.request.work_class.name.lower(),
                endpoint=endpoint,
                owner=owner or self._ownership.member.name,
                reason=reason,
                candidates_free=free_slots,
                waited_ms=round(waited_s * 1000.0, 3),
                outcome=outcome.value,
                error='' if failure is None else failure.kind.value,
            )
        )
