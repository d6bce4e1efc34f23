"""Prometheus metrics, updated from the process state at each scrape."""

from __future__ import annotations

import collections.abc

import aioprometheus
import aioprometheus.renderer

from walnutpoint_entry.operators import _views

__all__ = ('Metrics',)

_PREFIX = 'walnutpoint_'
_GAUGES = (
    'is_member',
    'is_confirmed',
    'is_stopping',
    'table_revision',
    'table_generation',
    'config_revision',
    'members',
    'peers_heard',
    'endpoints_active',
    'endpoints_pending',
    'shards_active',
    'slots',
    'slots_free',
    'backlog',
    'in_progress',
    'keys',
    'keys_in_flight',
    'key_answers_size_bytes',
)
_COUNTERS = ('done', 'not_run', 'unknown', 'store_calls', 'refused_tokens')


class Metrics:
    """Render the state of this process for Prometheus."""

    __slots__ = ('_collectors', '_registry')

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._collectors: dict[str, aioprometheus.Collector] = {}
        for name in _GAUGES:
            self._collectors[name] = aioprometheus.Gauge(
                _PREFIX + name, name.replace('_', ' '), registry=self._registry
            )
        for name in _COUNTERS:
            self._collectors[name] = aioprometheus.Counter(
                f'{_PREFIX}{name}_total',
                name.replace('_', ' '),
                registry=self._registry,
            )

    def render(
        self,
        status: _views.StatusView,
        accepts: collections.abc.Sequence[str],
    ) -> tuple[bytes, dict[str, str]]:
        """Return the metrics and their HTTP headers."""
        for name, collector in self._collectors.items():
            collector.set({}, float(getattr(status, name)))
        return aioprometheus.renderer.render(self._registry, accepts)
