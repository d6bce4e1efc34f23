"""Outlier detection: ejects endpoints that fail their requests."""

from __future__ import annotations

import dataclasses
import typing

__all__ = ('OutlierDetector',)

_WINDOW_S: typing.Final = 1.0
_WINDOW_FAILURES_FACTOR: typing.Final = 2
_EJECTED_DIVISOR: typing.Final = 3
_RECOVERED_AFTER_SUCCESSES: typing.Final = 10
_DOUBLINGS_MAX: typing.Final = 32


@dataclasses.dataclass(slots=True, eq=False)
class _Health:
    """Result counters of one endpoint."""

    failures_in_row: int = 0
    successes_in_row: int = 0
    window_start_s: float = 0.0
    window_failures: int = 0
    window_results: int = 0
    doublings: int = 0

    def record(self, ok: bool, now_s: float) -> None:
        if now_s - self.window_start_s > _WINDOW_S:
            self.window_start_s = now_s
            self.window_failures = self.window_results = 0
        self.window_results += 1
        if ok:
            self.failures_in_row = 0
            self.successes_in_row += 1
        else:
            self.window_failures += 1
            self.failures_in_row += 1
            self.successes_in_row = 0
        if self.successes_in_row >= _RECOVERED_AFTER_SUCCESSES:
            self.doublings = 0

    def clear(self) -> None:
        self.failures_in_row = self.successes_in_row = 0
        self.window_failures = self.window_results = 0


@dataclasses.dataclass(slots=True, eq=False)
class _Ejection:
    """The ejection of one endpoint."""

    until_s: float
    probing: bool = False


class OutlierDetector:
    """Ejects failing endpoints, a third at most, and probes them later."""

    __slots__ = (
        '_eject_after',
        '_eject_max_s',
        '_eject_s',
        '_ejections',
        '_healths',
    )

    def __init__(
        self, eject_after_failures: int, eject_s: float, eject_max_s: float
    ) -> None:
        """Create a detector that monitors no endpoint."""
        self._eject_after = eject_after_failures
        self._eject_s = eject_s
        self._eject_max_s = eject_max_s
        self._healths: dict[str, _Health] = {}
        self._ejections: dict[str, _Ejection] = {}

    def watch(self, endpoint: str) -> None:
        """Start monitoring an endpoint."""
        self._healths.setdefault(endpoint, _Health())

    def forget(self, endpoint: str) -> None:
        """Stop monitoring an endpoint; this may reinstate others."""
        self._healths.pop(endpoint, None)
        self._ejections.pop(endpoint, None)
        # As healthy endpoints leave, only ejected ones would remain and
        # nothing be served: keep to the bound as the number falls.
        while len(self._ejections) * _EJECTED_DIVISOR > len(self._healths):
            self._reinstate(
                min(
                    self._ejections,
                    key=lambda name: self._ejections[name].until_s,
                )
            )

    def observe(self, endpoint: str, ok: bool, now_s: float) -> None:
        """Record the result of a request or probe."""
        health = self._healths.get(endpoint)
        if health is None:
            return
        ejection = self._ejections.get(endpoint)
        if ejection is not None:
            self._observe_ejected(endpoint, ejection, ok, now_s)
            return
        health.record(ok, now_s)
        if not ok and self._is_outlier(health) and self._may_eject_more():
            self._eject(endpoint, health, now_s)

    def begin_probe(self, endpoint: str, now_s: float) -> None:
        """Treat the next result of an ejected endpoint as its probe's."""
        ejection = self._ejections.get(endpoint)
        if ejection is None:
            return
        ejection.probing = True
        # If the result never arrives, a later probe must still be due.
        ejection.until_s = now_s + self._ejection_s(self._healths[endpoint])

    def due_probes(self, now_s: float) -> tuple[str, ...]:
        """Return the ejected endpoints that may get one probe now."""
        return tuple(
            endpoint
            for endpoint, ejection in self._ejections.items()
            if ejection.until_s <= now_s
        )

    def is_due(self, endpoint: str, now_s: float) -> bool:
        """Return whether an ejected endpoint may get a probe now."""
        ejection = self._ejections.get(endpoint)
        return ejection is not None and ejection.until_s <= now_s

    def ejected(self) -> frozenset[str]:
        """Return the endpoints that should get no new work."""
        return frozenset(self._ejections)

    def is_ejected(self, endpoint: str) -> bool:
        """Return whether one endpoint should get no new work."""
        return endpoint in self._ejections

    def _observe_ejected(
        self, endpoint: str, ejection: _Ejection, ok: bool, now_s: float
    ) -> None:
        # Results of requests sent before the ejection still arrive; treated
        # as a probe's they would extend or end the ejection.
        if not ejection.probing:
            return
        if ok:
            self._reinstate(endpoint)
            return
        self._eject(endpoint, self._healths[endpoint], now_s)

    def _is_outlier(self, health: _Health) -> bool:
        if health.failures_in_row >= self._eject_after:
            return True
        # Fast failures free their slots at once and attract most requests; a
        # rare success in between must not hide that.
        enough = _WINDOW_FAILURES_FACTOR * self._eject_after
        return (
            health.window_failures >= enough
            and 2 * health.window_failures > health.window_results
        )

    def _may_eject_more(self) -> bool:
        wanted = len(self._ejections) + 1
        return wanted * _EJECTED_DIVISOR <= len(self._healths)

    def _eject(self, endpoint: str, health: _Health, now_s: float) -> None:
        ejection_s = self._ejection_s(health)
        self._ejections[endpoint] = _Ejection(now_s + ejection_s)
        health.doublings = min(health.doublings + 1, _DOUBLINGS_MAX)
        health.clear()

    def _reinstate(self, endpoint: str) -> None:
        del self._ejections[endpoint]
        self._healths[endpoint].clear()

    def _ejection_s(self, health: _Health) -> float:
        return min(self._eject_s * 2**health.doublings, self._eject_max_s)
