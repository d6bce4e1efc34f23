"""Caches which workers may run a step according to the advice service."""

from __future__ import annotations

import collections.abc
import typing

import anyio.abc

from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_scheduler import _advice_targets
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

__all__ = ('AdviceCache',)

_LOG: typing.Final = logs.get_logger('advice')
_ADVICE_DURATION: typing.Final = metrics.Latency(
    'advice', 'Questions for advice by outcome, waiting included.'
)
# Prior of the granted share before any answer, and its weight in workers: one
# answer outweighs it.
_PRIOR_SHARE: typing.Final = 0.5
_PRIOR_WEIGHT: typing.Final = 20
# A ticket this close to its expiry may be refused on arrival.
_TICKET_MARGIN_S: typing.Final = 0.15
_RETRY_BACKOFF_S: typing.Final = 0.1
# Hosts change within seconds, and each check scans all of them.
_LIMIT_CACHE_S: typing.Final = 0.1
# Weight of the latest answer in the observed slowness of the service: some
# thirty answers are outstanding at a time, and a round of them decides.
_SLOWNESS_WEIGHT: typing.Final = 0.1
# While nothing answers, each time-out makes the next request wait longer; a
# service that is back must not meet requests that wait for seconds.
_SLOWNESS_MAX: typing.Final = 2.5
_NO_WORKERS: typing.Final[frozenset[str]] = frozenset()


class _StepAdvice:
    __slots__ = (
        'denied',
        'expires_s',
        'failures',
        'pending',
        'retry_s',
        'tickets',
    )

    def __init__(self) -> None:
        self.tickets: dict[str, str] = {}
        self.expires_s: dict[str, float] = {}
        self.denied: set[str] = set()
        # Requests in flight.
        self.pending = 0
        self.failures = 0
        self.retry_s = 0.0


