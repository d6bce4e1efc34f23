"""Slots of endpoints of which it is not known whether they are in use."""

from __future__ import annotations

import dataclasses

from walnutpoint_entry.endpoints import _usage


@dataclasses.dataclass(slots=True)
class _Inheritance:
    count: int
    not_before_s: float


@dataclasses.dataclass(slots=True)
class _EndpointDoubt:
    since_s_by_id: dict[str, float] = dataclasses.field(default_factory=dict)
    inherited: list[_Inheritance] = dataclasses.field(default_factory=list)

    def count(self) -> int:
        return len(self.since_s_by_id) + sum(
            inheritance.count for inheritance in self.inherited
        )


class DoubtLedger:
    """The slots in doubt of each endpoint.

    A slot whose request may still run, freed too early, takes a second
    request: the endpoint is over capacity and slow for both. It stays taken
    until a report shows it free or no run can last that long. A report
    sampled before the doubt began proves nothing, since the request may have
    started after the sample; every later one sees whatever had started.
    """

    __slots__ = ('_doubts', '_longest_run_s')

    def __init__(self, longest_run_s: float) -> None:
        self._longest_run_s = longest_run_s
        self._doubts: dict[str, _EndpointDoubt] = {}

    def inherit(self, endpoint: str, count: int, not_before_s: float) -> None:
        """Put a former owner's slots in doubt; it started none after then."""
        if count > 0:
            self._doubt(endpoint).inherited.append(
                _Inheritance(count, not_before_s)
            )

    def add(self, endpoint: str, request_id: str, now_s: float) -> None:
        """Put the slot of a request of ours in doubt."""
        self._doubt(endpoint).since_s_by_id[request_id] = now_s

    def lower(self, endpoint: str, inherited: int) -> None:
        """Take the word of the last former owner on its slots."""
        doubt = self._doubts.get(endpoint)
        if doubt is None or not doubt.inherited:
            return
        # Older inheritances are of owners before it, which it can't know.
        latest = doubt.inherited[-1]
        latest.count = min(latest.count, inherited)
        self._tidy(endpoint)

    def observe(
        self,
        endpoint: str,
        report: _usage.UsageReport,
        active_ids: frozenset[str],
    ) -> None:
        """Settle what a report shows to be over."""
        doubt = self._doubts.get(endpoint)
        if doubt is None:
            return
        own_ids = active_ids | doubt.since_s_by_id.keys()
        running = max(report.running, len(report.running_ids))
        foreign = running - len(report.running_ids & own_ids)
        sampled_s = report.sampled_at_least_s
        # A run without a name may be any of ours.
        names_all = running == len(report.running_ids)
        for request_id, since_s in tuple(doubt.since_s_by_id.items()):
            is_over = names_all and request_id not in report.running_ids
            if is_over and sampled_s > since_s:
                del doubt.since_s_by_id[request_id]
        # The latest keep the running ones: they are the last to expire.
        for inheritance in sorted(
            doubt.inherited, key=lambda item: item.not_before_s, reverse=True
        ):
            if sampled_s > inheritance.not_before_s:
                inheritance.count = min(inheritance.count, foreign)
                foreign -= inheritance.count
        self._tidy(endpoint)

    def expire(self, endpoint: str, now_s: float) -> None:
        """Settle what is older than the longest run."""
        doubt = self._doubts.get(endpoint)
        if doubt is None:
            return
        limit_s = now_s - self._longest_run_s
        for request_id, since_s in tuple(doubt.since_s_by_id.items()):
            if since_s <= limit_s:
                del doubt.since_s_by_id[request_id]
        for inheritance in doubt.inherited:
            if inheritance.not_before_s <= limit_s:
                inheritance.count = 0
        self._tidy(endpoint)

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint that is no longer ours."""
        self._doubts.pop(endpoint, None)

    def count(self, endpoint: str) -> int:
        """Return how many slots of an endpoint are in doubt."""
        doubt = self._doubts.get(endpoint)
        return 0 if doubt is None else doubt.count()

    def _doubt(self, endpoint: str) -> _EndpointDoubt:
        return self._doubts.setdefault(endpoint, _EndpointDoubt())

    def _tidy(self, endpoint: str) -> None:
        doubt = self._doubts[endpoint]
        doubt.inherited = [item for item in doubt.inherited if item.count]
        if not doubt.count():
            del self._doubts[endpoint]
