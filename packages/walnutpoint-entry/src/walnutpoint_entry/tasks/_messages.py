"""The messages between job owners and the owners of workers."""

from __future__ import annotations

import typing

import msgspec

from walnutpoint_core import errors
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _resources

__all__ = (
    'AcknowledgeCall',
    'Call',
    'CapacityCall',
    'CapacityReply',
    'Done',
    'Envelope',
    'Failed',
    'HoldCall',
    'Inventoried',
    'InventoryCall',
    'Reply',
    'Reported',
    'StartCall',
    'StopCall',
)


class HoldCall(msgspec.Struct, frozen=True, tag='hold'):
    """Hold capacity for a task."""

    spec: _model.TaskSpec
    hold_s: float
    avoid_domains: frozenset[str]


class StartCall(msgspec.Struct, frozen=True, tag='start'):
    """Start a task."""

    spec: _model.TaskSpec
    avoid_domains: frozenset[str]


class StopCall(msgspec.Struct, frozen=True, tag='stop'):
    """Release a hold or stop a running task."""

    key: _model.TaskKey
    attempt: int
    mode: _model.StopMode


class InventoryCall(msgspec.Struct, frozen=True, tag='inventory'):
    """Return a shard's tasks, complete only at one revision of the table."""

    shard: int
    shard_epoch: int
    table_revision: int


class AcknowledgeCall(msgspec.Struct, frozen=True, tag='acknowledge'):
    """Acknowledge ended tasks."""

    shard: int
    ended: tuple[_model.TaskReport, ...]


class CapacityCall(msgspec.Struct, frozen=True, tag='room'):
    """Query free capacity."""


Call: typing.TypeAlias = (
    HoldCall
    | StartCall
    | StopCall
    | InventoryCall
    | AcknowledgeCall
    | CapacityCall
)


class Envelope(msgspec.Struct, frozen=True):
    """A call to exactly one incarnation of a peer."""

    incarnation: int
    call: Call


class Reported(msgspec.Struct, frozen=True, tag='reported'):
    """The latest report of a task."""

    report: _model.TaskReport


class Inventoried(msgspec.Struct, frozen=True, tag='inventoried'):
    """The tasks of a shard."""

    inventory: _model.Inventory


class Done(msgspec.Struct, frozen=True, tag='done'):
    """The call succeeded."""


class CapacityReply(msgspec.Struct, frozen=True, tag='room'):
    """Free resources of each worker open to new tasks."""

    amounts: tuple[_resources.Resources, ...]
    is_for_batch: bool
    displaceable: tuple[_resources.Resources, ...] = ()


class Failed(msgspec.Struct, frozen=True, tag='failed'):
    """The call failed."""

    kind: errors.ErrorKind
    detail: str
    retry_after_s: float | None


Reply: typing.TypeAlias = (
    Reported | Inventoried | Done | CapacityReply | Failed
)
