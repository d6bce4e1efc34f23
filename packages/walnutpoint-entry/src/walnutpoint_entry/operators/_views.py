"""Operators' views of this process."""

from __future__ import annotations

import typing

import msgspec

from walnutpoint_entry import routing

__all__ = (
    'EndpointRow',
    'EndpointsView',
    'ExplainView',
    'OperatorHandler',
    'OwnerRow',
    'OwnersView',
    'StatusView',
)


class StatusView(msgspec.Struct, frozen=True):
    """The state of this process."""

    name: str
    domain: str
    address: str
    incarnation: int
    is_member: bool
    is_confirmed: bool
    is_stopping: bool
    table_revision: int
    table_generation: int
    config_revision: int
    members: int
    peers_heard: int
    endpoints_active: int
    endpoints_pending: int
    shards_active: int
    slots: int
    slots_free: int
    backlog: int
    in_progress: int
    keys: int
    keys_in_flight: int
    key_answers_size_bytes: int
    store_calls: int
    refused_tokens: int
    done: int
    not_run: int
    unknown: int


class EndpointRow(msgspec.Struct, frozen=True):
    """One endpoint that is owned here."""

    endpoint: str
    domain: str
    slots: int
    active: int
    doubtful: int
    free: int
    closed: str


class EndpointsView(msgspec.Struct, frozen=True):
    """The endpoints that are owned here."""

    endpoints: tuple[EndpointRow, ...]


class OwnerRow(msgspec.Struct, frozen=True):
    """One asset with its owner."""

    asset: str
    owner: str
    epoch: int


class OwnersView(msgspec.Struct, frozen=True):
    """The owners of all assets."""

    owners: tuple[OwnerRow, ...]


class ExplainView(msgspec.Struct, frozen=True):
    """The logged decisions on one request."""

    events: tuple[routing.Decision, ...]


class OperatorHandler(typing.Protocol):
    """Provides the views that the operators' API serves."""

    def status(self) -> StatusView:
        """Return the state of this process."""

    def endpoints(self) -> EndpointsView:
        """Return the endpoints that are owned here."""

    def owners(self) -> OwnersView:
        """Return the owners of all assets."""

    def explain(self, request_id: str) -> ExplainView:
        """Return the logged decisions on one request."""

    def count_refused_token(self) -> None:
        """Count a call with a wrong token or none."""
