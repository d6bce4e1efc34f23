"""Requests advice for the steps of the working set of a term."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _limits
from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _release
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler.advice import _names
from walnutpoint_scheduler.advice import _pool_sets
from walnutpoint_scheduler import cell

__all__ = ('RequestPlanner',)

_LOG: typing.Final = logs.get_logger('advice')
# Between two choices of the set, each of which estimates all releases. Short
# against the time of an answer.
_PERIOD_S: typing.Final = 0.1
# Fewer waiting steps than this for each host leave hosts idle, however they
# request: each has a request in flight for at most half of the time.
_STEPS_PER_HOST: typing.Final = 0.25

_Selectors = collections.abc.Callable[
    [cell.Queue], _worker_selector.WorkerSelector
]


class RequestPlanner:
    """Decides which steps request advice while requests are scarce.

    They are in a pool while its waiting tasks need more than comes free until
    an answer arrives. Otherwise every step requests for itself, as
    AdviceRequests decides.
    """

    __slots__ = (
        '_chosen_s',
        '_context',
        '_sets',
        '_steps',
        '_waiting',
        'is_active',
    )

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._chosen_s = float('-inf')
        self._sets = _pool_sets.PoolSets(context)
        self._steps: list[_placement_order.QueuedStep] = []
        # The pools of the steps that request only as decided here, by key.
        self._waiting: dict[str, _pool_sets.Pool] = {}
        # Whether requests are scarce in this pass.
        self.is_active = False

    @property
    def size(self) -> int:
        """Return how many steps are in the set."""
        if not self.is_active:
            return 0
        return sum(
            len(pool.chosen.keys)
            for pool in self._sets.pools.values()
            if pool.chosen.is_contested
        )

    def begin(
        self,
        queued_steps: collections.abc.Iterable[_placement_order.QueuedStep],
        limits: _limits.AccountLimits,
        permits: collections.abc.Callable[[str], bool],
        promoted: collections.abc.Iterable[_placement_order.QueuedStep],
    ) -> None:
        """Begin a pass over the waiting steps, in placement order.

        A step that may not start for its account's limit needs no advice; one
        that may not request on its own enters only once overdue.
        """
        self._set_active(False)
        if not self._context.settings.policies.advice_working_set:
            return
        try:
            self._begin(queued_steps, limits, permits, promoted)
        except Exception as error:
            # Each step requests for itself, as without this planner.
            self._set_active(False)
            _LOG.exception('advice.plan_failed', error=repr(error))

    def _begin(
        self,
        queued_steps: collections.abc.Iterable[_placement_order.QueuedStep],
        limits: _limits.AccountLimits,
        permits: collections.abc.Callable[[str], bool],
        promoted: collections.abc.Iterable[_placement_order.QueuedStep],
    ) -> None:
        context = self._context
        advised = [q for q in queued_steps if q.queue.advice is not None]
        queues = {q.queue.name: q.queue for q in advised}
        hosts = {n: self._limit(queue) for n, queue in queues.items()}
        steps = [q for q in advised if hosts[q.queue.name] is not None]
        if not steps:
            return
        hosts_max = max(hosts[q.queue.name] or 0 for q in steps)
        if len(steps) <= hosts_max * _STEPS_PER_HOST:
            return
        self._steps = [q for q in steps if limits.permits(q.step)]
        now_s = context.timer.now_s()
        if now_s - self._chosen_s >= _PERIOD_S:
            self._chosen_s = now_s
            self._sets.choose(
                self._steps,
                limits,
                permits,
                {q.step.key for q in promoted},
                now_s,
            )
        # A step that is denied or fits nowhere shows that as its cause.
        self._steps = [
            q
            for q in self._steps
            if q.queue.pool in self._sets.pools
            and self._sets.pools[q.queue.pool].chosen.is_contested
            and (q.step.key not in self._sets.stuck or q.step.step.gang)
        ]
        if not self._steps:
            return
        self._set_active(True)
        for queued in self._steps:
            pool, key = self._sets.pools[queued.queue.pool], queued.step.key
            self._waiting[key] = pool
            chosen = pool.chosen
            if key in chosen.keys and key not in chosen.overdue_keys:
                # The last one remains, as the steps come in order.
                context.advice_cutoffs[queued.queue.pool] = queued.rank

    def _set_active(self, is_active: bool) -> None:
        context = self._context
        self.is_active = is_active
        self._waiting = {}
        context.advice_cutoffs = {}
        if context.advice is not None:
            context.advice.is_scarce = is_active

    def _limit(self, queue: cell.Queue) -> int | None:
        """Return how many requests of a queue fit on the hosts, if limited."""
        terms = typing.cast(cell.AdviceTerms, queue.advice)
        return self._context.advice.request_limit(terms)

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
        pool = self._waiting.get(step.key)
        return pool is None or step.key in pool.chosen.first_keys

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
        chosen = [pool.chosen for pool in self._sets.pools.values()]
        keys = frozenset[str]().union(*(c.keys for c in chosen))
        members = [q for q in self._steps if q.step.key in keys]
        # The last of the set, overdue steps would find all hosts occupied.
        overdue_keys = frozenset[str]().union(
            *(c.overdue_keys for c in chosen)
        )
        members.sort(key=lambda q: q.step.key not in overdue_keys)
        rivals: collections.Counter[str] | None = None
        rooms: dict[object, list[tuple[_worker.WorkerState, float]]] = {}
        now_s = self._context.timer.now_s()
        for queued in members:
            step, queue = queued.step, queued.queue
            terms = typing.cast(cell.AdviceTerms, queue.advice)
            if not advice.has_request_slot(terms):
                continue
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
        until_s = (
            self._answer_s(terms) + terms.valid_s - _pool_sets.TICKET_MARGIN_S
        )
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
        return self._context.advice.answer_s(terms, _pool_sets.TYPICAL_NAMES)


def _is_at_limit(
    worker: _worker.WorkerState, step: _state.StepProgress
) -> bool:
    """Return whether a worker may take no more tasks of a spread step."""
    limit = step.step.per_worker_max
    return bool(limit) and worker.step_counts[step.key] >= limit
