"""Chooses the speed groups that a step's tasks may start in.

Handles the load in which workers of several speeds serve urgent tasks with a
tight objective beside work that can wait: the urgent tasks of a burst find
room on quick workers, as work with slack has been placed on slower ones.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from walnutpoint_scheduler.placement import _groups
from walnutpoint_scheduler.placement import _outlook

__all__ = (
    'GroupChoice',
    'choose',
)


@dataclasses.dataclass(frozen=True, slots=True)
class GroupChoice:
    """The groups that a step may use now, in order of preference."""

    groups: tuple[int, ...]
    # Every group of the pool, in order of preference.
    preference: tuple[int, ...]
    # Whether work with slack leaves the quick workers to others.
    is_slow_first: bool
    # Time left until the step must end, and its largest task's run time.
    left_s: float
    largest_s: float
    # The expected run time of a task on a usual worker.
    task_s: float

    def slack_s(self, slowdown: float) -> float:
        """Return the time left after the last task's end on a worker."""
        return self.left_s - self.largest_s * slowdown


def choose(
    outlook: _outlook.Outlook,
    groups: _groups.SpeedGroups,
    permitted: collections.abc.Collection[int],
) -> GroupChoice:
    """Return the groups that a step may use, each used up before the next.

    permitted are the numbers of the groups in which it may run at all.
    """
    slowdowns = groups.slowdowns
    numbers = sorted(permitted) or list(range(len(slowdowns)))
    quickest = slowdowns[numbers[0]]
    left_s = outlook.left_s(quickest)
    in_time = [
        number
        for number in numbers
        if outlook.largest_s * slowdowns[number] <= left_s
    ]
    # Waiting for a quick worker for as long as a slow one would take longer
    # can't pay any more.
    may_use = [
        number
        for number in numbers
        if number in in_time
        or outlook.waited_s >= outlook.task_s * (slowdowns[number] - quickest)
    ]
    is_slow_first = not outlook.is_urgent and len(in_time) > 1
    if is_slow_first:
        may_use = in_time[::-1] + may_use[len(in_time) :]
    others = [n for n in range(len(slowdowns)) if n not in may_use]
    return GroupChoice(
        tuple(may_use),
        tuple(may_use + others),
        is_slow_first,
        left_s,
        outlook.largest_s,
        outlook.task_s,
    )