class AdviceCache:
    """Caches granted tickets, and requests those that are missing.

    The set of workers that may run a step never changes; only tickets
    expire. A renewal therefore names granted workers only, since each name
    adds to the time of the answer.
    """

    __slots__ = (
        '_grant_counts',
        '_now_s',
        '_on_change',
        '_request_limits',
        '_slowness',
        '_source',
        '_steps',
        '_tasks',
        'calls',
        'is_scarce',
        'limited_in_flight',
    )

    def __init__(
        self,
        source: ports.AdviceSource,
        now_s: collections.abc.Callable[[], float],
        tasks: anyio.abc.TaskGroup,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._source = source
        self._now_s = now_s
        self._tasks = tasks
        self._on_change = on_change
        self._steps: dict[str, _StepAdvice] = {}
        # Granted and named workers, by the terms.
        self._grant_counts: dict[cell.AdviceTerms, tuple[int, int]] = {}
        # When each cached limit expires, and the limit; None for no limit.
        self._request_limits: dict[
            cell.AdviceTerms, tuple[float, int | None]
        ] = {}
        # Time of an answer over its stated time, by the terms.
        self._slowness: dict[cell.AdviceTerms, float] = {}
        # Requests in flight that count against a limit.
        self.limited_in_flight = 0
        self.calls = 0
        # Whether more steps wait than hosts can request at a time.
        self.is_scarce = False

    def ticket(self, step: str, worker_id: str) -> str | None:
        """Return a worker's ticket for a step if it is valid now."""
        step_advice = self._steps.get(step)
        if step_advice is None:
            return None
        expires_s = step_advice.expires_s.get(worker_id, 0.0)
        if expires_s < self._now_s() + _TICKET_MARGIN_S:
            return None
        return step_advice.tickets[worker_id]

    def with_valid_ticket(self, step: str) -> frozenset[str]:
        """Return the workers with a ticket that is valid now."""
        step_advice = self._steps.get(step)
        if step_advice is None:
            return _NO_WORKERS
        limit_s = self._now_s() + _TICKET_MARGIN_S
        return frozenset(
            w for w, s in step_advice.expires_s.items() if s >= limit_s
        )

    def granted(self, step: str) -> collections.abc.Set[str]:
        """Return the workers granted so far, with valid tickets or not."""
        step_advice = self._steps.get(step)
        return (
            _NO_WORKERS if step_advice is None else step_advice.tickets.keys()
        )

    def is_valid_at(self, step: str, worker_id: str, at_s: float) -> bool:
        """Return whether a ticket is still valid at a time."""
        step_advice = self._steps.get(step)
        if step_advice is None:
            return False
        return (
            step_advice.expires_s.get(worker_id, 0.0) > at_s + _TICKET_MARGIN_S
        )

    def permits(self, step: str, worker_id: str) -> bool | None:
        """Return whether a worker may run a step; None if unknown."""
        step_advice = self._steps.get(step)
        if step_advice is None:
            return None
        if worker_id in step_advice.tickets:
            return True
        return False if worker_id in step_advice.denied else None

    def has_valid_ticket(self, step: str) -> bool:
        """Return whether any ticket of a step is valid now."""
        step_advice = self._steps.get(step)
        if step_advice is None:
            return False
        limit_s = self._now_s() + _TICKET_MARGIN_S
        return any(end_s > limit_s for end_s in step_advice.expires_s.values())

    def granted_share(self, terms: cell.AdviceTerms) -> float:
        """Return the estimated share of workers that is granted."""
        granted, total = self._grant_counts.get(terms, (0, 0))
        prior = _PRIOR_SHARE * _PRIOR_WEIGHT
        return (granted + prior) / (total + _PRIOR_WEIGHT)

    def answer_s(self, terms: cell.AdviceTerms, name_count: int) -> float:
        """Return how long an answer takes, as observed recently."""
        stated_s = terms.decide_s + terms.per_worker_s * name_count
        return self._slowness.get(terms, 1.0) * stated_s

    def _observe_slowness(
        self, terms: cell.AdviceTerms, ratio: float, *, is_answered: bool
    ) -> None:
        """Count an answer, or a time-out; refusals say nothing."""
        if not is_answered and ratio < 1.0:
            return
        ratio = min(max(1.0, ratio), _SLOWNESS_MAX)
        slowness = self._slowness.get(terms, 1.0)
        slowness += (ratio - slowness) * _SLOWNESS_WEIGHT
        self._slowness[terms] = slowness

    def may_request(self, step: str) -> bool:
        """Return whether a step has no request in flight or backoff."""
        step_advice = self._steps.get(step)
        return step_advice is None or (
            not step_advice.pending and self._now_s() >= step_advice.retry_s
        )

    def has_request_slot(self, terms: cell.AdviceTerms) -> bool:
        """Return whether a request would be sent at once.

        A queued one is answered after earlier ones however urgent it is, and
        names the workers that had capacity when it was queued.
        """
        limit = self.request_limit(terms)
        return limit is None or self.limited_in_flight < limit

    def request_limit(self, terms: cell.AdviceTerms) -> int | None:
        """Return how many requests may be in flight; None for any."""
        now_s = self._now_s()
        until_s, limit = self._request_limits.get(terms, (0.0, None))
        if now_s >= until_s:
            limit = self._source.max_concurrent(terms.decide_s)
            self._request_limits[terms] = now_s + _LIMIT_CACHE_S, limit
        return limit

    def invalidate(self, step: str, worker_id: str) -> None:
        """Discard a ticket that a worker refused."""
        step_advice = self._steps.get(step)
        if step_advice is not None:
            step_advice.expires_s.pop(worker_id, None)

    def drop_worker(self, worker_id: str) -> None:
        """Discard all advice on a worker that has restarted."""
        for step_advice in self._steps.values():
            step_advice.tickets.pop(worker_id, None)
            step_advice.expires_s.pop(worker_id, None)
            step_advice.denied.discard(worker_id)

    def drop_step(self, step: str) -> None:
        """Discard all advice on a step."""
        self._steps.pop(step, None)

    def request(
        self,
        step: str,
        worker_ids: collections.abc.Iterable[str],
        terms: cell.AdviceTerms,
    ) -> None:
        """Request advice about the workers that are not denied.

        Names beyond the limit of one request go out in concurrent ones. The
        step makes no other request until all are answered.
        """
        if not self.may_request(step) or not self.has_request_slot(terms):
            return
        step_advice = self._steps.setdefault(step, _StepAdvice())
        targets = [w for w in worker_ids if w not in step_advice.denied]
        for batch in _advice_targets.batches(targets):
            step_advice.pending += 1
            is_limited = self.request_limit(terms) is not None
            self.limited_in_flight += is_limited
            self._tasks.start_soon(
                self._request, step, step_advice, batch, terms, is_limited
            )

    async def _request(
        self,
        step: str,
        step_advice: _StepAdvice,
        targets: tuple[str, ...],
        terms: cell.AdviceTerms,
        is_limited: bool,
    ) -> None:
        expected_s = stated_s = terms.decide_s + terms.per_worker_s * len(
            targets
        )
        if is_limited and self.is_scarce:
            # Sent with the stated time, it would fail while the service is
            # slow. Brief requests are recognized by their stated time.
            expected_s = self.answer_s(terms, len(targets))
        self.calls += 1
        requested_s = self._now_s()
        answer = await self._source.request(step, targets, expected_s)
        step_advice.pending -= 1
        self.limited_in_flight -= is_limited
        elapsed_s = self._now_s() - requested_s
        _ADVICE_DURATION.observe(
            'failed' if answer.is_error() else 'done', elapsed_s
        )
        # Terms may state no time, which says nothing about slowness.
        if stated_s > 0.0:
            self._observe_slowness(
                terms, elapsed_s / stated_s, is_answered=answer.is_ok()
            )
        if answer.is_error():
            step_advice.failures += 1
            step_advice.retry_s = self._now_s() + _RETRY_BACKOFF_S * min(
                step_advice.failures, 5
            )
            _LOG.info(
                'advice.failed',
                step=step,
                named=len(targets),
                after_s=round(elapsed_s, 3),
                kind=answer.error.kind.value,
                detail=answer.error.detail,
            )
            self._on_change()
            return
        step_advice.failures = 0
        advice = answer.ok
        # Validity starts at the grant, within half a round trip before now:
        # counted from now, less a margin when used.
        expires_s = self._now_s() + advice.valid_s
        new_targets = [w for w in targets if w not in step_advice.tickets]
        granted, total = self._grant_counts.get(terms, (0, 0))
        granted += sum(w in advice.tickets for w in new_targets)
        self._grant_counts[terms] = granted, total + len(new_targets)
        for worker_id in targets:
            ticket = advice.tickets.get(worker_id)
            if ticket is None:
                step_advice.denied.add(worker_id)
            else:
                step_advice.tickets[worker_id] = ticket
                step_advice.expires_s[worker_id] = expires_s
        self._on_change()
