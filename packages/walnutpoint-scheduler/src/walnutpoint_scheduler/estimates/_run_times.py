"""The interface through which decisions read run time estimates."""

from __future__ import annotations

import typing

from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document

__all__ = ('RunTimes',)


class RunTimes(typing.Protocol):
    """Estimates how long tasks run, in total and on a given worker."""

    def task_s(self, queue: str, step_key: str, step: document.Step) -> float:
        """Return the expected run time of a task on a usual worker.

        Infinite for a lasting step.
        """

    def slowdown(self, worker: cell.ListedWorker) -> float:
        """Return the run time on a worker over that on a usual worker."""

    def is_mixed(self, pool: str) -> bool:
        """Return whether the speeds of a pool's workers differ materially."""
