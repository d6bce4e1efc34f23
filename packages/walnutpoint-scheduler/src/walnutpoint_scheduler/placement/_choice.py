"""Chooses the speed groups that a step's tasks may start in.

Handles the load in which workers of several speeds serve urgent tasks with a
tight objective beside work that can wait: the urgent tasks of a burst find
room on quick workers, as work with slack has been placed on slower ones.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math

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
    # By group: the expected run time of a task, and the time left after the
    # expected end of the step's last task.
    run_s: tuple[float, ...]
    slack_s: tuple[float, ...]

    def extra_s(self, number: int) -> float:
        """Return how much longer a task takes than in the quickest group.

        Zero for work with slack, which ends in time on slower workers too.
        """
        if self.is_slow_first:
            return 0.0
        return self.run_s[number] - self.run_s[min(self.groups)]


def choose(
    outlook: _outlook.Outlook,
    groups: _groups.SpeedGroups,
    permitted: collections.abc.Collection[int],
) -> GroupChoice:
    """Return the groups that a step may use, each used up before the next.

    permitted are the numbers of the groups in which it may run at all. Others
    are chosen by the same rule, so that advice is requested about them.
    """
    slowdowns = groups.slowdowns
    numbers = range(len(slowdowns))
    quickest_number = min(permitted, default=0)
    quickest = slowdowns[quickest_number]
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
        if number <= quickest_number
        or number in in_time
        or outlook.waited_s >= outlook.task_s * (slowdowns[number] - quickest)
    ]
    # A copy replaces a run that may be lost or is late, so that it goes where
    # it ends soonest.
    is_copy = math.isinf(outlook.waited_s)
    is_slow_first = not outlook.is_urgent and not is_copy and len(in_time) > 1
    if is_slow_first:
        may_use = in_time[::-1] + may_use[len(in_time) :]
    others = [n for n in range(len(slowdowns)) if n not in may_use]
    return GroupChoice(
        tuple(may_use),
        tuple(may_use + others),
        is_slow_first,
        tuple(outlook.task_s * slowdown for slowdown in slowdowns),
        tuple(left_s - outlook.largest_s * slowdown for slowdown in slowdowns),
    )
