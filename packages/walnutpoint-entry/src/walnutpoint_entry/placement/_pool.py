"""The slot pool of the endpoints that this process owns."""

from __future__ import annotations

import dataclasses
import enum
import itertools

from walnutpoint_entry.placement import _buckets
from walnutpoint_entry.placement import _policy

__all__ = (
    'ClosedReason',
    'EndpointView',
    'SlotLease',
    'SlotPool',
)


class ClosedReason(enum.Enum):
    """Why an endpoint gets no new work."""

    NOT_ACTIVE = 'not-active'
    LEAVING = 'leaving'
    EJECTED = 'ejected'
    REMOVED = 'removed'


@dataclasses.dataclass(frozen=True, slots=True)
class SlotLease:
    """The right to run one request at an endpoint."""

    endpoint: str
    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """Snapshot of one endpoint's slots."""

    endpoint: str
    domain: str
    slots: int
    active: int
    doubtful: int
    closed: frozenset[ClosedReason]

    @property
    def free(self) -> int:
        """Return how many requests could start now."""
        if self.closed:
            return 0
        return max(0, self.slots - self.active - self.doubtful)


@dataclasses.dataclass(slots=True, eq=False)
class _EndpointState:
    """The slots of one endpoint and its position in the buckets."""

    endpoint: str
    domain: str
    slots: int
    active: int = 0
    doubtful: int = 0
    closed: set[ClosedReason] = dataclasses.field(default_factory=set)
    indexed_free: int = 0
    indexed_in: _buckets.SlotBuckets | None = None

    @property
    def in_use(self) -> int:
        return self.active + self.doubtful

    @property
    def unused(self) -> int:
        return max(0, self.slots - self.active - self.doubtful)


