"""Requests advice for the steps of the working set of a term."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_core import logs
from walnutpoint_core import resources
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _release
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler.advice import _names
from walnutpoint_scheduler.advice import _working_set
from walnutpoint_scheduler import cell

__all__ = ('RequestPlanner',)

_LOG: typing.Final = logs.get_logger('advice')
# Between two choices of the set, each of which estimates all releases. Short
# against the time of an answer.
_PERIOD_S: typing.Final = 0.1
_LOG_PERIOD_S: typing.Final = 1.0
# Fewer waiting steps than this for each host leave hosts idle, however they
# request: each has a request in flight for at most half of the time.
_STEPS_PER_HOST: typing.Final = 0.25
# Workers that a typical request names.
_TYPICAL_NAMES: typing.Final = 50
# What an answer and the start take of a ticket's life.
_TICKET_MARGIN_S: typing.Final = 0.15
# An overdue step enters early enough for a request that is lost with its
# host, and the one after it.
_OVERDUE_ANSWERS: typing.Final = 4.0
_NO_SET: typing.Final = _working_set.WorkingSet(
    frozenset(), frozenset(), False, frozenset(), False
)

_Selectors = collections.abc.Callable[
    [cell.Queue], _worker_selector.WorkerSelector
]


class RequestPlanner:
    """Decides which steps request advice while requests are scarce.

    They are while the waiting tasks need more than comes free until an answer
    arrives. Otherwise every step requests for itself, as AdviceRequests
    decides.
    """

    __slots__ = (
        '_capacities',
        '_chosen_s',
        '_context',
        '_logged_s',
        '_releases',
        '_set',
        '_steps',
        '_waiting',
        'is_active',
    )

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._chosen_s = float('-inf')
        self._logged_s = float('-inf')
        self._set = _NO_SET
        self._steps: list[_placement_order.QueuedStep] = []
        # The keys of _steps.
        self._waiting: frozenset[str] = frozenset()
        self._releases = _release.Releases(0.0)
        # What comes free within a ticket's life, by pool and that life.
        self._capacities: dict[tuple[str, float], resources.Resources] = {}
        # Whether requests are scarce in this pass.
        self.is_active = False

    @property
    def size(self) -> int:
        """Return how many steps are in the set."""
        return len(self._set.keys) if self.is_active else 0

    def begin(
        self,
        queued_steps: collections.abc.Iterable[_placement_order.QueuedStep],
        may_start: collections.abc.Callable[[_state.StepProgress], bool],
    ) -> None:
        """Begin a pass over the waiting steps, in placement order.

        A step that may not start for its account's limit needs no advice.
        """
        self._set_active(False)
        if not self._context.settings.policies.advice_working_set:
            return
        try:
            self._begin(queued_steps, may_start)
        except Exception as error:
            # Each step requests for itself, as without this planner.
            self._set_active(False)
            _LOG.exception('advice.plan_failed', error=repr(error))

    def _begin(
        self,
        queued_steps: collections.abc.Iterable[_placement_order.QueuedStep],
        may_start: collections.abc.Callable[[_state.StepProgress], bool],
    ) -> None:
        context = self._context
        advised = [q for q in queued_steps if q.queue.advice is not None]
        queues = {q.queue.name: q.queue for q in advised}
        limited = {n for n, queue in queues.items() if self._is_limited(queue)}
        steps = [q for q in advised if q.queue.name in limited]
        if not steps:
            return
        terms = typing.cast(cell.AdviceTerms, steps[0].queue.advice)
        limit = context.advice.request_limit(terms) or 0
        if len(steps) <= limit * _STEPS_PER_HOST:
            return
        self._steps = [q for q in steps if may_start(q.step)]
        now_s = context.timer.now_s()
        if now_s - self._chosen_s >= _PERIOD_S:
            self._chosen_s = now_s
            self._choose(limit, now_s)
        if self._set.is_contested:
            self._set_active(True)
            self._waiting = frozenset(q.step.key for q in self._steps)
            members = self._set.keys - self._set.overdue_keys
            context.advice_cutoff = max(
                (q.rank for q in self._steps if q.step.key in members),
                default=None,
            )

    def _set_active(self, is_active: bool) -> None:
        context = self._context
        self.is_active = is_active
        context.advice_cutoff = None
        if context.advice is not None:
            context.advice.is_scarce = is_active

    def _is_limited(self, queue: cell.Queue) -> bool:
        """Return whether requests of a queue compete for hosts."""
        terms = queue.advice
        return (
            terms is not None
            and self._context.advice.request_limit(terms) is not None
        )

    def decides(self, step: _state.StepProgress) -> bool:
        """Return whether a step requests only as this planner decides.

        Copies and suspects, whose step may not wait, request for themselves.
        """
        return self.is_active and step.key in self._waiting

    def may_reserve(self, step: _state.StepProgress) -> bool:
        """Return whether capacity is reserved for a step that does not fit.

        All capacity that comes free soon is reserved for earlier steps, and
        the search for some takes most of a pass.
        """
        return not self.decides(step) or step.key in self._set.first_keys

    def _choose(self, limit: int, now_s: float) -> None:
        """Choose the set from the capacity that comes free soon."""
        context = self._context
        self._releases = _release.Releases(now_s)
        self._capacities.clear()
        if not self._steps:
            self._set = _NO_SET
            return
        terms = typing.cast(cell.AdviceTerms, self._steps[-1].queue.advice)
        answer_s = self._answer_s(terms)
        places_max = int(limit * (terms.valid_s - _TICKET_MARGIN_S) / answer_s)
        waits = [self._waiting_step(queued, now_s) for queued in self._steps]
        self._set = _working_set.choose(
            waits,
            context.advice.granted_share(terms),
            places_max,
            context.settings.patience_s - _OVERDUE_ANSWERS * answer_s,
            answer_s / terms.valid_s,
        )
        is_due = now_s - self._logged_s >= _LOG_PERIOD_S
        if is_due and self._set.is_contested:
            self._logged_s = now_s
            self._log(limit, places_max, terms)

    def _waiting_step(
        self, queued: _placement_order.QueuedStep, now_s: float
    ) -> _working_set.WaitingStep:
        step = queued.step
        terms = typing.cast(cell.AdviceTerms, queued.queue.advice)
        capacity = self._capacity(queued.queue.pool, terms.valid_s)
        need = step.step.need.scaled(len(step.waiting()))
        since_s = step.idle_since_s
        return _working_set.WaitingStep(
            step.key,
            need.dominant_share(capacity),
            0.0 if since_s is None else now_s - since_s,
        )

    def _capacity(self, pool: str, within_s: float) -> resources.Resources:
        """Return what of a pool is free or comes free soon."""
        capacity = self._capacities.get((pool, within_s))
        if capacity is None:
            capacity = resources.Resources()
            for worker in self._context.roster.in_pool(pool):
                if worker.may_accept_starts:
                    capacity += self._releases.free_within(worker, within_s)
            self._capacities[(pool, within_s)] = capacity
        return capacity

    def _log(
        self, limit: int, places_max: int, terms: cell.AdviceTerms
    ) -> None:
        pool = self._steps[-1].queue.pool
        capacity = self._capacity(pool, terms.valid_s)
        _LOG.info(
            'advice.working_set',
            pool=pool,
            steps=len(self._steps),
            chosen=len(self._set.keys),
            overdue=len(self._set.overdue_keys),
            in_flight=self._context.advice.limited_in_flight,
            hosts=limit,
            places=places_max,
            is_limited_by_budget=self._set.is_limited_by_budget,
            cores_soon=capacity.cpu_millicores // 1000,
            granted_share=round(self._context.advice.granted_share(terms), 2),
        )

    def request(self, selector_of: _Selectors) -> None:
        """Request what the steps of the set lack, in placement order."""
        if not self.is_active:
            return
        try:
            self._request(selector_of)
        except Exception as error:
            _LOG.exception('advice.plan_failed', error=repr(error))

    def _request(self, selector_of: _Selectors) -> None:
        advice = self._context.advice
        members = [q for q in self._steps if q.step.key in self._set.keys]
        # The last of the set, overdue steps would find all hosts occupied.
        overdue_keys = self._set.overdue_keys
        members.sort(key=lambda q: q.step.key not in overdue_keys)
        rivals: collections.Counter[str] | None = None
        rooms: dict[object, list[tuple[_worker.WorkerState, float]]] = {}
        now_s = self._context.timer.now_s()
        for queued in members:
            step, queue = queued.step, queued.queue
            terms = typing.cast(cell.AdviceTerms, queue.advice)
            if not advice.has_request_slot(terms):
                return
            if now_s < step.advice_not_before_s:
                continue
            if not advice.may_request(step.key) or not step.waiting():
                continue
            if rivals is None:
                rivals = self._ticket_counts(members)
            names = self._names(
                selector_of(queue), queue, step, terms, rivals, rooms
            )
            if names:
                advice.request(step.key, names, terms)
            else:
                step.advice_not_before_s = now_s + _PERIOD_S

    def _ticket_counts(
        self, members: list[_placement_order.QueuedStep]
    ) -> collections.Counter[str]:
        """Return how many steps of the set have a ticket, by worker."""
        counts: collections.Counter[str] = collections.Counter()
        for queued in members:
            counts.update(
                self._context.advice.with_valid_ticket(queued.step.key)
            )
        return counts

    def _names(
        self,
        selector: _worker_selector.WorkerSelector,
        queue: cell.Queue,
        step: _state.StepProgress,
        terms: cell.AdviceTerms,
        rivals: collections.Counter[str],
        rooms: dict[object, list[tuple[_worker.WorkerState, float]]],
    ) -> list[str]:
        need = step.step.need
        key = queue.pool, need, step.step.required_label
        if key not in rooms:
            rooms[key] = self._rooms(selector, step, terms)
        cache = self._context.advice
        return _names.choose(
            step.key,
            step.step,
            cache.granted_share(terms),
            (
                _names.Room(w.worker_id, wait_s, rivals[w.worker_id])
                for w, wait_s in rooms[key]
                if not _is_at_limit(w, step)
            ),
            cache,
            self._context.timer.now_s(),
            self._answer_s(terms),
        )

    def _rooms(
        self,
        selector: _worker_selector.WorkerSelector,
        step: _state.StepProgress,
        terms: cell.AdviceTerms,
    ) -> list[tuple[_worker.WorkerState, float]]:
        """Return the workers with room while a ticket is valid."""
        until_s = self._answer_s(terms) + terms.valid_s - _TICKET_MARGIN_S
        releases = _release.Releases(self._context.timer.now_s())
        need = step.step.need
        found = []
        for worker in selector.advice_candidates(step.step):
            if not selector.may_start(worker):
                continue
            wait_s = releases.wait_s(worker, worker.free, need)
            if wait_s <= until_s:
                found.append((worker, wait_s))
        return found

    def _answer_s(self, terms: cell.AdviceTerms) -> float:
        """Return the time of a typical answer."""
        return self._context.advice.answer_s(terms, _TYPICAL_NAMES)


def _is_at_limit(
    worker: _worker.WorkerState, step: _state.StepProgress
) -> bool:
    """Return whether a worker may take no more tasks of a spread step."""
    limit = step.step.per_worker_max
    return bool(limit) and worker.step_counts[step.key] >= limit
