"""Ends the other members of a gang when one of them ends."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import typing

from walnutpoint_model import fleet as fleets
from walnutpoint_scheduler import ports

__all__ = ('GangRuns',)

# Members that fail with the first one; the others are broken off.
_ALSO_FAILED_SHARE: typing.Final = 0.5
_KINDS: typing.Final = (ports.EndKind.DONE, ports.EndKind.FAILED)


class _Attempt(typing.NamedTuple):
    job_id: str
    occurrence: int
    step: int
    attempt: int


class GangRuns:
    """Observes the runs of a fleet, and ends each gang as a whole."""

    __slots__ = ('_ended', '_fleet', '_is_gang', '_random')

    def __init__(
        self,
        fleet: fleets.Fleet,
        is_gang: collections.abc.Callable[[ports.TaskName], bool],
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._is_gang = is_gang
        self._random = rng
        self._ended: set[_Attempt] = set()

    def started(self, run: ports.RunName, worker: str) -> None:
        """Break off a member that starts after the end of its attempt."""
        if _attempt(run) in self._ended:
            asyncio.get_running_loop().call_soon(
                self._end, run, ports.EndKind.BROKEN
            )

    def ended(self, run: ports.RunName, kind: ports.EndKind) -> None:
        """End the other members of the attempt."""
        attempt = _attempt(run)
        is_first = attempt not in self._ended
        if kind not in _KINDS or not is_first or not self._is_gang(run.task):
            return
        self._ended.add(attempt)
        members = [
            other
            for worker in self._fleet.workers.values()
            for other in worker.runs
            if _attempt(other) == attempt
        ]
        for other in members:
            end_kind = ports.EndKind.BROKEN
            if kind is ports.EndKind.FAILED:
                if self._random.random() < _ALSO_FAILED_SHARE:
                    end_kind = ports.EndKind.FAILED
            self._end(other, end_kind)

    def crashed(
        self, worker: str, runs: collections.abc.Iterable[ports.RunName]
    ) -> None:
        """Do nothing: the scheduler ends such a gang."""

    def _end(self, run: ports.RunName, kind: ports.EndKind) -> None:
        for worker in list(self._fleet.workers.values()):
            worker.end(run, kind)


def _attempt(run: ports.RunName) -> _Attempt:
    task = run.task
    return _Attempt(task.job_id, task.occurrence, task.step, run.attempt)
