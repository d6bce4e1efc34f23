"""Operator documents: parsing, validation and the stored configuration."""

from __future__ import annotations

from walnutpoint_core.documents import _capacity
from walnutpoint_core.documents import _change
from walnutpoint_core.documents import _checker
from walnutpoint_core.documents import _ending
from walnutpoint_core.documents import _fault
from walnutpoint_core.documents import _reference
from walnutpoint_core.documents import _registry
from walnutpoint_core.documents import _schema
from walnutpoint_core.documents import _state
from walnutpoint_core.documents import _view

__all__ = (
    'Accepted',
    'BatchJob',
    'BatchPolicy',
    'Configuration',
    'Deletions',
    'Document',
    'DocumentRegistry',
    'Entry',
    'FieldChange',
    'FieldFault',
    'GangJob',
    'GangPolicy',
    'HostCapacity',
    'HostShape',
    'Policies',
    'Quota',
    'Refusal',
    'Restart',
    'Service',
    'ServicePolicy',
    'Size',
    'Submission',
    'Team',
    'TeamPart',
    'UrgentPolicy',
    'apply',
    'check',
    'diff',
    'document_schema',
    'export',
    'finish',
    'reference',
    'to_yaml',
)

Accepted = _registry.Accepted
BatchJob = _schema.BatchJob
BatchPolicy = _schema.BatchPolicy
Configuration = _state.Configuration
Deletions = _schema.Deletions
Document = _schema.Document
DocumentRegistry = _registry.DocumentRegistry
Entry = _state.Entry
FieldChange = _view.FieldChange
FieldFault = _fault.FieldFault
GangJob = _schema.GangJob
GangPolicy = _schema.GangPolicy
HostCapacity = _capacity.HostCapacity
HostShape = _capacity.HostShape
Policies = _schema.Policies
Quota = _schema.Quota
Refusal = _registry.Refusal
Restart = _schema.Restart
Service = _schema.Service
ServicePolicy = _schema.ServicePolicy
Size = _schema.Size
Submission = _state.Submission
Team = _schema.Team
TeamPart = _state.TeamPart
UrgentPolicy = _schema.UrgentPolicy
apply = _change.apply
check = _checker.check
diff = _view.diff
document_schema = _checker.document_schema
export = _view.export
finish = _ending.finish
reference = _reference.reference
to_yaml = _view.to_yaml
