"""Chooses which waiting steps may request advice and renew tickets.

The load: some hundred wide steps wait for a full pool, tickets expire within
seconds, and each host of the system handles one request at a time. If every
step requests, most tickets expire unused, and the steps that come first lack
tickets when capacity comes free.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import math

__all__ = (
    'WaitingStep',
    'WorkingSet',
    'choose',
)

# Enough steps that at most this share of the workers is granted to none of
# them, also while the tickets of some expire.
_UNGRANTED_SHARE_MAX = 0.005
# One in so many places is for the steps that have waited longest.
_PLACES_PER_OVERDUE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step that needs tickets, in placement order."""

    key: str
    # What its waiting tasks need, over the capacity of its pool that comes
    # free within the life of a ticket.
    demand: float
    # How long none of its tasks has run.
    idle_s: float
    # Whether it may enter by its order; others enter only once overdue.
    is_regular: bool = True
    # Whether it is placed first in its pool, as it has waited longest.
    is_promoted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WorkingSet:
    """The steps that may request advice, and why there are no more."""

    keys: frozenset[str]
    # Those that the expected capacity suffices for; the others need tickets
    # for what these may not use.
    first_keys: frozenset[str]
    # Whether more waits than comes free until an answer arrives.
    is_contested: bool
    # Those that entered as they had waited for too long.
    overdue_keys: frozenset[str]
    # Whether the budget of requests ended it rather than capacity.
    is_limited_by_budget: bool


def choose(
    steps: collections.abc.Sequence[WaitingStep],
    granted_share: float,
    places_max: int,
    overdue_s: float,
    answer_share: float,
) -> WorkingSet:
    """Return the first steps of a pool that capacity and budget allow.

    A granted share of a third lets each step use a third of the capacity, so
    that three times as many tasks are needed to use all of it. Steps that
    have waited for overdue_s get some places whatever their order, the
    longest waiting first; a promoted step always enters, as the pass places
    it first. An answer takes answer_share of a ticket's life.
    """
    share = min(max(granted_share, 0.01), 0.99)
    least = math.ceil(math.log(_UNGRANTED_SHARE_MAX) / math.log(1.0 - share))
    places_max = max(1, places_max)
    demand = 0.0
    count = 0
    first_count = 0
    regular = [step for step in steps if step.is_regular]
    for step in itertools.islice(regular, places_max):
        if count >= least and demand * share >= 1.0:
            break
        first_count += demand < 1.0
        demand += step.demand
        count += 1
    inside = frozenset(step.key for step in regular[:count])
    outside = [
        step
        for step in steps
        if step.key not in inside
        and (step.is_promoted or step.idle_s >= overdue_s)
    ]
    outside.sort(key=_longest_idle_first)
    overdue = frozenset(
        step.key for step in outside[: max(1, count // _PLACES_PER_OVERDUE)]
    )
    first = frozenset(step.key for step in regular[:first_count])
    return WorkingSet(
        inside | overdue,
        first | overdue,
        demand >= answer_share,
        overdue,
        count == places_max < len(regular),
    )


def _longest_idle_first(step: WaitingStep) -> tuple[bool, float, str]:
    """Return a sort key: a promoted step, then the longest idle."""
    return not step.is_promoted, -step.idle_s, step.key
