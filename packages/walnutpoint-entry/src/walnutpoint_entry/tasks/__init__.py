"""Tasks on the workers of this process and of its peers."""

from __future__ import annotations

from walnutpoint_entry.tasks import _contact
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _owner_clients
from walnutpoint_entry.tasks import _ports
from walnutpoint_entry.tasks import _remote
from walnutpoint_entry.tasks import _service
from walnutpoint_entry.tasks import _slots
from walnutpoint_entry.tasks import _worker

__all__ = (
    'HttpWorkers',
    'Inventory',
    'LeaseTimes',
    'OwnerClient',
    'OwnerClients',
    'PeerLink',
    'PeerOwnerClients',
    'SlotKeeper',
    'StopMode',
    'TaskClass',
    'TaskKey',
    'TaskReport',
    'TaskService',
    'TaskSpec',
    'TaskState',
    'Workers',
    'add_to_server',
)

OwnerClient = _ports.OwnerClient
OwnerClients = _ports.OwnerClients
HttpWorkers = _worker.HttpWorkers
Inventory = _model.Inventory
LeaseTimes = _contact.LeaseTimes
PeerOwnerClients = _owner_clients.PeerOwnerClients
PeerLink = _remote.PeerLink
SlotKeeper = _slots.SlotKeeper
StopMode = _model.StopMode
TaskClass = _model.TaskClass
TaskKey = _model.TaskKey
TaskReport = _model.TaskReport
TaskService = _service.TaskService
TaskSpec = _model.TaskSpec
TaskState = _model.TaskState
Workers = _worker.Workers
add_to_server = _remote.add_to_server
