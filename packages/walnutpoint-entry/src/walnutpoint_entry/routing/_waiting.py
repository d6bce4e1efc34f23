"""The queue of requests that wait for a local or a peer's slot."""

from __future__ import annotations

import collections.abc
import dataclasses

import anyio
import expression

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import settings as settings_module
from walnutpoint_core import timer as timers
from walnutpoint_entry import ownership
from walnutpoint_entry import placement

__all__ = (
    'Grant',
    'WaitQueue',
)

_EXPIRY_PERIOD_MAX_S = 0.5
_EXPIRY_PERIOD_MIN_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A slot for a queued request: a local lease or a peer with a slot."""

    lease: placement.SlotLease | None = None
    peer: ownership.Member | None = None


class _PendingGrant:
    """The future grant that a queued request awaits."""

    __slots__ = ('_event', '_result')

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._result: expression.Result[Grant, errors.Failure] | None = None

    def set_result(
        self, result: expression.Result[Grant, errors.Failure]
    ) -> None:
        self._result = result
        self._event.set()

    def granted_lease(self) -> placement.SlotLease | None:
        if self._result is None or self._result.is_error():
            return None
        return self._result.ok.lease

    async def result(self) -> expression.Result[Grant, errors.Failure]:
        await self._event.wait()
        assert self._result is not None
        return self._result


class WaitQueue:
    """Queue requests until each is granted a slot or refused."""

    __slots__ = ('_estimate', '_expiry_ticks', '_queue', '_timer')

    def __init__(
        self,
        timer: timers.Timer,
        settings: settings_module.PlacementSettings,
        estimate: placement.WaitEstimate,
    ) -> None:
        self._timer = timer
        self._estimate = estimate
        self._queue = placement.RequestQueue(
            settings.queue_length, settings.team_queue_length
        )
        self._expiry_ticks = timer.subscribe(self._expiry_period_s)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def ahead_of(self, work_class: model.WorkClass) -> int:
        """Return the number of requests in this and higher classes."""
        return self._queue.ahead_of(work_class)

    def set_weights(
        self, weights: collections.abc.Mapping[str, float]
    ) -> None:
        """Set the weights of the teams."""
        self._queue.set_weights(weights)

    async def wait(
        self,
        request: model.Request,
        release_lease: collections.abc.Callable[[placement.SlotLease], None],
        drain: collections.abc.Callable[[], None],
    ) -> expression.Result[Grant, errors.Failure]:
        """Wait for a slot, at most until the request's latest start."""
        pending_grant = _PendingGrant()
        run_s = self._estimate.expected_run_s(request.team, request.work_class)
        waiter = placement.Waiter(
            request_id=request.request_id,
            team=request.team,
            work_class=request.work_class,
            deadline_at_s=request.deadline_at_s,
            latest_start_s=request.deadline_at_s - run_s,
            payload=pending_grant,
        )
        offered = self._queue.offer(waiter, self._timer.now_s())
        if offered.is_error():
            return expression.Error(offered.error)
        if offered.ok is not None:
            _refuse(offered.ok, errors.ErrorKind.QUEUE_FULL, 'displaced')
        self._expiry_ticks.wake()
        # A slot of an endpoint that this request has tried may be free:
        # without this, no event might come to grant it.
        drain()
        try:
            return await pending_grant.result()
        except BaseException:
            self._queue.discard(waiter)
            lease = pending_grant.granted_lease()
            if lease is not None:
                release_lease(lease)
            raise

    def grant(self, grant: Grant) -> bool:
        """Grant the first request a slot; return whether there was one."""
        waiter = self._queue.pop(self._timer.now_s())
        if waiter is None:
            return False
        _pending_grant_of(waiter).set_result(expression.Ok(grant))
        return True

    async def run(self) -> None:
        """Refuse requests as soon as they can no longer start in time."""
        async for now_s in self._expiry_ticks:
            for waiter in self._queue.take_expired(now_s):
                _refuse(
                    waiter,
                    errors.ErrorKind.DEADLINE_PASSED,
                    'no slot was free in time',
                )

    def _expiry_period_s(self) -> float:
        expiry_s = self._queue.next_expiry_s()
        if expiry_s is None:
            return _EXPIRY_PERIOD_MAX_S
        remaining_s = expiry_s - self._timer.now_s()
        return min(
            max(remaining_s, _EXPIRY_PERIOD_MIN_S), _EXPIRY_PERIOD_MAX_S
        )


def _pending_grant_of(waiter: placement.Waiter) -> _PendingGrant:
    pending_grant = waiter.payload
    assert isinstance(pending_grant, _PendingGrant)
    return pending_grant


def _refuse(
    waiter: placement.Waiter, kind: errors.ErrorKind, detail: str
) -> None:
    _pending_grant_of(waiter).set_result(
        expression.Error(errors.Failure(kind, detail))
    )
