"""Tasks that crash every worker that starts them, and workers' restarts."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import dataclasses
import typing

from walnutpoint_model import fleet as fleets
from walnutpoint_model import workers
from walnutpoint_scheduler import ports

__all__ = (
    'Crashes',
    'Restart',
)

# From the start of a crashing task to the crash of its worker.
_CRASH_DELAY_S: typing.Final = 0.01
# From a worker's crash to its next incarnation.
_RESTART_DELAY_S: typing.Final = 3.0


class Restart(typing.NamedTuple):
    """How a crashed worker restarts."""

    # From its crash to its start, and from there to its listing.
    after_s: float = _RESTART_DELAY_S
    listed_after_s: float = 0.0
    keeps_name: bool = False


class Crashes:
    """Crashes workers, by their tasks or for other causes, and restarts them.

    A new incarnation has the same address, no runs, and a new name unless it
    keeps the old one.
    """

    __slots__ = (
        '_crash_s',
        '_draw_restart',
        '_fleet',
        '_is_crashing',
        '_run_time',
        'crashed_by',
        'incarnations',
        'innocent_losses',
    )

    def __init__(
        self,
        fleet: fleets.Fleet,
        run_time: workers.RunTime,
        is_crashing: collections.abc.Callable[[ports.TaskName], bool],
        *,
        crash_s: float = _CRASH_DELAY_S,
        draw_restart: collections.abc.Callable[[], Restart] = Restart,
    ) -> None:
        self._fleet = fleet
        self._run_time = run_time
        self._is_crashing = is_crashing
        self._crash_s = crash_s
        self._draw_restart = draw_restart
        # How many workers each crashing task has crashed.
        self.crashed_by: collections.Counter[ports.TaskName] = (
            collections.Counter()
        )
        # How often each other task was lost with its worker.
        self.innocent_losses: collections.Counter[ports.TaskName] = (
            collections.Counter()
        )
        self.incarnations = 0
        fleet.ledger.add_start_listener(self._on_start)

    def crash(self, worker_id: str) -> None:
        """Crash a worker, and schedule its restart."""
        worker = self._fleet.workers.get(worker_id)
        if worker is None:
            return
        for run in worker.runs:
            if not self._is_crashing(run.task):
                self.innocent_losses[run.task] += 1
        listed = self._fleet.crash(worker_id)
        self.incarnations += 1
        restart = self._draw_restart()
        if not restart.keeps_name:
            name = f'{worker_id.partition("~")[0]}~{self.incarnations}'
            listed = dataclasses.replace(listed, worker_id=name)
        asyncio.get_running_loop().call_later(
            restart.after_s,
            self._fleet.add,
            listed,
            self._run_time,
            self.incarnations,
            restart.listed_after_s,
        )

    def _on_start(self, task: ports.TaskName, worker_id: str) -> None:
        if self._is_crashing(task):
            asyncio.get_running_loop().call_later(
                self._crash_s, self._crash_by, task, worker_id
            )

    def _crash_by(self, task: ports.TaskName, worker_id: str) -> None:
        worker = self._fleet.workers.get(worker_id)
        if worker is None or task not in {run.task for run in worker.runs}:
            return
        self.crashed_by[task] += 1
        self.crash(worker_id)
