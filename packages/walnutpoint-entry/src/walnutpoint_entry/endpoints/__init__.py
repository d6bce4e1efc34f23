"""HTTP/1.1 connections to endpoints, usage reports, doubtful slots."""

from __future__ import annotations

from walnutpoint_entry.endpoints import _call
from walnutpoint_entry.endpoints import _client
from walnutpoint_entry.endpoints import _doubt
from walnutpoint_entry.endpoints import _usage

__all__ = (
    'DoubtfulSlots',
    'EndpointCall',
    'EndpointClient',
    'EndpointReply',
    'UsageReport',
)

DoubtfulSlots = _doubt.DoubtfulSlots
EndpointCall = _call.EndpointCall
EndpointClient = _client.EndpointClient
EndpointReply = _call.EndpointReply
UsageReport = _usage.UsageReport
