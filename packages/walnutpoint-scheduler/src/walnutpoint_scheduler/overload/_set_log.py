"""Logs the served sets, and the jobs whose place has changed."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from walnutpoint_core import logs
from walnutpoint_scheduler.overload import _served_set
from walnutpoint_scheduler.overload import _standing

__all__ = (
    'Group',
    'SetLog',
    'log_jobs',
)

_LOG: typing.Final = logs.get_logger('overload')
_PERIOD_S: typing.Final = 1.0


class Group(typing.NamedTuple):
    """Jobs that compete for the same share of a pool."""

    pool: str
    priority: int
    is_owed: bool


@dataclasses.dataclass(slots=True)
class _Logged:
    """What was logged last about a group, and when."""

    at_s: float
    counts: tuple[int, ...]


class SetLog:
    """Logs each group's set when it has changed, at most once a second."""

    __slots__ = ('_logged',)

    def __init__(self) -> None:
        self._logged: dict[Group, _Logged] = {}

    def log_set(
        self,
        group: Group,
        selection: _served_set.Selection,
        rate: float,
        utilization: float,
        now_s: float,
    ) -> None:
        """Log a group's set while it is overloaded, and once after."""
        counts = (
            int(selection.is_overloaded),
            len(selection.served),
            len(selection.dropped),
            len(selection.late),
            len(selection.useless),
        )
        last = self._logged.get(group)
        if not selection.is_overloaded and (
            last is None or not last.counts[0]
        ):
            return
        if last is not None and (
            now_s - last.at_s < _PERIOD_S or last.counts == counts
        ):
            return
        self._logged[group] = _Logged(now_s, counts)
        _LOG.info(
            'overload.set',
            pool=group.pool,
            priority=group.priority,
            owed=group.is_owed,
            overloaded=selection.is_overloaded,
            jobs=sum(counts[1:]),
            served=counts[1],
            dropped=counts[2],
            late=counts[3],
            useless=counts[4],
            rate=round(rate, 3),
            utilization=round(utilization, 3),
            served_drain_s=round(selection.served_drain_s, 2),
            drain_s=round(selection.drain_s, 2),
        )


def log_jobs(
    before: collections.abc.Mapping[str, _standing.Standing],
    after: collections.abc.Mapping[str, _standing.Standing],
    served_share: collections.abc.Callable[[str], float],
) -> None:
    """Log the jobs that have moved to another place."""
    for job_id, standing in after.items():
        former = before.get(job_id)
        if former is not None and former.place is standing.place:
            continue
        if former is None and standing.place is _standing.Place.SERVED:
            continue
        _LOG.info(
            'overload.job',
            job=job_id,
            place=standing.place.value,
            former='-' if former is None else former.place.value,
            order=round(standing.order, 4),
            size_served=round(served_share(job_id), 2),
        )
