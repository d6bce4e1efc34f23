"""Where advice and limits let a step start, reserve and request in a pass."""

from __future__ import annotations

from walnutpoint_scheduler import _advice_requests
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _limits
from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _selectors
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler import advice
from walnutpoint_scheduler import cell

__all__ = ('StepPermits',)


class StepPermits:
    """Answers from the cached advice which workers a step may use."""

    __slots__ = (
        '_advice_requests',
        '_context',
        '_limits',
        '_planner',
        '_selectors',
    )

    def __init__(
        self,
        context: _context.Context,
        selectors: _selectors.PassSelectors,
        limits: _limits.AccountLimits,
        planner: advice.RequestPlanner,
        advice_requests: _advice_requests.AdviceRequests,
    ) -> None:
        self._context = context
        self._selectors = selectors
        self._limits = limits
        self._planner = planner
        self._advice_requests = advice_requests

    def awaits_advice(self, queued: _placement_order.QueuedStep) -> bool:
        """Return whether a step can only wait for requested advice."""
        cache, key = self._context.advice, queued.step.key
        queue_advice = queued.queue.advice
        if queue_advice is None:
            return False
        if self._planner.decides(queued.step):
            # It reserves nothing without a ticket.
            return not cache.has_valid_ticket(key)
        return not cache.granted(key) and not (
            self._advice_requests.permits(key)
            and cache.may_request(key)
            and cache.has_request_slot(queue_advice)
        )

    def may_start(self, queued: _placement_order.QueuedStep) -> bool:
        """Return whether an open worker may run a step."""
        if not self._limits.permits(queued.step):
            return False
        cache = self._context.advice
        selector = self._selectors.of_queue(queued.queue)
        return any(
            queued.queue.advice is None
            or cache.permits(queued.step.key, worker.worker_id)
            for worker in selector.feasible(queued.step.step)
        )

    def share(
        self,
        selector: _worker_selector.WorkerSelector,
        queue: cell.Queue,
        step: _state.StepProgress,
    ) -> float:
        """Return the share of the workers that a step may run on."""
        share = selector.usable_share(step.key)
        if queue.advice is None:
            return share
        cache = self._context.advice
        permitted = cache.granted(step.key)
        if self._planner.decides(step):
            permitted = cache.with_valid_ticket(step.key)
        return min(1.0, len(permitted) / max(1, selector.open_count)) * share

    def workers(
        self, queue: cell.Queue, step: _state.StepProgress
    ) -> frozenset[str] | None:
        """Return the workers with a valid ticket; None for all."""
        if queue.advice is None:
            return None
        return self._context.advice.with_valid_ticket(step.key)

    def reservable_workers(
        self, queue: cell.Queue, step: _state.StepProgress
    ) -> _worker_selector.PermittedWorkers:
        """Return the workers to reserve capacity on; None for all.

        Capacity reserved without a ticket is idle until advice arrives, which
        pays only if less urgent work would take it.
        """
        cache = self._context.advice
        if queue.advice is None:
            return None
        if self._planner.decides(step):
            return cache.with_valid_ticket(step.key)
        if (
            step.step.gang
            or queue.priority < self._context.cell.lowest_priority
        ):
            return cache.granted(step.key)
        return cache.with_valid_ticket(step.key)
