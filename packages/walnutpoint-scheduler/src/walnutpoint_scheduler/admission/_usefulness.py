"""Withholds advice requests from work whose results come too late."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _wait_cause
from walnutpoint_scheduler import cell

__all__ = (
    'AdviceContention',
    'is_useless',
)

_MS_PER_S: typing.Final = 1000.0
# Advice about further workers does not help a step that waits for these.
_STUCK: typing.Final = frozenset(
    cause.value
    for cause in (
        _wait_cause.Cause.ACCOUNT_LIMIT,
        _wait_cause.Cause.DENIED,
        _wait_cause.Cause.NO_WORKER,
    )
)

# Pool and terms of advice.
_Key = tuple[str, cell.AdviceTerms]
# Returns how many requests may be in flight; None for any.
_RequestLimit = collections.abc.Callable[[cell.AdviceTerms], int | None]


def is_useless(
    queue: cell.Queue, step: _state.StepProgress, now_ms: float
) -> bool:
    """Return whether a step's job will end after its result is useful."""
    job = step.job
    document = job.document
    if document.lasting:
        return False
    start_ms = float(document.accepted_ms)
    if document.occurrence_count:
        start_ms = float(document.due_ms(step.occurrence))
    objective_ms = job.chain_ms * queue.stretch + queue.allowance_s * _MS_PER_S
    end_ms = now_ms + job.remaining_by_step_ms[step.number]
    return end_ms > start_ms + cell.USEFUL_FACTOR * objective_ms


class AdviceContention:
    """Which waiting steps leave the advice service to useful ones.

    Requests are limited, so that useless steps would delay those of others.
    Steps compete if they need workers of the same pool on the same terms:
    requests of urgent queues are answered too soon to be limited. Useless
    steps may request while all useful ones can do so at once.
    """

    __slots__ = ('_contended', '_useless', 'is_contended')

    def __init__(
        self,
        queued_steps: collections.abc.Iterable[_placement_order.QueuedStep],
        now_ms: float,
        request_limit: _RequestLimit,
    ) -> None:
        useful: collections.Counter[_Key] = collections.Counter()
        self._useless: list[_placement_order.QueuedStep] = []
        for queued in queued_steps:
            key = _key(queued.queue)
            if key is None:
                continue
            if not is_useless(queued.queue, queued.step, now_ms):
                useful[key] += queued.step.wait_cause not in _STUCK
            elif not _may_finish(queued.step):
                self._useless.append(queued)
        self._contended: set[_Key] = set()
        for key, count in useful.items():
            limit = request_limit(key[1])
            if limit is not None and count > limit:
                self._contended.add(key)
        self.is_contended = bool(self._contended)

    def withheld(self, idle_before_s: float) -> frozenset[str]:
        """Return the keys of the steps that may not request advice.

        The step that has waited longest in each pool is exempt once it is
        overdue, as nothing else would ever grant it a worker.
        """
        longest_idle: dict[str, tuple[float, str]] = {}
        keys = set()
        for queued in self._useless:
            step, pool = queued.step, queued.queue.pool
            if _key(queued.queue) not in self._contended:
                continue
            keys.add(step.key)
            since_s = step.idle_since_s
            if since_s is None or step.wait_cause in _STUCK:
                continue
            if since_s <= idle_before_s:
                waiting = since_s, step.key
                current = longest_idle.get(pool, waiting)
                longest_idle[pool] = min(current, waiting)
        return frozenset(keys - {key for _, key in longest_idle.values()})


def _key(queue: cell.Queue) -> _Key | None:
    """Return which steps a queue's steps compete with for advice."""
    return None if queue.advice is None else (queue.pool, queue.advice)


def _may_finish(step: _state.StepProgress) -> bool:
    """Return whether a useless step requests advice like others.

    One that has begun occupies its account and its caller until it ends. A
    gang reserves capacity on the workers granted to it, which would be idle
    for as long as it may not renew its tickets.
    """
    return (
        step.step.gang
        or step.done_count > 0
        or step.last_placed_s is not None
        or any(task.runs for task in step.tasks)
    )
