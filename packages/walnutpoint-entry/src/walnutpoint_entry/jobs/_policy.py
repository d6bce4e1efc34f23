"""Interface of the policies that plan the starts and stops of a job."""

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
    'PlannedStart',
    'PlannedStop',
    'plan_cancellation',
)

_STOPPABLE_PHASES: typing.Final = (_model.Phase.HELD, _model.Phase.RUNNING)


class Rank(enum.IntEnum):
    """Priority of a start; lower values are tried first."""

    SERVICE = 0
    PROMOTED = 1
    ENTITLED = 2
    BORROWED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Inputs of a policy besides the job."""

    now_s: float
    unix_now_s: float
    entitled: int
    may_borrow: bool
    policy: typing.Any
    starts_max: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStart:
    """A task to start as soon as there is capacity."""

    task: _model.Task
    rank: Rank
    task_class: tasks.TaskClass
    avoid_domains: frozenset[str] = frozenset()

    @property
    def is_borrowed(self) -> bool:
        """Return whether it uses capacity beyond the team's quota."""
        return self.rank is Rank.BORROWED


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """A task to stop, with the mode and the reason."""

    task: _model.Task
    mode: tasks.StopMode
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The actions that a policy requests for a job."""

    starts: tuple[PlannedStart, ...] = ()
    stops: tuple[PlannedStop, ...] = ()
    reserve: tasks.TaskClass | None = None
    ending: _model.Ending | None = None
    reason: str = ''


class JobPolicy(typing.Protocol):
    """Plans starts, restarts and the end of the jobs of one kind."""

    def plan(self, job: _model.Job, context: Context) -> Plan:
        """Return the actions to take for a job now."""

    def on_attempt_end(
        self,
        job: _model.Job,
        task: _model.Task,
        state: tasks.TaskState,
        now_s: float,
    ) -> None:
        """Update a task whose newest attempt has ended."""


def plan_cancellation(job: _model.Job) -> Plan:
    """Stop all tasks of a job, then end it."""
    stops = tuple(
        PlannedStop(task, tasks.StopMode.STOP, 'cancelled')
        for task in job.in_phase(*_STOPPABLE_PHASES)
    )
    if job.occupying_count:
        return Plan(stops=stops, reason='cancelling')
    ending = _model.Ending(_model.Outcome.CANCELLED, 'by an operator')
    return Plan(ending=ending)
