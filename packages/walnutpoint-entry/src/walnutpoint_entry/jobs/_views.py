"""Views of jobs for operators."""

from __future__ import annotations

import msgspec

from walnutpoint_entry.jobs import _journal
from walnutpoint_entry.jobs import _model

__all__ = ('Explanation', 'JobView', 'view')


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """State of one job or service."""

    job: str
    kind: str
    team: str
    shard: int
    is_cancelled: bool
    outcome: str
    reason: str
    tasks: dict[str, int]
    failures: int
    preemptions: int


class Explanation(msgspec.Struct, frozen=True):
    """State of a job, the decisions on its tasks, and how it ended."""

    view: JobView | None
    decisions: tuple[_journal.TaskDecision, ...]
    ended: _journal.EndedJob | None


def view(job: _model.Job) -> JobView:
    """Return the state of a job for operators."""
    counts = {
        phase.value: job.count(phase)
        for phase in _model.Phase
        if job.count(phase)
    }
    reason = job.reason
    if not job.count(_model.Phase.READY) and not job.item.is_cancelled:
        reason = ''
    return JobView(
        job=job.item.key,
        kind=job.item.kind.value,
        team=job.item.team,
        shard=job.shard,
        is_cancelled=job.item.is_cancelled,
        outcome=job.ending.outcome.value if job.ending else '',
        reason=reason,
        tasks=counts,
        failures=job.failures
        + sum(task.failures for task in job.tasks.values()),
        preemptions=sum(task.preemptions for task in job.tasks.values()),
    )
