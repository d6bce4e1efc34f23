"""The period at which a host probes the scheduler."""

from __future__ import annotations

import typing

import xxhash

__all__ = ('period_s',)

# Limits a scheduler of many hosts to some hundred probes a second, so that it
# does not spend its core on them.
_PER_HOST_S: typing.Final = 0.01
# Hosts that start together would probe together for ever, and detect a killed
# scheduler only after a whole period. With jitter by host name their probes
# are spread over the whole period after two rounds.
_JITTER_MIN: typing.Final = 0.75
_JITTER_RANGE: typing.Final = 0.5
_HASH_RANGE: typing.Final = float(1 << 64)


def period_s(name: str, host_count: int, period_min_s: float) -> float:
    """Return a host's probe period, in seconds."""
    fraction = xxhash.xxh64_intdigest(name.encode()) / _HASH_RANGE
    mean_s = max(period_min_s, host_count * _PER_HOST_S)
    return mean_s * (_JITTER_MIN + _JITTER_RANGE * fraction)
