"""HTTP/1.1 for hot paths: a pooled client and a small server."""

from walnutpoint_core.web._client import Client
from walnutpoint_core.web._connection import ClientConnection
from walnutpoint_core.web._hedge import Hedge
from walnutpoint_core.web._hedge import RoundTrips
from walnutpoint_core.web._message import json_response
from walnutpoint_core.web._message import Loss
from walnutpoint_core.web._message import Request
from walnutpoint_core.web._message import Response
from walnutpoint_core.web._server import Handler
from walnutpoint_core.web._server import Server

__all__ = (
    'Client',
    'ClientConnection',
    'Handler',
    'Hedge',
    'Loss',
    'Request',
    'Response',
    'RoundTrips',
    'Server',
    'json_response',
)
