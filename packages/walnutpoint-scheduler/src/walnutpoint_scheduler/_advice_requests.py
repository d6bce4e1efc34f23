"""Decides when to request advice, and about which workers."""

from __future__ import annotations

import collections.abc
import itertools
import typing

from walnutpoint_scheduler import _advice_targets
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _reservations
from walnutpoint_scheduler import _selectors
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler import admission
from walnutpoint_scheduler import advice
from walnutpoint_scheduler import cell

__all__ = ('AdviceRequests',)

# Renews tickets earlier than the answer takes, as the estimated ends of runs
# are off.
_RENEWAL_LEAD_S: typing.Final = 0.4
# Most steps per pass that renew tickets before they fit.
_RENEWING_STEPS_MAX: typing.Final = 10
# Concurrent requests for a gang, through as many hosts: all of its tickets
# must be valid at the same time.
_GANG_REQUESTS_MAX: typing.Final = 4
# Time between two checks of a step that needs no advice, as each scans all
# workers. Shorter than _RENEWAL_LEAD_S, so that no ticket expires.
_RECHECK_S: typing.Final = 0.2
_URGENT_RECHECK_S: typing.Final = 0.05
# The time of two minimal requests in the slowest queue; a step that waits for
# longer has too few granted workers.
_STARVED_S: typing.Final = 1.5


