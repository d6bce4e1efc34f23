"""Records what workers see as events for the judge of promises."""

from __future__ import annotations

import collections.abc

from walnutpoint_model import promises
from walnutpoint_scheduler import ports

__all__ = ('RunRecorder',)


class RunRecorder:
    """Records starts, failed ends and crashes; observes a ledger."""

    __slots__ = ('_now_s', 'events')

    def __init__(self, now_s: collections.abc.Callable[[], float]) -> None:
        self._now_s = now_s
        self.events: list[promises.Event] = []

    def started(self, run: ports.RunName, worker: str) -> None:
        """Record a start."""
        self.events.append(
            promises.Started(self._now_s(), promises.Task(*run.task), worker)
        )

    def ended(self, run: ports.RunName, kind: ports.EndKind) -> None:
        """Record an end if it is failed."""
        if kind is ports.EndKind.FAILED:
            task = promises.Task(*run.task)
            self.events.append(
                promises.RunFailed(self._now_s(), task, run.attempt)
            )

    def crashed(
        self, worker: str, runs: collections.abc.Iterable[ports.RunName]
    ) -> None:
        """Record a crash of a worker."""
        tasks = tuple(promises.Task(*run.task) for run in runs)
        self.events.append(
            promises.WorkerCrashed(self._now_s(), worker, tasks)
        )
