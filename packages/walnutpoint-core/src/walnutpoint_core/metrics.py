"""Counters and latency histograms of one process."""

from __future__ import annotations

import collections.abc
import math
import typing

import aioprometheus
import aioprometheus.renderer

__all__ = (
    'Counter',
    'Latency',
    'render',
)

_PREFIX: typing.Final = 'walnutpoint_'
# From a local call to the longest that a caller waits, in seconds.
_BUCKETS_S: typing.Final = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    math.inf,
)
_registry = aioprometheus.Registry()
_gauge_registry = aioprometheus.Registry()
_gauges: dict[str, aioprometheus.Gauge] = {}


class Counter:
    """Counts events by an outcome or reason."""

    __slots__ = ('_collector',)

    def __init__(self, name: str, text: str) -> None:
        self._collector = aioprometheus.Counter(
            f'{_PREFIX}{name}_total', text, registry=_registry
        )

    def add(self, outcome: str) -> None:
        """Count one event."""
        self._collector.inc({'outcome': outcome})


class Latency:
    """Collects how long something took, by what it was."""

    __slots__ = ('_collector',)

    def __init__(self, name: str, text: str) -> None:
        self._collector = aioprometheus.Histogram(
            f'{_PREFIX}{name}_seconds',
            text,
            registry=_registry,
            buckets=_BUCKETS_S,
        )

    def observe(self, kind: str, duration_s: float) -> None:
        """Take in one duration."""
        self._collector.observe({'kind': kind}, float(duration_s))


def render(
    figures: collections.abc.Mapping[str, float],
) -> tuple[bytes, dict[str, str]]:
    """Return everything as text for Prometheus, and its headers.

    Gauges come first: a reader who keeps the beginning of a long text has the
    state of the process in it.
    """
    for name, value in figures.items():
        gauge = _gauges.get(name)
        if gauge is None:
            gauge = _gauges[name] = aioprometheus.Gauge(
                _PREFIX + name,
                name.replace('_', ' '),
                registry=_gauge_registry,
            )
        gauge.set({}, value)
    state, headers = aioprometheus.renderer.render(_gauge_registry, [])
    events, _ = aioprometheus.renderer.render(_registry, [])
    return state + events, headers
