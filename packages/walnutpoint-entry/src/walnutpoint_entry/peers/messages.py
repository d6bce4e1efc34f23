"""Messages of the peer protocol that other packages use."""

from __future__ import annotations

from walnutpoint_entry.peers._generated import peer_pb2

__all__ = (
    'KeyBatch',
    'ReleaseMessage',
    'Released',
)

KeyBatch = peer_pb2.KeyBatch
ReleaseMessage = peer_pb2.ReleaseMessage
Released = peer_pb2.Released
