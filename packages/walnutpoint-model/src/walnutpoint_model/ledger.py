"""A record of what workers ran, independent of the scheduler's state."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_scheduler import ports

__all__ = (
    'Ledger',
    'Observer',
)


class Observer(typing.Protocol):
    """Is told of each run."""

    def started(self, run: ports.RunName, worker: str) -> None:
        """Note a start."""

    def ended(self, run: ports.RunName, kind: ports.EndKind) -> None:
        """Note an end."""

    def crashed(
        self, worker: str, runs: collections.abc.Iterable[ports.RunName]
    ) -> None:
        """Note a crash of a worker under its runs."""


class Ledger:
    """Records all starts and ends on workers, and duplicate runs."""

    __slots__ = (
        'done',
        'observers',
        'on_start',
        'running',
        'starts',
        'starts_by_worker',
        'violations',
    )

    def __init__(self) -> None:
        self.starts: collections.Counter[ports.TaskName] = (
            collections.Counter()
        )
        self.starts_by_worker: collections.Counter[str] = collections.Counter()
        self.done: set[ports.TaskName] = set()
        self.running: dict[ports.TaskName, str] = {}
        self.violations: list[str] = []
        self.observers: list[Observer] = []
        self.on_start: collections.abc.Callable[
            [ports.TaskName, str], None
        ] = lambda _task, _worker: None

    def add_start_listener(
        self, callback: collections.abc.Callable[[ports.TaskName, str], None]
    ) -> None:
        """Call a function before each start is counted."""
        previous = self.on_start

        def notify(task: ports.TaskName, worker: str) -> None:
            previous(task, worker)
            callback(task, worker)

        self.on_start = notify

    def start(self, task: ports.TaskName, worker: str) -> None:
        """Count a start; a concurrent or repeated run is a violation."""
        self.on_start(task, worker)
        self.starts[task] += 1
        self.starts_by_worker[worker] += 1
        if task in self.running:
            self.violations.append(
                f'{task} runs on {self.running[task]} and {worker}'
            )
        if task in self.done:
            self.violations.append(f'{task} starts again after its end')
        self.running[task] = worker

    def revoke_end(self, task: ports.TaskName) -> None:
        """Revoke an end that was not acknowledged before its lease lapsed.

        The platform doesn't count such an end either: a task of a worker that
        is cut off has to run elsewhere, whether it has ended or not.
        """
        self.done.discard(task)

    def end(self, task: ports.TaskName, worker: str, done: bool) -> None:
        """Count an end."""
        if self.running.get(task) == worker:
            del self.running[task]
        if done:
            self.done.add(task)
