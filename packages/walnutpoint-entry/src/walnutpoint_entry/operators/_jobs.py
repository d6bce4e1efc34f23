"""What operators see of jobs."""

from __future__ import annotations

import typing

import msgspec

__all__ = (
    'JobRow',
    'JobView',
    'JobViews',
    'JobsView',
    'NoJobViews',
    'TaskRow',
)


class JobRow(msgspec.Struct, frozen=True):
    """The state of one job; is_failed counts only once it has ended."""

    job: str
    kind: str
    state: str
    is_ended: bool
    is_failed: bool
    tasks: int
    running: int
    finished: int
    detail: str = ''


class TaskRow(msgspec.Struct, frozen=True):
    """The newest attempt of one task."""

    index: int
    attempt: int
    state: str
    endpoint: str
    run_s: float


class JobsView(msgspec.Struct, frozen=True):
    """The jobs that are known here."""

    jobs: tuple[JobRow, ...]


class JobView(msgspec.Struct, frozen=True):
    """One job with its tasks."""

    job: JobRow
    tasks: tuple[TaskRow, ...] = ()


class JobViews(typing.Protocol):
    """A part that knows how jobs get on."""

    def jobs(self) -> JobsView:
        """Return the jobs that are known here."""

    def job(self, name: str) -> JobView | None:
        """Return one job by its team/name, or None."""


class NoJobViews:
    """Know of no jobs, where no part runs any."""

    __slots__ = ()

    def jobs(self) -> JobsView:
        """Return none."""
        return JobsView(())

    def job(self, name: str) -> JobView | None:
        """Return None."""
        return None
