"""The order in which waiting steps are placed."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_scheduler import _state
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import overload

__all__ = (
    'QueuedStep',
    'promote',
    'rank',
)

_MS_PER_S: typing.Final = 1000.0


class QueuedStep(typing.NamedTuple):
    """A step with startable tasks, and its rank in the placement order."""

    rank: tuple[int, bool, int, float, str]
    queue: cell.Queue
    step: _state.StepProgress


def rank(
    queue: cell.Queue,
    step: _state.StepProgress,
    now_ms: float,
    late_tiers: bool = True,
    owed_first: bool = True,
    standing: overload.Standing | None = None,
) -> tuple[int, bool, int, float, str]:
    """Return a step's rank by what its caller loses by waiting.

    Jobs beyond their account's rate follow the others of the same priority.
    They stay ahead of less urgent work, whose reservations would otherwise
    leave capacity idle. In an overload, a job's standing replaces the tiers;
    a job with occurrences keeps them, and goes by work within the late ones.
    """
    job = step.job
    is_over_rate = owed_first and not job.is_owed
    if standing is not None and standing.replaces_tier:
        tier, order, _ = standing
        return queue.priority, is_over_rate, tier, order, step.key
    document = job.document
    start_ms = float(document.accepted_ms)
    if document.occurrence_count:
        start_ms = float(document.due_ms(step.occurrence))
    objective_ms = job.chain_ms * queue.stretch + queue.allowance_s * _MS_PER_S
    remaining_ms = job.remaining_by_step_ms[step.number]
    deadline_ms = start_ms + objective_ms
    is_on_time = now_ms + remaining_ms <= deadline_ms
    if document.lasting or is_on_time or not late_tiers:
        tier = 0
    elif now_ms + remaining_ms <= start_ms + cell.USEFUL_FACTOR * objective_ms:
        tier = 1
    else:
        tier = 2
    order = deadline_ms
    if standing is not None:
        if standing.place is overload.Place.NEW:
            tier = 0
        elif tier:
            order = standing.order
    return queue.priority, is_over_rate, tier, order, step.key


def promote(
    queued_steps: collections.abc.Sequence[QueuedStep],
    idle_before_s: float,
    may_start: collections.abc.Callable[[QueuedStep], bool],
) -> list[QueuedStep]:
    """Return the longest waiting step of each pool that is overdue.

    Prevents starvation: under steady load more urgent or earlier deadlines
    keep arriving, and a late job, or one that few workers may run, would
    never start. Only one step per pool goes first, and only until one of its
    tasks runs, so that urgent work loses the capacity of one task or gang.
    """
    longest_idle: dict[str, QueuedStep] = {}
    for queued in queued_steps:
        since_s = queued.step.idle_since_s
        if since_s is None or since_s > idle_before_s:
            continue
        current = longest_idle.get(queued.queue.pool)
        if current is not None:
            current_s = typing.cast(float, current.step.idle_since_s)
            if current_s <= since_s:
                continue
        if may_start(queued):
            longest_idle[queued.queue.pool] = queued
    return list(longest_idle.values())
