"""Adapters between the job service, the configuration and operators."""

from __future__ import annotations

import expression

from walnutpoint_core import documents
from walnutpoint_core import errors
from walnutpoint_entry import configuration as configuration_module
from walnutpoint_entry import jobs as jobs_module
from walnutpoint_entry import operators

__all__ = (
    'JobConfigurationSource',
    'OwnedJobViews',
)

_RUNNING = 'running'
_DONE = 'done'
_FAILED = 'failed'
_CANCELLED = 'cancelled'


class JobConfigurationSource:
    """Provide the job service with the configuration in force here."""

    __slots__ = ('_configuration', '_registry')

    def __init__(
        self,
        configuration: configuration_module.ConfigurationService,
        registry: documents.DocumentRegistry,
    ) -> None:
        self._configuration = configuration
        self._registry = registry

    def current(self) -> documents.Configuration:
        """Return the configuration in force here."""
        return self._configuration.configuration

    async def refresh(
        self,
    ) -> expression.Result[documents.Configuration, errors.Failure]:
        """Read the configuration from the store, and return it."""
        refreshed = await self._configuration.refresh()
        return refreshed.map(lambda _: self._configuration.configuration)

    async def finish(
        self, jobs: tuple[str, ...]
    ) -> expression.Result[documents.Accepted, documents.Refusal]:
        """Remove ended jobs from the configuration."""
        return await self._registry.finish(jobs)


class OwnedJobViews:
    """Provide views of the jobs that are owned here or ended here."""

    __slots__ = ('_jobs',)

    def __init__(self, jobs: jobs_module.JobService) -> None:
        self._jobs = jobs

    def jobs(self) -> operators.JobsView:
        """Return the jobs that are owned here or ended here."""
        rows = {view.job: _job_row(view) for view in self._jobs.jobs()}
        for ended in self._jobs.ended():
            rows.setdefault(ended.job, _ended_job_row(ended))
        return operators.JobsView(tuple(rows.values()))

    def job(self, name: str) -> operators.JobView | None:
        """Return a job by its team/name, or None if it is unknown."""
        explanation = self._jobs.explain(name)
        if explanation is None:
            return None
        if explanation.view is not None:
            row = _job_row(explanation.view)
        elif explanation.ended is not None:
            row = _ended_job_row(explanation.ended)
        else:
            return None
        return operators.JobView(row, _task_rows(explanation.decisions))


def _job_row(view: jobs_module.JobView) -> operators.JobRow:
    running = view.tasks.get(_RUNNING, 0)
    state = view.outcome or (_RUNNING if running else 'waiting')
    return operators.JobRow(
        job=view.job,
        kind=view.kind,
        state=state,
        is_ended=bool(view.outcome),
        is_failed=view.outcome in (_FAILED, _CANCELLED),
        tasks=sum(view.tasks.values()),
        running=running,
        finished=view.tasks.get(_DONE, 0),
        detail=view.reason,
    )


def _ended_job_row(ended: jobs_module.EndedJob) -> operators.JobRow:
    return operators.JobRow(
        job=ended.job,
        kind='',
        state=ended.outcome,
        is_ended=True,
        is_failed=ended.outcome != _DONE,
        tasks=0,
        running=0,
        finished=0,
        detail=ended.reason,
    )


def _task_rows(
    decisions: tuple[jobs_module.TaskDecision, ...],
) -> tuple[operators.TaskRow, ...]:
    newest = {decision.task: decision for decision in decisions}
    return tuple(
        operators.TaskRow(
            index=index,
            attempt=decision.attempt,
            state=f'{decision.reason} {decision.outcome}'.strip(),
            endpoint=decision.worker,
            run_s=0.0,
        )
        for index, decision in sorted(newest.items())
    )
