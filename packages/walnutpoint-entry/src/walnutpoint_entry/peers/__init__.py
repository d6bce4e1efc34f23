"""The protocol between entry processes."""

from __future__ import annotations

from walnutpoint_entry.peers._link import Link
from walnutpoint_entry.peers._link import LinkObserver
from walnutpoint_entry.peers._links import Links
from walnutpoint_entry.peers._server import PeerHandler
from walnutpoint_entry.peers._server import PeerServer

__all__ = (
    'Link',
    'LinkObserver',
    'Links',
    'PeerHandler',
    'PeerServer',
)
