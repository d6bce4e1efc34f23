"""The operators' HTTP API and its views."""

from __future__ import annotations

from walnutpoint_entry.operators import _app
from walnutpoint_entry.operators import _body
from walnutpoint_entry.operators import _document_views
from walnutpoint_entry.operators import _documents
from walnutpoint_entry.operators import _jobs
from walnutpoint_entry.operators import _views

__all__ = (
    'AcceptedView',
    'ChangeRow',
    'ConfigStatusView',
    'DiffView',
    'DocumentApi',
    'DocumentBackend',
    'EmptyJobViewSource',
    'EndpointRow',
    'EndpointsView',
    'ErrorRow',
    'ExplainView',
    'FaultRow',
    'HistoryView',
    'JobRow',
    'JobView',
    'JobViewSource',
    'JobsView',
    'OperatorHandler',
    'OperatorApi',
    'OwnerRow',
    'OwnersView',
    'RefusalView',
    'StatusView',
    'SubmissionRow',
    'TaskRow',
    'new_submission_id',
    'read_text',
)

AcceptedView = _document_views.AcceptedView
ChangeRow = _document_views.ChangeRow
ConfigStatusView = _document_views.ConfigStatusView
DiffView = _document_views.DiffView
DocumentApi = _documents.DocumentApi
DocumentBackend = _document_views.DocumentBackend
EmptyJobViewSource = _jobs.EmptyJobViewSource
EndpointRow = _views.EndpointRow
EndpointsView = _views.EndpointsView
ErrorRow = _document_views.ErrorRow
ExplainView = _views.ExplainView
FaultRow = _document_views.FaultRow
HistoryView = _document_views.HistoryView
JobRow = _jobs.JobRow
JobView = _jobs.JobView
JobViewSource = _jobs.JobViewSource
JobsView = _jobs.JobsView
OperatorHandler = _views.OperatorHandler
OperatorApi = _app.OperatorApi
OwnerRow = _views.OwnerRow
OwnersView = _views.OwnersView
RefusalView = _document_views.RefusalView
StatusView = _views.StatusView
SubmissionRow = _document_views.SubmissionRow
TaskRow = _jobs.TaskRow
new_submission_id = _documents.new_submission_id
read_text = _body.read_text