class SlotPool:
    """Lease slots so that no endpoint runs more requests than slots."""

    __slots__ = (
        '_certain_buckets',
        '_doubtful_buckets',
        '_doubtful_endpoints',
        '_free_slots',
        '_leases',
        '_serials',
        '_states',
        '_total_slots',
    )

    def __init__(self, policy: _policy.Policy) -> None:
        """Create a pool without endpoints."""
        self._states: dict[str, _EndpointState] = {}
        self._leases: dict[int, _EndpointState] = {}
        self._serials = itertools.count(1)
        self._certain_buckets = _buckets.SlotBuckets(policy)
        self._doubtful_buckets = _buckets.SlotBuckets(policy)
        self._doubtful_endpoints: dict[str, None] = {}
        self._free_slots = 0
        self._total_slots = 0

    def add(self, endpoint: str, domain: str, slots: int) -> None:
        """Add an open endpoint, or update its domain and slots."""
        state = self._states.get(endpoint)
        if state is None:
            state = _EndpointState(endpoint, domain, 0)
            self._states[endpoint] = state
        elif ClosedReason.REMOVED in state.closed:
            state.closed.clear()
            self._total_slots += state.slots
        state.domain = domain
        self._resize(state, slots)

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint; its slots in use remain accounted for."""
        self.close(endpoint, ClosedReason.REMOVED)

    def open(self, endpoint: str, reason: ClosedReason) -> None:
        """Clear one reason for which an endpoint is closed."""
        state = self._states.get(endpoint)
        # Only add() restores a removed endpoint: its slots may differ.
        if state is None or reason is ClosedReason.REMOVED:
            return
        state.closed.discard(reason)
        self._reindex(state)

    def close(self, endpoint: str, reason: ClosedReason) -> None:
        """Close an endpoint to new work for one more reason."""
        state = self._states.get(endpoint)
        if state is None or reason in state.closed:
            return
        state.closed.add(reason)
        if reason is ClosedReason.REMOVED:
            self._total_slots -= state.slots
        self._reindex(state)

    def acquire(
        self, exclude: frozenset[str] = frozenset()
    ) -> SlotLease | None:
        """Lease a slot of the preferred open endpoint, if one is free."""
        # Endpoints with doubtful slots come last under every policy: until
        # they drain, no usage report can show that those slots are free.
        endpoint = self._certain_buckets.preferred(exclude)
        if endpoint is None:
            endpoint = self._doubtful_buckets.preferred(exclude)
        if endpoint is None:
            return None
        return self._lease(self._states[endpoint])

    def acquire_probe(self, endpoint: str) -> SlotLease | None:
        """Lease a slot of an endpoint that is at most ejected."""
        state = self._states.get(endpoint)
        if state is None or not state.unused:
            return None
        if state.closed - {ClosedReason.EJECTED}:
            return None
        return self._lease(state)

    def acquire_at(self, endpoint: str) -> SlotLease | None:
        """Lease a slot of a given open endpoint, if one is free."""
        state = self._states.get(endpoint)
        if state is None or state.closed or not state.unused:
            return None
        return self._lease(state)

    def claim(self, endpoint: str) -> SlotLease | None:
        """Lease the slot of work that was found running at an endpoint."""
        state = self._states.get(endpoint)
        if state is None:
            return None
        state.doubtful = max(0, state.doubtful - 1)
        return self._lease(state)

    def release(self, lease: SlotLease) -> None:
        """Free the slot of a lease; idempotent."""
        state = self._leases.pop(lease.serial, None)
        if state is None:
            return
        state.active -= 1
        self._reindex(state)

    def mark_doubtful(self, lease: SlotLease) -> None:
        """End a lease but keep its slot in use: its request may still run."""
        state = self._leases.pop(lease.serial, None)
        if state is None:
            return
        state.active -= 1
        state.doubtful += 1
        self._reindex(state)

    def raise_doubtful(self, endpoint: str, count: int) -> None:
        """Raise the doubtful slots to those a previous owner may use."""
        state = self._states.get(endpoint)
        if state is None:
            return
        # The previous owner cannot use the slots that are leased here.
        capacity = state.slots - state.active
        state.doubtful = max(state.doubtful, min(count, capacity))
        self._reindex(state)

    def lower_doubtful(self, endpoint: str, doubtful: int) -> None:
        """Lower the doubtful slots to at most a count."""
        state = self._states.get(endpoint)
        if state is None:
            return
        state.doubtful = min(state.doubtful, max(0, doubtful))
        self._reindex(state)

    def set_slots(self, endpoint: str, slots: int) -> None:
        """Change the number of slots of an endpoint."""
        state = self._states.get(endpoint)
        if state is not None:
            self._resize(state, slots)

    def free_slots_at(self, endpoint: str) -> int:
        """Return the free slots of one endpoint, zero if it is closed."""
        state = self._states.get(endpoint)
        return 0 if state is None or state.closed else state.unused

    @property
    def free_slots(self) -> int:
        """Return the free slots of the open endpoints."""
        return self._free_slots

    @property
    def total_slots(self) -> int:
        """Return the slots of all endpoints that are not removed."""
        return self._total_slots

    def in_use(self, endpoint: str) -> int:
        """Return an endpoint's active and doubtful slots."""
        state = self._states.get(endpoint)
        return 0 if state is None else state.in_use

    def doubtful(self, endpoint: str) -> int:
        """Return an endpoint's doubtful slots."""
        state = self._states.get(endpoint)
        return 0 if state is None else state.doubtful

    def doubtful_endpoints(self) -> tuple[str, ...]:
        """Return the endpoints with doubtful slots, also removed ones."""
        return tuple(self._doubtful_endpoints)

    def snapshot(self) -> tuple[EndpointView, ...]:
        """Return the state of every endpoint."""
        return tuple(
            EndpointView(
                state.endpoint,
                state.domain,
                state.slots,
                state.active,
                state.doubtful,
                frozenset(state.closed),
            )
            for state in self._states.values()
        )

    def _lease(self, state: _EndpointState) -> SlotLease:
        serial = next(self._serials)
        self._leases[serial] = state
        state.active += 1
        self._reindex(state)
        return SlotLease(state.endpoint, serial)

    def _resize(self, state: _EndpointState, slots: int) -> None:
        if ClosedReason.REMOVED not in state.closed:
            self._total_slots += slots - state.slots
        state.slots = slots
        self._reindex(state)

    def _reindex(self, state: _EndpointState) -> None:
        """Move an endpoint to the bucket of its current state."""
        free = 0 if state.closed else state.unused
        buckets = (
            self._doubtful_buckets if state.doubtful else self._certain_buckets
        )
        new_buckets = buckets if free else None
        # An endpoint that stays in its bucket keeps its position.
        if new_buckets is not state.indexed_in or free != state.indexed_free:
            if state.indexed_in is not None:
                state.indexed_in.remove(state.endpoint, state.indexed_free)
            if new_buckets is not None:
                new_buckets.put(state.endpoint, free)
            self._free_slots += free - state.indexed_free
            state.indexed_in = new_buckets
            state.indexed_free = free
        self._reindex_doubtful(state)

    def _reindex_doubtful(self, state: _EndpointState) -> None:
        if state.doubtful:
            self._doubtful_endpoints[state.endpoint] = None
        else:
            self._doubtful_endpoints.pop(state.endpoint, None)
        if state.in_use == 0 and ClosedReason.REMOVED in state.closed:
            self._states.pop(state.endpoint, None)
