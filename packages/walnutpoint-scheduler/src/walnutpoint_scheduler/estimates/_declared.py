"""Run times as declared, on workers of equal speed."""

from __future__ import annotations

from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document

__all__ = ('DeclaredRunTimes',)


class DeclaredRunTimes:
    """Estimates run times without observations."""

    __slots__ = ()

    def task_s(self, queue: str, step_key: str, step: document.Step) -> float:
        """Return the declared run time."""
        return step.expected_s

    def slowdown(self, worker: cell.ListedWorker) -> float:
        """Return 1, as no worker is known to be slower."""
        return 1.0

    def is_mixed(self, pool: str) -> bool:
        """Return False, as no worker is known to be slower."""
        return False
