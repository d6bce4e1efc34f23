"""HTTP/1.1 for hot paths: a pooled client and a minimal server."""

from walnutpoint_core.web._address import is_address
from walnutpoint_core.web._client import Client
from walnutpoint_core.web._connection import ClientConnection
from walnutpoint_core.web._hedge import HedgedClient
from walnutpoint_core.web._hedge import RoundTripEstimator
from walnutpoint_core.web._message import json_response
from walnutpoint_core.web._message import NoResponse
from walnutpoint_core.web._message import Request
from walnutpoint_core.web._message import Response
from walnutpoint_core.web._server import Handler
from walnutpoint_core.web._server import Server

__all__ = (
    'Client',
    'ClientConnection',
    'Handler',
    'HedgedClient',
    'NoResponse',
    'Request',
    'Response',
    'RoundTripEstimator',
    'Server',
    'is_address',
    'json_response',
)
