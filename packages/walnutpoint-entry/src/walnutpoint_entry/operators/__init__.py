"""The surface of operators."""

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
    'DocumentParts',
    'EndpointRow',
    'EndpointsView',
    'ErrorRow',
    'ExplainView',
    'FaultRow',
    'HistoryView',
    'JobRow',
    'JobView',
    'JobViews',
    'JobsView',
    'NoJobViews',
    'OperatorHandler',
    'OperatorSurface',
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
DocumentParts = _document_views.DocumentParts
EndpointRow = _views.EndpointRow
EndpointsView = _views.EndpointsView
ErrorRow = _document_views.ErrorRow
ExplainView = _views.ExplainView
FaultRow = _document_views.FaultRow
HistoryView = _document_views.HistoryView
JobRow = _jobs.JobRow
JobView = _jobs.JobView
JobViews = _jobs.JobViews
JobsView = _jobs.JobsView
NoJobViews = _jobs.NoJobViews
OperatorHandler = _views.OperatorHandler
OperatorSurface = _app.OperatorSurface
OwnerRow = _views.OwnerRow
OwnersView = _views.OwnersView
RefusalView = _document_views.RefusalView
StatusView = _views.StatusView
SubmissionRow = _document_views.SubmissionRow
TaskRow = _jobs.TaskRow
new_submission_id = _documents.new_submission_id
read_text = _body.read_text
