"""Failures of calls while the store is down."""

from __future__ import annotations

import typing

from walnutpoint_core import errors

__all__ = (
    'failure',
    'is_recent',
)

# Retry delay in an outage. Callers have few retries: a recent outage gets the
# longer delay, a long one is likely to end soon.
_RECENT_OUTAGE_S: typing.Final = 3.0
_RETRY_RECENT_S: typing.Final = 2.0
_RETRY_OLD_S: typing.Final = 1.0


def is_recent(silent_s: float) -> bool:
    """Return whether an outage is too recent to end soon."""
    return silent_s < _RECENT_OUTAGE_S


def failure(silent_s: float) -> errors.Failure:
    """Return the failure of a call after a silence of the store."""
    return errors.Failure(
        errors.ErrorKind.STORE_UNAVAILABLE,
        f'the store is silent for {silent_s:.1f} s',
        _RETRY_RECENT_S if is_recent(silent_s) else _RETRY_OLD_S,
    )