class AdviceRequests:
    """Requests the tickets that steps need now or soon."""

    __slots__ = ('_context', '_planner', '_renewing_steps', '_withheld')

    def __init__(
        self,
        context: _context.Context,
        planner: advice.RequestPlanner | None = None,
    ) -> None:
        self._context = context
        # Makes the requests of waiting steps while requests are scarce.
        self._planner = planner
        # Steps that did not fit and renewed tickets in this pass.
        self._renewing_steps = 0
        # Keys of the steps that may not request advice.
        self._withheld: frozenset[str] = frozenset()

    def begin(
        self,
        queued_steps: collections.abc.Sequence[_placement_order.QueuedStep],
    ) -> None:
        """Begin a pass."""
        self._renewing_steps = 0
        context = self._context
        self._withheld = frozenset()
        if not context.settings.policies.hopeless_refusal:
            return
        contention = admission.AdviceContention(
            queued_steps, context.now_ms(), context.advice.request_limit
        )
        context.is_advice_contended = contention.is_contended
        self._withheld = contention.withheld(
            context.timer.now_s() - context.settings.patience_s
        )

    def permits(self, step_key: str) -> bool:
        """Return whether a step may request advice in this pass."""
        return step_key not in self._withheld

    def request(
        self,
        selector: _worker_selector.WorkerSelector,
        queue: cell.Queue,
        step: _state.StepProgress,
        missing: int,
        reserved_workers: collections.abc.Collection[
            _reservations.ReservedWorker
        ] = (),
    ) -> None:
        """Request the tickets that the missing tasks of a step lack.

        reserved_workers have a reservation for it, each with its wait.
        """
        now_s = self._context.timer.now_s()
        if queue.advice is None or now_s < step.advice_not_before_s:
            return
        if not self.permits(step.key):
            return
        if self._planner is not None and self._planner.decides(step):
            return
        cache = self._context.advice
        if not cache.may_request(step.key) or not cache.has_request_slot(
            queue.advice
        ):
            return
        targets = self._targets(
            selector, queue, step, missing, reserved_workers
        )
        if targets:
            self._context.advice.request(step.key, targets, queue.advice)
            return
        recheck_s = _RECHECK_S if queue.priority else _URGENT_RECHECK_S
        step.advice_not_before_s = now_s + recheck_s

    def _targets(
        self,
        selector: _worker_selector.WorkerSelector,
        queue: cell.Queue,
        step: _state.StepProgress,
        missing: int,
        reserved_workers: collections.abc.Collection[
            _reservations.ReservedWorker
        ],
    ) -> list[str]:
        """Return the workers to request advice about."""
        terms = typing.cast(cell.AdviceTerms, queue.advice)
        cache = self._context.advice

        def task_capacity(worker: _worker.WorkerState) -> int:
            return selector.task_capacity(
                worker, step.step, step.key, is_urgent=not queue.priority
            )

        granted_ids = cache.granted(step.key)
        granted = [
            worker
            for worker in selector.advice_candidates(step.step, step.key)
            if worker.worker_id in granted_ids
        ]
        remaining = missing
        if not self.is_starved(step):
            for worker in granted:
                if remaining <= 0:
                    break
                remaining -= task_capacity(worker)
        targets: list[str] = []
        if remaining > 0:
            targets = _advice_targets.select(
                (
                    worker
                    for worker in selector.advice_candidates(
                        step.step, step.key
                    )
                    if cache.permits(step.key, worker.worker_id) is None
                ),
                task_capacity,
                remaining,
                cache.granted_share(terms),
                _targets_max(step),
                # If granted ones are full, others help only with capacity.
                only_with_capacity=bool(granted),
            )
        if targets or self._renewing_steps < _RENEWING_STEPS_MAX:
            renewals = self._expiring(step, terms, reserved_workers)
            if not renewals and not cache.has_valid_ticket(step.key):
                renewals = _advice_targets.select(
                    granted, task_capacity, missing, 1.0, _targets_max(step)
                )
            self._renewing_steps += bool(renewals and not targets)
            targets += renewals
            if renewals and not step.step.gang:
                targets += self._unknown_workers(selector, step, len(targets))
        return targets

    def _unknown_workers(
        self,
        selector: _worker_selector.WorkerSelector,
        step: _state.StepProgress,
        target_count: int,
    ) -> list[str]:
        """Return workers without advice, to add to a renewal.

        They add little to the time of the answer, and the more workers may
        run a step, the sooner it fits on one.
        """
        cache = self._context.advice
        unknown = (
            worker.worker_id
            for worker in selector.advice_candidates(step.step, step.key)
            if cache.permits(step.key, worker.worker_id) is None
        )
        count = max(0, _advice_targets.WAITING_TARGETS_MAX - target_count)
        return list(itertools.islice(unknown, count))

    def _expiring(
        self,
        step: _state.StepProgress,
        terms: cell.AdviceTerms,
        reserved_workers: collections.abc.Collection[
            _reservations.ReservedWorker
        ],
    ) -> list[str]:
        """Return the workers whose ticket expires before their reservation.

        A ticket requested only once the capacity is free leaves a worker idle
        until the answer. All workers of a gang are renewed in one request: in
        turn, its first tickets would expire before the last arrive.
        """
        if not self._context.settings.policies.ticket_renewal:
            return []
        now_s = self._context.timer.now_s()
        count = (
            min(len(reserved_workers), _advice_targets.TARGETS_MAX)
            if step.step.gang
            else 1
        )
        answer_s = terms.decide_s + terms.per_worker_s * count
        targets = []
        for worker, wait_s in reserved_workers:
            needed_s = now_s + max(wait_s, answer_s)
            if wait_s > answer_s + _RENEWAL_LEAD_S:
                continue
            if not self._context.advice.is_valid_at(
                step.key, worker.worker_id, needed_s
            ):
                targets.append(worker.worker_id)
        return targets

    def is_starved(self, step: _state.StepProgress) -> bool:
        """Return whether a step has waited too long despite free capacity.

        Counted capacity may be unusable: a gang needs it for all members at
        once and on healthy workers. Advice is then requested about others,
        until it covers every worker with capacity.
        """
        now_s = self._context.timer.now_s()
        return step.ready_s is not None and now_s - step.ready_s > _STARVED_S

    def _may_request_ahead(self, step: _state.StepProgress) -> bool:
        """Return whether a step would be in the working set, if any."""
        context = self._context
        queue = context.queue_of(step.job)
        cutoff = context.advice_cutoffs.get(queue.pool)
        if cutoff is None:
            return True
        policies = context.settings.policies
        rank = _placement_order.rank(
            queue,
            step,
            context.now_ms(),
            policies.late_tiers,
            policies.owed_first,
            context.overload.standing(step.job.document.job_id),
        )
        return rank <= cutoff

    def request_ahead(
        self, step: _state.StepProgress, terms: cell.AdviceTerms
    ) -> None:
        """Request advice for a step that may start soon."""
        context, cache = self._context, self._context.advice
        if not self._may_request_ahead(step):
            return
        queue = context.queue_of(step.job)
        if context.is_advice_contended:
            if admission.is_useless(queue, step, context.now_ms()):
                return
        pool = queue.pool
        label = step.step.required_label
        feasible = [
            worker
            for worker in self._context.roster.in_pool(pool)
            if worker.may_accept_starts
            and cache.permits(step.key, worker.worker_id) is not False
            and worker.listed.capacity.covers(step.step.need)
            and (not label or label in worker.listed.labels)
        ]
        feasible.sort(key=_worker.by_free_cpu)
        speeds = _selectors.pool_speeds(self._context, pool)
        if speeds is not None:
            choice = speeds.choose(queue, step, ())
            if choice is not None:
                feasible = speeds.preferred_first(feasible, choice)
        targets = _advice_targets.select(
            feasible,
            lambda worker: _advice_targets.tasks_that_fit(
                worker.free, step.step
            ),
            step.step.task_count,
            cache.granted_share(terms),
            _targets_max(step),
        )
        cache.request(step.key, targets, terms)


def _targets_max(step: _state.StepProgress) -> int:
    """Return how many workers a step may name at a time."""
    requests = _GANG_REQUESTS_MAX if step.step.gang else 1
    return requests * _advice_targets.TARGETS_MAX
