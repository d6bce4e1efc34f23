"""Slots of endpoints that may or may not be in use."""

from __future__ import annotations

import dataclasses

from walnutpoint_entry.endpoints import _usage


@dataclasses.dataclass(slots=True)
class _InheritedSlots:
    count: int
    reports_valid_from_s: float


@dataclasses.dataclass(slots=True)
class _EndpointSlots:
    since_s_by_id: dict[str, float] = dataclasses.field(default_factory=dict)
    inherited: list[_InheritedSlots] = dataclasses.field(default_factory=list)

    def count(self) -> int:
        return len(self.since_s_by_id) + sum(
            inherited_slots.count for inherited_slots in self.inherited
        )


class DoubtfulSlots:
    """Track the doubtful slots of each endpoint.

    If a slot were freed while its request may still run, the endpoint would
    exceed its capacity and slow both requests down. The slot stays in use
    until a usage report shows it free or the longest run time has passed. A
    report sampled before the slot became doubtful proves nothing: the
    request may have started after the sample. Later samples include it.
    """

    __slots__ = ('_by_endpoint', '_longest_run_s')

    def __init__(self, longest_run_s: float) -> None:
        self._longest_run_s = longest_run_s
        self._by_endpoint: dict[str, _EndpointSlots] = {}

    def inherit(
        self, endpoint: str, count: int, reports_valid_from_s: float
    ) -> None:
        """Add a previous owner's slots; only later reports can free them."""
        if count > 0:
            self._slots_of(endpoint).inherited.append(
                _InheritedSlots(count, reports_valid_from_s)
            )

    def add(self, endpoint: str, request_id: str, now_s: float) -> None:
        """Add the slot of a request that this process sent."""
        self._slots_of(endpoint).since_s_by_id[request_id] = now_s

    def lower_inherited(self, endpoint: str, inherited: int) -> None:
        """Lower the slots of the last previous owner to its own count."""
        slots = self._by_endpoint.get(endpoint)
        if slots is None or not slots.inherited:
            return
        # The last owner does not know the slots of the owners before it.
        latest = slots.inherited[-1]
        latest.count = min(latest.count, inherited)
        self._remove_empty(endpoint)

    def observe(
        self,
        endpoint: str,
        report: _usage.UsageReport,
        active_ids: frozenset[str],
    ) -> None:
        """Remove the slots that a usage report shows to be free."""
        slots = self._by_endpoint.get(endpoint)
        if slots is None:
            return
        own_ids = active_ids | slots.since_s_by_id.keys()
        running = max(report.running, len(report.running_ids))
        foreign = running - len(report.running_ids & own_ids)
        sampled_s = report.sampled_not_before_s
        # An unnamed run may be any request sent from here.
        is_all_named = running == len(report.running_ids)
        for request_id, since_s in tuple(slots.since_s_by_id.items()):
            has_ended = is_all_named and request_id not in report.running_ids
            if has_ended and sampled_s > since_s:
                del slots.since_s_by_id[request_id]
        # Count the runs towards the latest slots, which expire last.
        for inherited_slots in sorted(
            slots.inherited,
            key=lambda item: item.reports_valid_from_s,
            reverse=True,
        ):
            if sampled_s > inherited_slots.reports_valid_from_s:
                inherited_slots.count = min(inherited_slots.count, foreign)
                foreign -= inherited_slots.count
        self._remove_empty(endpoint)

    def expire(self, endpoint: str, now_s: float) -> None:
        """Remove the slots that are older than the longest run."""
        slots = self._by_endpoint.get(endpoint)
        if slots is None:
            return
        limit_s = now_s - self._longest_run_s
        for request_id, since_s in tuple(slots.since_s_by_id.items()):
            if since_s <= limit_s:
                del slots.since_s_by_id[request_id]
        for inherited_slots in slots.inherited:
            if inherited_slots.reports_valid_from_s <= limit_s:
                inherited_slots.count = 0
        self._remove_empty(endpoint)

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint that is no longer owned here."""
        self._by_endpoint.pop(endpoint, None)

    def count(self, endpoint: str) -> int:
        """Return the number of doubtful slots of an endpoint."""
        slots = self._by_endpoint.get(endpoint)
        return 0 if slots is None else slots.count()

    def _slots_of(self, endpoint: str) -> _EndpointSlots:
        return self._by_endpoint.setdefault(endpoint, _EndpointSlots())

    def _remove_empty(self, endpoint: str) -> None:
        slots = self._by_endpoint[endpoint]
        slots.inherited = [item for item in slots.inherited if item.count]
        if not slots.count():
            del self._by_endpoint[endpoint]
