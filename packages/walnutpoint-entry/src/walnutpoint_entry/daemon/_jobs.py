"""The job owner's view of the configuration, and operators' of jobs."""

from __future__ import annotations

import expression

from walnutpoint_core import documents
from walnutpoint_core import errors
from walnutpoint_entry import configuration as configuration_module
from walnutpoint_entry import jobs as jobs_module
from walnutpoint_entry import operators

__all__ = (
    'JobConfigurations',
    'JobRows',
)

_RUNNING = 'running'
_DONE = 'done'
_FAILED = 'failed'
_CANCELLED = 'cancelled'


class JobConfigurations:
    """Give the job owner the configuration that is in force here."""

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
        """Read what is in force from the store, and return it."""
        read = await self._configuration.refresh()
        return read.map(lambda _: self._configuration.configuration)

    async def finish(
        self, jobs: tuple[str, ...]
    ) -> expression.Result[documents.Accepted, documents.Refusal]:
        """Take ended jobs out of the configuration."""
        return await self._registry.finish(jobs)


class JobRows:
    """Show operators the jobs that are owned here or ended here."""

    __slots__ = ('_jobs',)

    def __init__(self, jobs: jobs_module.JobService) -> None:
        self._jobs = jobs

    def jobs(self) -> operators.JobsView:
        """Return the jobs that are known here."""
        known = {view.job: _row(view) for view in self._jobs.jobs()}
        for ended in self._jobs.ended():
            known.setdefault(ended.job, _ended_row(ended))
        return operators.JobsView(tuple(known.values()))

    def job(self, name: str) -> operators.JobView | None:
        """Return one job by its team/name, or None."""
        explained = self._jobs.explain(name)
        if explained is None:
            return None
        if explained.view is not None:
            row = _row(explained.view)
        elif explained.ended is not None:
            row = _ended_row(explained.ended)
        else:
            return None
        return operators.JobView(row, _tasks(explained.decisions))


def _row(view: jobs_module.JobView) -> operators.JobRow:
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


def _ended_row(ended: jobs_module.EndedJob) -> operators.JobRow:
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


def _tasks(
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
