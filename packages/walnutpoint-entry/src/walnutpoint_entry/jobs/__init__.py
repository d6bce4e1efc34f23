"""The job owner runs jobs, services and gangs of the owned shards."""

from __future__ import annotations

from walnutpoint_entry.jobs import _journal
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _ports
from walnutpoint_entry.jobs import _service_loop
from walnutpoint_entry.jobs import _views

__all__ = (
    'ConfigurationSource',
    'EndedJob',
    'Explanation',
    'JobService',
    'JobSettings',
    'JobView',
    'Ownership',
    'TaskDecision',
    'job_family',
    'job_shard',
)

ConfigurationSource = _ports.ConfigurationSource
EndedJob = _journal.EndedJob
Explanation = _views.Explanation
JobService = _service_loop.JobService
JobSettings = _ports.JobSettings
JobView = _views.JobView
Ownership = _ports.Ownership
TaskDecision = _journal.TaskDecision
job_family = _model.job_family
job_shard = _model.job_shard
