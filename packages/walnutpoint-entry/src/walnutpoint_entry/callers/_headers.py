"""Names of the HTTP headers of callers' requests and responses."""

from __future__ import annotations

import typing

__all__ = (
    'CLASS',
    'DEADLINE_S',
    'ENDPOINT',
    'IDEMPOTENCY_KEY',
    'IDEMPOTENT',
    'OUTCOME',
    'OWNER',
    'REQUEST_ID',
    'TEAM',
    'WAITED_MS',
)

PREFIX: typing.Final = 'walnutpoint-'
CLASS: typing.Final = 'walnutpoint-class'
DEADLINE_S: typing.Final = 'walnutpoint-deadline-s'
ENDPOINT: typing.Final = 'walnutpoint-endpoint'
IDEMPOTENCY_KEY: typing.Final = 'idempotency-key'
IDEMPOTENT: typing.Final = 'walnutpoint-idempotent'
OUTCOME: typing.Final = 'walnutpoint-outcome'
OWNER: typing.Final = 'walnutpoint-owner'
REQUEST_ID: typing.Final = 'walnutpoint-request-id'
TEAM: typing.Final = 'walnutpoint-team'
WAITED_MS: typing.Final = 'walnutpoint-waited-ms'
