"""The routing of requests to endpoints, here and at peers."""

from __future__ import annotations

from walnutpoint_entry.routing._dispatcher import Dispatcher
from walnutpoint_entry.routing._fleet import Fleet
from walnutpoint_entry.routing._hints import Hints
from walnutpoint_entry.routing._journal import Decision
from walnutpoint_entry.routing._journal import Journal
from walnutpoint_entry.routing._router import Router
from walnutpoint_entry.routing._shards import Shards
from walnutpoint_entry.routing._task_slots import TaskSlots
from walnutpoint_entry.routing._waiting import WaitingRoom

__all__ = (
    'Decision',
    'Dispatcher',
    'Fleet',
    'Hints',
    'Journal',
    'Router',
    'Shards',
    'TaskSlots',
    'WaitingRoom',
)
