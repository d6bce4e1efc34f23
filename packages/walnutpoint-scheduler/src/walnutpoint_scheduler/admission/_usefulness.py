"""Withholds advice requests from work whose results come too late."""

from __future__ import annotations

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
# A job that ends within this many times its objective still has some value.
_USEFUL_FACTOR: typing.Final = 3.0
# Advice about further workers does not help a step that waits for these.
_STUCK: typing.Final = frozenset(
    cause.value
    for cause in (
        _wait_cause.Cause.ACCOUNT_LIMIT,
        _wait_cause.Cause.DENIED,
        _wait_cause.Cause.NO_WORKER,
    )
)


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
    return end_ms > start_ms + _USEFUL_FACTOR * objective_ms


class AdviceContention:
    """Which waiting steps leave the advice service to useful ones.

    Requests are limited, so that useless steps would delay those of others.
    Without useful steps that need advice, they may request it.
    """

    __slots__ = ('_useless', 'is_contended')

    def __init__(
        self,
        queued_steps: collections.abc.Iterable[_placement_order.QueuedStep],
        now_ms: float,
    ) -> None:
        self.is_contended = False
        self._useless: list[_placement_order.QueuedStep] = []
        for queued in queued_steps:
            if queued.queue.advice is None:
                continue
            if is_useless(queued.queue, queued.step, now_ms):
                self._useless.append(queued)
            else:
                self.is_contended = True

    def withheld(self, idle_before_s: float) -> frozenset[str]:
        """Return the keys of the steps that may not request advice.

        The step that has waited longest in each pool is exempt once it is
        overdue, as nothing else would ever grant it a worker.
        """
        if not self.is_contended:
            return frozenset()
        longest_idle: dict[str, tuple[float, str]] = {}
        for queued in self._useless:
            step, pool = queued.step, queued.queue.pool
            since_s = step.idle_since_s
            if since_s is None or step.wait_cause in _STUCK:
                continue
            if since_s <= idle_before_s:
                waiting = since_s, step.key
                current = longest_idle.get(pool, waiting)
                longest_idle[pool] = min(current, waiting)
        exempt = {key for _, key in longest_idle.values()}
        return frozenset(queued.step.key for queued in self._useless) - exempt
