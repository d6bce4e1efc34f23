"""Log and bounded history of decisions on tasks and of ended jobs."""

from __future__ import annotations

import collections
import typing

import msgspec

from walnutpoint_core import logs
from walnutpoint_core import timer as timers
from walnutpoint_entry.jobs import _model

__all__ = ('EndedJob', 'JobJournal', 'TaskDecision')

_DECISIONS_MAX: typing.Final = 20_000
_ENDED_MAX: typing.Final = 1000

_LOG = logs.get_logger(__name__)


class TaskDecision(msgspec.Struct, frozen=True, kw_only=True):
    """A decision on an attempt of a task, as shown to operators."""

    job: str
    task: int
    attempt: int
    worker: str
    reason: str
    waited_s: float
    outcome: str


class EndedJob(msgspec.Struct, frozen=True, kw_only=True):
    """A job that ended while this process owned it."""

    job: str
    outcome: str
    reason: str


class JobJournal:
    """Logs decisions and keeps the newest in memory."""

    __slots__ = ('_decisions', '_ended', '_outcomes', '_timer')

    def __init__(self, timer: timers.Timer) -> None:
        self._timer = timer
        self._decisions: collections.deque[TaskDecision] = collections.deque(
            maxlen=_DECISIONS_MAX
        )
        self._ended: collections.deque[EndedJob] = collections.deque(
            maxlen=_ENDED_MAX
        )
        self._outcomes: collections.Counter[str] = collections.Counter()

    def record(
        self,
        job: _model.Job,
        task: _model.Task,
        reason: str,
        outcome: str,
        attempt: int | None = None,
    ) -> None:
        """Record a decision, by default on the newest attempt."""
        waited_s = self._timer.now_s() - task.waiting_since_s
        decision = TaskDecision(
            job=job.item.key,
            task=task.index,
            attempt=task.attempt if attempt is None else attempt,
            worker=task.worker,
            reason=reason,
            waited_s=round(waited_s, 3),
            outcome=outcome,
        )
        self._decisions.append(decision)
        self._outcomes[outcome] += 1
        _LOG.info('task', **msgspec.structs.asdict(decision))

    def record_ended(self, ended: EndedJob) -> None:
        """Record how a job ended."""
        self._ended.append(ended)
        _LOG.info('job_ended', **msgspec.structs.asdict(ended))

    def decisions(self, job: str) -> tuple[TaskDecision, ...]:
        """Return the decisions on a job, oldest first."""
        return tuple(entry for entry in self._decisions if entry.job == job)

    def ended(self) -> tuple[EndedJob, ...]:
        """Return the jobs that ended here, oldest first."""
        return tuple(self._ended)

    def outcomes(self) -> dict[str, int]:
        """Return how many decisions had each outcome."""
        return dict(self._outcomes)
