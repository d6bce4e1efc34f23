"""Where a job stands among the others of its pool and priority."""

from __future__ import annotations

import collections.abc
import enum
import typing

from walnutpoint_scheduler.overload import _demand
from walnutpoint_scheduler.overload import _leaving
from walnutpoint_scheduler.overload import _served_set

__all__ = (
    'NEW',
    'Place',
    'Standing',
    'standings',
)

# Outside the set, large jobs of a starved class go before others of the same
# work: by this power of how much of its due share the class is served, which
# bounds how far it overshoots, and at most by a factor of twenty.
_STARVED_EXPONENT: typing.Final = 2.0
_STARVED_FACTOR_MIN: typing.Final = 0.05
# Outside the set, the work of an account above its share counts more, by this
# power of the excess. With 2, the others waited for 12% longer beside one that
# sends seven times its usual load, and for 9% with 4.
_EXCESS_EXPONENT: typing.Final = 4.0


class Place(enum.Enum):
    """What can be expected of a job in an overload."""

    SERVED = 'served'
    # Left out of the set.
    DROPPED = 'dropped'
    # Late by its own chain.
    LATE = 'late'
    USELESS = 'useless'
    # Not computed yet.
    NEW = 'new'
    # Has occurrences, each with a tier of its own.
    RECURRING = 'recurring'


_TIER_BY_PLACE: typing.Final = {
    Place.SERVED: 0,
    Place.DROPPED: 1,
    Place.LATE: 1,
    Place.USELESS: 2,
}


class Standing(typing.NamedTuple):
    """A job's position among the others of its pool and priority."""

    tier: int
    # Within the tier; the lowest goes first.
    order: float
    place: Place

    @property
    def replaces_tier(self) -> bool:
        """Return whether the tier by deadline does not apply."""
        return self.place in _TIER_BY_PLACE


# A job that the last computation lacks goes among the served ones, by
# deadline, until the next one: deadlines are not comparable with the remaining
# work that orders the other tiers.
NEW: typing.Final = Standing(0, 0.0, Place.NEW)


def standings(
    selection: _served_set.Selection,
    served_share: collections.abc.Callable[[str], float],
    levels: _leaving.ShareLevels | None = None,
) -> collections.abc.Iterator[tuple[str, Standing]]:
    """Return the standing of each job of an overloaded pool.

    Outside the set, the least remaining work goes first. Begun jobs have no
    precedence beyond that, as it would serve large jobs first. The work of
    large jobs counts less while their class is starved, and that of an
    account above its share counts more.
    """
    for demand in selection.served:
        tier = _TIER_BY_PLACE[Place.SERVED]
        yield (
            demand.job_id,
            Standing(tier, demand.deadline_ms, Place.SERVED),
        )
    for place, demands in (
        (Place.DROPPED, selection.dropped),
        (Place.LATE, selection.late),
        (Place.USELESS, selection.useless),
    ):
        for demand in demands:
            order = _order(demand, served_share(demand.job_id), levels)
            tier = _TIER_BY_PLACE[place]
            yield demand.job_id, Standing(tier, order, place)


def _order(
    demand: _demand.JobDemand,
    served_share: float,
    levels: _leaving.ShareLevels | None,
) -> float:
    order = demand.work_pool_s
    if served_share < 1.0:
        factor = served_share**_STARVED_EXPONENT
        order *= max(factor, _STARVED_FACTOR_MIN)
    if levels is not None:
        order *= levels.excess(demand.account) ** _EXCESS_EXPONENT
    return order
