"""Finds why a step waits, and logs each change of the cause."""

from __future__ import annotations

import collections.abc
import enum
import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _advice
from walnutpoint_scheduler import _reservations
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler import cell

__all__ = (
    'Cause',
    'find',
    'log',
)

_LOG: typing.Final = logs.get_logger('placer')


class Cause(enum.Enum):
    """The cause of a step's wait."""

    # Advice is incomplete, and no worker has been granted so far.
    ADVICE = 'advice'
    # The advice service denied every open worker.
    DENIED = 'denied'
    # A granted worker has free capacity, but the ticket has expired.
    TICKET = 'ticket'
    # The resource that the worker it waits for lacks.
    PROCESSOR = 'processor'
    MEMORY = 'memory'
    ACCELERATORS = 'accelerators'
    # The free capacity is reserved for earlier steps.
    HELD = 'held'
    # The workers that may run it failed recently, or have lasting runs.
    SET_ASIDE = 'set-aside'
    # It fits on no open worker, even an empty one.
    NO_WORKER = 'no-worker'
    # Not tried, as too many earlier steps of its pool wait.
    BEHIND = 'behind'
    # It may have crashed a worker, and waits for one to itself.
    SUSPECT = 'suspect'
    # Its client account has reached its limit.
    ACCOUNT_LIMIT = 'account-limit'
    # Its tasks may not share a worker, or a gang does not fit at once.
    SPREAD = 'spread'


def find(
    selector: _worker_selector.WorkerSelector,
    advice: _advice.AdviceCache,
    queue: cell.Queue,
    step: _state.StepProgress,
    reserved_workers: collections.abc.Sequence[_reservations.ReservedWorker],
) -> Cause:
    """Return why a step waits, given the workers reserved for it."""
    if not reserved_workers:
        return _find_unreserved_cause(selector, advice, queue, step)
    worker, wait_s = reserved_workers[0]
    lacking_resource = _lacking_resource(worker, step)
    if lacking_resource is not None:
        return lacking_resource
    if queue.advice is not None:
        if advice.ticket(step.key, worker.worker_id) is None:
            return Cause.TICKET
    # The step's own reservation counts as taken by now: only a wait shows
    # that earlier steps have reserved the capacity.
    return Cause.HELD if wait_s else Cause.SPREAD


def _find_unreserved_cause(
    selector: _worker_selector.WorkerSelector,
    advice: _advice.AdviceCache,
    queue: cell.Queue,
    step: _state.StepProgress,
) -> Cause:
    """Return why no capacity could be reserved for a step."""
    granted = None if queue.advice is None else advice.granted(step.key)
    if (
        granted
        and not step.step.gang
        and not advice.has_valid_ticket(step.key)
    ):
        return Cause.TICKET
    if selector.has_feasible(step.step, granted):
        return Cause.SPREAD if step.step.gang else Cause.SET_ASIDE
    if granted is not None and not advice.may_request(step.key):
        # A request is pending or about to be retried.
        return Cause.ADVICE
    feasible = selector.feasible(step.step)
    if not feasible:
        return Cause.NO_WORKER
    answers = (advice.permits(step.key, w.worker_id) for w in feasible)
    is_open = any(answer is None for answer in answers)
    return Cause.ADVICE if is_open else Cause.DENIED


def log(
    step: _state.StepProgress, queue: cell.Queue, cause: Cause, waiting: int
) -> None:
    """Log why a step waits, once per change."""
    if step.wait_cause == cause.value:
        return
    step.wait_cause = cause.value
    _LOG.info(
        'step.waits',
        step=step.key,
        queue=queue.name,
        cause=cause.value,
        tasks=waiting,
    )


def _lacking_resource(
    worker: _worker.WorkerState, step: _state.StepProgress
) -> Cause | None:
    free, need = worker.free, step.step.need
    if free.accelerators < need.accelerators:
        return Cause.ACCELERATORS
    if free.cpu_millicores < need.cpu_millicores:
        return Cause.PROCESSOR
    if free.memory_mb < need.memory_mb:
        return Cause.MEMORY
    return None
