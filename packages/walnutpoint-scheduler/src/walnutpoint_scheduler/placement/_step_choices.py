"""The groups chosen for the steps of one pass."""

from __future__ import annotations

import collections.abc

from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler.placement import _choice
from walnutpoint_scheduler.placement import _pool_speeds

__all__ = ('StepChoices',)

_Workers = list[_worker.WorkerState]


class StepChoices:
    """Tells which workers of a pool each step may use, and in which order.

    A step without a choice may use any: it lasts or fills, or the workers
    are alike, in which case speeds is None.
    """

    __slots__ = ('_by_step', '_speeds')

    def __init__(self, speeds: _pool_speeds.PoolSpeeds | None) -> None:
        self._speeds = speeds
        self._by_step: dict[str, _choice.GroupChoice | None] = {}

    def is_open(self, step_key: str) -> bool:
        """Return whether groups have to be chosen for a step."""
        return self._speeds is not None and step_key not in self._by_step

    def choose(
        self,
        queue: cell.Queue,
        step: _state.StepProgress,
        permitted: collections.abc.Collection[int],
    ) -> None:
        """Choose the groups of a step, given those it may run in at all."""
        if self._speeds is not None:
            choice = self._speeds.choose(queue, step, permitted)
            self._by_step[step.key] = choice

    def get(self, step_key: str) -> _choice.GroupChoice | None:
        """Return the choice of a step; None for any group."""
        return self._by_step.get(step_key)

    def group_of(self, worker: _worker.WorkerState) -> int:
        """Return the group of a worker, 0 for the quickest."""
        return 0 if self._speeds is None else self._speeds.group_of(worker)

    def grouped(
        self, workers: collections.abc.Iterable[_worker.WorkerState]
    ) -> list[_Workers]:
        """Return the workers of each group, in their order."""
        count = 1
        if self._speeds is not None:
            count = len(self._speeds.groups.slowdowns)
        groups: list[_Workers] = [[] for _ in range(count)]
        for worker in workers:
            groups[self.group_of(worker)].append(worker)
        return groups

    def preferred_first(self, workers: _Workers, step_key: str) -> _Workers:
        """Return workers by the preference of a step, else in their order."""
        choice = self._by_step.get(step_key)
        if choice is None or self._speeds is None:
            return workers
        return self._speeds.preferred_first(workers, choice)

    def may_use(self, worker: _worker.WorkerState, step_key: str) -> bool:
        """Return whether a step may use the group of a worker."""
        choice = self._by_step.get(step_key)
        return choice is None or self.group_of(worker) in choice.groups

    def run_s(
        self, worker: _worker.WorkerState, step: document.Step, step_key: str
    ) -> float:
        """Return the expected run time of a step's task on a worker."""
        choice = self._by_step.get(step_key)
        if choice is None:
            return step.expected_s
        return choice.run_s[self.group_of(worker)]

    def run_times_s(
        self, step: document.Step, step_key: str
    ) -> tuple[float, ...]:
        """Return the expected run time in each group that a step may use."""
        choice = self._by_step.get(step_key)
        if choice is None:
            return (step.expected_s,)
        return tuple(choice.run_s[number] for number in choice.groups)

    def extra_s(self, worker: _worker.WorkerState, step_key: str) -> float:
        """Return how much longer a task runs there than where quickest."""
        choice = self._by_step.get(step_key)
        return 0.0 if choice is None else choice.extra_s(self.group_of(worker))

    def gang_sets(self, workers: _Workers, step_key: str) -> list[_Workers]:
        """Return the workers to try in turn for all members of a gang.

        Each group that it may use, then all of these together: the members
        end together, and those on quick workers would wait.
        """
        choice = self._by_step.get(step_key)
        if choice is None:
            return [workers]
        groups = self.grouped(workers)
        sets = [groups[number] for number in choice.groups]
        if len(sets) > 1:
            sets.append([w for group in sets for w in group])
        return sets

    def decision(
        self, worker: _worker.WorkerState, step_key: str
    ) -> dict[str, object]:
        """Return what a step's start on a worker was decided by, to log."""
        choice = self._by_step.get(step_key)
        if choice is None:
            return {}
        number = self.group_of(worker)
        return {
            'group': number,
            'groups': len(choice.preference),
            'slack_s': round(choice.slack_s[number], 2),
        }
