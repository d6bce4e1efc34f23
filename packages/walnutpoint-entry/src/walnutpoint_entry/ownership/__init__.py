"""Ownership of endpoints and key shards by entry processes."""

from __future__ import annotations

from walnutpoint_entry.ownership._activity import Activity
from walnutpoint_entry.ownership._assets import AssetListener
from walnutpoint_entry.ownership._control import ControlStore
from walnutpoint_entry.ownership._peers import PeerState
from walnutpoint_entry.ownership._peers import ReleasedAsset
from walnutpoint_entry.ownership._peers import ReleaseSender
from walnutpoint_entry.ownership._service import OwnershipService
from walnutpoint_entry.ownership._succession import AcquiredAsset
from walnutpoint_entry.ownership._succession import LostAsset
from walnutpoint_entry.ownership._table import AssignmentTable
from walnutpoint_entry.ownership._table import is_shard
from walnutpoint_entry.ownership._table import Member
from walnutpoint_entry.ownership._table import shard_index
from walnutpoint_entry.ownership._table import shard_names
from walnutpoint_entry.ownership._table import StoredTable

__all__ = (
    'AcquiredAsset',
    'Activity',
    'AssetListener',
    'AssignmentTable',
    'ControlStore',
    'LostAsset',
    'Member',
    'OwnershipService',
    'PeerState',
    'StoredTable',
    'ReleaseSender',
    'ReleasedAsset',
    'is_shard',
    'shard_index',
    'shard_names',
)
