"""The speed groups of the pools, and of their workers in one pass."""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import estimates
from walnutpoint_scheduler.placement import _choice
from walnutpoint_scheduler.placement import _groups
from walnutpoint_scheduler.placement import _outlook

__all__ = (
    'PoolSpeeds',
    'SpeedRegister',
)

_LOG: typing.Final = logs.get_logger('placement')
# Several passes share the groups: estimates change with the reports of
# workers, which come up to 0.5 s apart.
_REFRESH_S: typing.Final = 0.25
# Least time between two log lines about a pool.
_LOG_INTERVAL_S: typing.Final = 2.0
# Changes of a group's slowdown by less than this share are not logged.
_MATERIAL_SHARE: typing.Final = 0.1


class PoolSpeeds:
    """The speed groups of the workers of one mixed pool in one pass."""

    __slots__ = (
        '_group_by_worker',
        '_now_ms',
        '_now_s',
        '_run_times',
        '_times_by_occurrence',
        '_usual',
        'groups',
    )

    def __init__(
        self,
        groups: _groups.SpeedGroups,
        workers: collections.abc.Iterable[_worker.WorkerState],
        run_times: estimates.RunTimes,
        now_s: float,
        now_ms: float,
    ) -> None:
        self.groups = groups
        self._run_times = run_times
        self._now_s = now_s
        self._now_ms = now_ms
        self._group_by_worker = {
            worker.worker_id: groups.number_of(
                run_times.slowdown(worker.listed)
            )
            for worker in workers
        }
        self._usual = groups.number_of(1.0)
        self._times_by_occurrence: dict[
            tuple[str, int], _outlook.ChainTimes
        ] = {}

    def group_of(self, worker: _worker.WorkerState) -> int:
        """Return the number of a worker's group, 0 for the quickest."""
        return self._group_by_worker.get(worker.worker_id, self._usual)

    def choose(
        self,
        queue: cell.Queue,
        step: _state.StepProgress,
        permitted: collections.abc.Collection[int],
        *,
        is_restart: bool = False,
    ) -> _choice.GroupChoice | None:
        """Return the groups that a step may use; None for any.

        Lasting tasks have no end, and filling tasks use what others leave.
        is_restart tells that a running task of the step would be stopped and
        wait from now on.
        """
        if step.job.document.lasting or step.step.fills:
            return None
        outlook = _outlook.outlook_of(
            step,
            queue,
            self._chain_times(step, queue),
            self._now_s,
            self._now_ms,
        )
        if is_restart and math.isinf(outlook.waited_s):
            outlook = dataclasses.replace(outlook, waited_s=0.0)
        return _choice.choose(outlook, self.groups, permitted)

    def _chain_times(
        self, step: _state.StepProgress, queue: cell.Queue
    ) -> _outlook.ChainTimes:
        """Return the times of a step's occurrence, computed once a pass."""
        key = step.job.document.job_id, step.occurrence
        times = self._times_by_occurrence.get(key)
        if times is None:
            times = _outlook.chain_times_of(
                step.job, step.occurrence, queue, self._run_times
            )
            self._times_by_occurrence[key] = times
        return times

    def preferred_first(
        self,
        workers: list[_worker.WorkerState],
        choice: _choice.GroupChoice,
    ) -> list[_worker.WorkerState]:
        """Return workers in the order of groups that a step prefers."""
        ranks = {number: n for n, number in enumerate(choice.preference)}
        return sorted(workers, key=lambda worker: ranks[self.group_of(worker)])


class SpeedRegister:
    """Finds the speed groups of mixed pools, and logs their changes."""

    __slots__ = ('_found', '_logged')

    def __init__(self) -> None:
        # By pool: when the groups were found or logged, and the groups.
        self._found: dict[str, tuple[float, _groups.SpeedGroups]] = {}
        self._logged: dict[str, tuple[float, _groups.SpeedGroups]] = {}

    def speeds(
        self,
        pool: str,
        workers: collections.abc.Sequence[_worker.WorkerState],
        run_times: estimates.RunTimes,
        now_s: float,
        now_ms: float,
    ) -> PoolSpeeds | None:
        """Return the speeds of a mixed pool; None if it is one group."""
        found = self._found.get(pool)
        if found is None or now_s - found[0] >= _REFRESH_S:
            groups = _groups.find_groups(
                run_times.slowdown(worker.listed) for worker in workers
            )
            found = self._found[pool] = now_s, groups
            self._log(pool, groups, now_s)
        if len(found[1].slowdowns) < 2:
            return None
        return PoolSpeeds(found[1], workers, run_times, now_s, now_ms)

    def _log(
        self, pool: str, groups: _groups.SpeedGroups, now_s: float
    ) -> None:
        """Log the groups of a pool after a material change."""
        logged = self._logged.get(pool)
        if logged is not None and (
            now_s - logged[0] < _LOG_INTERVAL_S
            or not _differ(logged[1], groups)
        ):
            return
        self._logged[pool] = now_s, groups
        _LOG.info(
            'placement.groups',
            pool=pool,
            slowdowns=_rounded(groups.slowdowns),
            bounds=_rounded(groups.bounds),
        )


def _differ(before: _groups.SpeedGroups, after: _groups.SpeedGroups) -> bool:
    """Return whether the groups of a pool have changed materially."""
    return len(before.slowdowns) != len(after.slowdowns) or any(
        abs(new - old) > old * _MATERIAL_SHARE
        for old, new in zip(before.slowdowns, after.slowdowns, strict=True)
    )


def _rounded(values: tuple[float, ...]) -> str:
    return ','.join(f'{value:.2f}' for value in values)
