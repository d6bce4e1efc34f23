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
    'Ratio',
    'render',
)

_PREFIX: typing.Final = 'walnutpoint_'
# From the duration of a local call to the longest wait of a caller.
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
# From a tenth to ten times of what was expected.
_RATIO_BUCKETS: typing.Final = (
    0.1,
    0.25,
    0.5,
    0.7,
    0.85,
    1.0,
    1.2,
    1.5,
    2.0,
    4.0,
    10.0,
    math.inf,
)
_registry = aioprometheus.Registry()
_gauge_registry = aioprometheus.Registry()
_gauges: dict[str, aioprometheus.Gauge] = {}


class Counter:
    """Counts events by an outcome or reason."""

    __slots__ = ('_collector',)

    def __init__(self, name: str, description: str) -> None:
        self._collector = aioprometheus.Counter(
            f'{_PREFIX}{name}_total', description, registry=_registry
        )

    def add(self, outcome: str) -> None:
        """Count one event."""
        self._collector.inc({'outcome': outcome})


class Latency:
    """Collects durations by kind of operation."""

    __slots__ = ('_collector',)

    def __init__(self, name: str, description: str) -> None:
        self._collector = aioprometheus.Histogram(
            f'{_PREFIX}{name}_seconds',
            description,
            registry=_registry,
            buckets=_BUCKETS_S,
        )

    def observe(self, kind: str, duration_s: float) -> None:
        """Record one duration."""
        self._collector.observe({'kind': kind}, float(duration_s))


class Ratio:
    """Collects ratios of actual to expected values by kind."""

    __slots__ = ('_collector',)

    def __init__(self, name: str, description: str) -> None:
        self._collector = aioprometheus.Histogram(
            f'{_PREFIX}{name}_ratio',
            description,
            registry=_registry,
            buckets=_RATIO_BUCKETS,
        )

    def observe(self, kind: str, ratio: float) -> None:
        """Record one ratio."""
        self._collector.observe({'kind': kind}, float(ratio))


def render(
    gauge_values: collections.abc.Mapping[str, float],
) -> tuple[bytes, dict[str, str]]:
    """Return the metrics in Prometheus text format, and the headers.

    Gauges come first, so that a truncated text still shows the state of the
    process.
    """
    for name, value in gauge_values.items():
        gauge = _gauges.get(name)
        if gauge is None:
            gauge = _gauges[name] = aioprometheus.Gauge(
                _PREFIX + name,
                name.replace('_', ' '),
                registry=_gauge_registry,
            )
        gauge.set({}, value)
    gauges, headers = aioprometheus.renderer.render(_gauge_registry, [])
    event_metrics, _ = aioprometheus.renderer.render(_registry, [])
    return gauges + event_metrics, headers
