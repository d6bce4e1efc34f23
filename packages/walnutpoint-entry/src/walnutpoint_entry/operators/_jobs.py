"""Operators' views of jobs."""

from __future__ import annotations

import typing

import msgspec

__all__ = (
    'JobRow',
    'JobView',
    'JobViewSource',
    'JobsView',
    'EmptyJobViewSource',
    'TaskRow',
)


class JobRow(msgspec.Struct, frozen=True):
    """The state of one job; is_failed is valid only if is_ended."""

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
    """The jobs of this process."""

    jobs: tuple[JobRow, ...]


class JobView(msgspec.Struct, frozen=True):
    """One job with its tasks."""

    job: JobRow
    tasks: tuple[TaskRow, ...] = ()


class JobViewSource(typing.Protocol):
    """Provides views of the jobs of this process."""

    def jobs(self) -> JobsView:
        """Return the jobs of this process."""

    def job(self, name: str) -> JobView | None:
        """Return a job by its team/name, or None if it is unknown."""


class EmptyJobViewSource:
    """Provide no views, for processes without a job service."""

    __slots__ = ()

    def jobs(self) -> JobsView:
        """Return an empty view."""
        return JobsView(())

    def job(self, name: str) -> JobView | None:
        """Return None."""
        return None
