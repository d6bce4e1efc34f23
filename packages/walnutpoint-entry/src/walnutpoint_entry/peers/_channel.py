"""gRPC channels that each use their own connection."""

from __future__ import annotations

import typing

import grpc
import grpc.aio

__all__ = (
    'MESSAGE_OVERHEAD_BYTES',
    'TOKEN_HEADER',
    'dial',
    'server_options',
)

MESSAGE_OVERHEAD_BYTES: typing.Final = 65_536
TOKEN_HEADER: typing.Final = 'walnutpoint-token'

_RECONNECT_BACKOFF_MS: typing.Final = 200


def dial(address: str, message_size_bytes: int) -> grpc.aio.Channel:
    """Open a channel that shares its connection with no other one."""
    # Channels to one address share a subchannel by default, so that a new
    # channel would reuse the silent connection of the one it replaces.
    options = (
        ('grpc.use_local_subchannel_pool', 1),
        ('grpc.initial_reconnect_backoff_ms', _RECONNECT_BACKOFF_MS),
        ('grpc.min_reconnect_backoff_ms', _RECONNECT_BACKOFF_MS),
        ('grpc.max_reconnect_backoff_ms', _RECONNECT_BACKOFF_MS),
        ('grpc.enable_retries', 0),
        ('grpc.enable_http_proxy', 0),
        *_size_options(message_size_bytes),
    )
    return grpc.aio.insecure_channel(address, options=options)


def server_options(message_size_bytes: int) -> tuple[tuple[str, int], ...]:
    """Return the options of the peer server."""
    return (('grpc.so_reuseport', 0), *_size_options(message_size_bytes))


def _size_options(message_size_bytes: int) -> tuple[tuple[str, int], ...]:
    size_bytes = message_size_bytes + MESSAGE_OVERHEAD_BYTES
    return (
        ('grpc.max_send_message_length', size_bytes),
        ('grpc.max_receive_message_length', size_bytes),
    )
