"""Routing of requests to local endpoints and to peers."""

from __future__ import annotations

from walnutpoint_entry.routing._dispatcher import Dispatcher
from walnutpoint_entry.routing._fleet import Fleet
from walnutpoint_entry.routing._journal import Decision
from walnutpoint_entry.routing._journal import DecisionLog
from walnutpoint_entry.routing._peer_loads import PeerLoads
from walnutpoint_entry.routing._router import Router
from walnutpoint_entry.routing._shards import KeyShards
from walnutpoint_entry.routing._task_slots import TaskSlots
from walnutpoint_entry.routing._waiting import WaitQueue

__all__ = (
    'Decision',
    'DecisionLog',
    'Dispatcher',
    'Fleet',
    'KeyShards',
    'PeerLoads',
    'Router',
    'TaskSlots',
    'WaitQueue',
)
