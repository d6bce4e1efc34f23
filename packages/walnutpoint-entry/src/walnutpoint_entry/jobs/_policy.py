"""What the policy of a class decides for one job."""

from __future__ import annotations

import dataclasses
import enum
import typing

from walnutpoint_entry.jobs import _model
from walnutpoint_entry import tasks

__all__ = (
    'Context',
    'JobPolicy',
    'Plan',
    'Rank',
    'StartWish',
    'StopWish',
    'cancel_plan',
)

_LIVE: typing.Final = (_model.Phase.HELD, _model.Phase.RUNNING)


class Rank(enum.IntEnum):
    """In which order starts are tried."""

    SERVICE = 0
    PROMOTED = 1
    ENTITLED = 2
    BORROWED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What a policy may know besides the job."""

    now_s: float
    unix_now_s: float
    entitled: int
    may_borrow: bool
    policy: typing.Any
    starts_max: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartWish:
    """A task that is to start as soon as there is room."""

    task: _model.Task
    rank: Rank
    task_class: tasks.TaskClass
    avoid_domains: frozenset[str] = frozenset()

    @property
    def is_borrowed(self) -> bool:
        """Tell whether it starts on what others leave idle."""
        return self.rank is Rank.BORROWED


@dataclasses.dataclass(frozen=True, slots=True)
class StopWish:
    """A task that is to stop."""

    task: _model.Task
    mode: tasks.StopMode
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What is to be done for a job now."""

    starts: tuple[StartWish, ...] = ()
    stops: tuple[StopWish, ...] = ()
    reserve: tasks.TaskClass | None = None
    ending: _model.Ending | None = None
    reason: str = ''


class JobPolicy(typing.Protocol):
    """How the jobs of one kind start, restart and end."""

    def plan(self, job: _model.Job, context: Context) -> Plan:
        """Return what is to be done for a job now."""

    def end(
        self,
        job: _model.Job,
        task: _model.Task,
        state: tasks.TaskState,
        now_s: float,
    ) -> None:
        """Take the end of a task's newest attempt."""


def cancel_plan(job: _model.Job) -> Plan:
    """Stop all that runs of a job, then end it."""
    stops = tuple(
        StopWish(task, tasks.StopMode.STOP, 'cancelled')
        for task in job.in_phase(*_LIVE)
    )
    if job.may_run:
        return Plan(stops=stops, reason='cancelling')
    ending = _model.Ending(_model.Outcome.CANCELLED, 'by an operator')
    return Plan(ending=ending)
