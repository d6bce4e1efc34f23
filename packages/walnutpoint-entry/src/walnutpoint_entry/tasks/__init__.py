"""Tasks on the workers that this process owns."""

from __future__ import annotations

from walnutpoint_entry.tasks import _boards
from walnutpoint_entry.tasks import _contact
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _ports
from walnutpoint_entry.tasks import _remote
from walnutpoint_entry.tasks import _service
from walnutpoint_entry.tasks import _slots
from walnutpoint_entry.tasks import _worker

__all__ = (
    'Board',
    'Boards',
    'HttpWorkers',
    'Inventory',
    'LeaseTimes',
    'PeerBoards',
    'PeerLink',
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

Board = _ports.Board
Boards = _ports.Boards
HttpWorkers = _worker.HttpWorkers
Inventory = _model.Inventory
LeaseTimes = _contact.LeaseTimes
PeerBoards = _boards.PeerBoards
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
