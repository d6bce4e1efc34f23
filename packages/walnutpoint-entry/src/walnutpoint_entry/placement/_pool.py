"""The slots of the endpoints that this process owns."""

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
    """The state of one endpoint's slots at one moment."""

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
class _Account:
    """The slots of one endpoint, and how the pool has filed them."""

    endpoint: str
    domain: str
    slots: int
    active: int = 0
    doubtful: int = 0
    closed: set[ClosedReason] = dataclasses.field(default_factory=set)
    filed_free: int = 0
    filed_in: _buckets.SlotBuckets | None = None

    @property
    def in_use(self) -> int:
        return self.active + self.doubtful

    @property
    def unused(self) -> int:
        return max(0, self.slots - self.active - self.doubtful)


class SlotPool:
    """Give out slots so that no endpoint has more requests than slots."""

    __slots__ = (
        '_accounts',
        '_certain',
        '_doubted',
        '_doubtful',
        '_free_slots',
        '_leases',
        '_serials',
        '_total_slots',
    )

    def __init__(self, policy: _policy.Policy) -> None:
        """Create a pool without endpoints."""
        self._accounts: dict[str, _Account] = {}
        self._leases: dict[int, _Account] = {}
        self._serials = itertools.count(1)
        self._certain = _buckets.SlotBuckets(policy)
        self._doubted = _buckets.SlotBuckets(policy)
        self._doubtful: dict[str, None] = {}
        self._free_slots = 0
        self._total_slots = 0

    def add(self, endpoint: str, domain: str, slots: int) -> None:
        """Add an endpoint, open, or renew its domain and slots."""
        account = self._accounts.get(endpoint)
        if account is None:
            account = _Account(endpoint, domain, 0)
            self._accounts[endpoint] = account
        elif ClosedReason.REMOVED in account.closed:
            account.closed.clear()
            self._total_slots += account.slots
        account.domain = domain
        self._resize(account, slots)

    def remove(self, endpoint: str) -> None:
        """Give an endpoint up; its slots in use stay accounted for."""
        self.close(endpoint, ClosedReason.REMOVED)

    def open(self, endpoint: str, reason: ClosedReason) -> None:
        """Lift one reason for giving an endpoint no new work."""
        account = self._accounts.get(endpoint)
        # Only add() brings a removed endpoint back: its slots may differ.
        if account is None or reason is ClosedReason.REMOVED:
            return
        account.closed.discard(reason)
        self._file(account)

    def close(self, endpoint: str, reason: ClosedReason) -> None:
        """Give an endpoint no new work, for one more reason."""
        account = self._accounts.get(endpoint)
        if account is None or reason in account.closed:
            return
        account.closed.add(reason)
        if reason is ClosedReason.REMOVED:
            self._total_slots -= account.slots
        self._file(account)

    def acquire(
        self, exclude: frozenset[str] = frozenset()
    ) -> SlotLease | None:
        """Take a slot of the preferred open endpoint, if one is free."""
        # Endpoints in doubt come last under every policy: they must drain,
        # or their usage reports never show that the doubtful ones ended.
        endpoint = self._certain.preferred(exclude)
        if endpoint is None:
            endpoint = self._doubted.preferred(exclude)
        if endpoint is None:
            return None
        return self._lease(self._accounts[endpoint])

    def acquire_probe(self, endpoint: str) -> SlotLease | None:
        """Take a slot of an endpoint that is closed only as ejected."""
        account = self._accounts.get(endpoint)
        if account is None or not account.unused:
            return None
        if account.closed - {ClosedReason.EJECTED}:
            return None
        return self._lease(account)

    def acquire_at(self, endpoint: str) -> SlotLease | None:
        """Take a slot of one open endpoint, if one is free."""
        account = self._accounts.get(endpoint)
        if account is None or account.closed or not account.unused:
            return None
        return self._lease(account)

    def claim(self, endpoint: str) -> SlotLease | None:
        """Take the slot of work that was found running at an endpoint."""
        account = self._accounts.get(endpoint)
        if account is None:
            return None
        account.doubtful = max(0, account.doubtful - 1)
        return self._lease(account)

    def release(self, lease: SlotLease) -> None:
        """Free a lease's slot; without effect the second time."""
        account = self._leases.pop(lease.serial, None)
        if account is None:
            return
        account.active -= 1
        self._file(account)

    def doubt(self, lease: SlotLease) -> None:
        """Keep a slot taken whose request may still run at the endpoint."""
        account = self._leases.pop(lease.serial, None)
        if account is None:
            return
        account.active -= 1
        account.doubtful += 1
        self._file(account)

    def inherit(self, endpoint: str, count: int) -> None:
        """Raise the doubtful slots to what a former owner may have used."""
        account = self._accounts.get(endpoint)
        if account is None:
            return
        # Active leases are ours; more than the rest cannot be another's.
        room = account.slots - account.active
        account.doubtful = max(account.doubtful, min(count, room))
        self._file(account)

    def settle(self, endpoint: str, doubtful: int) -> None:
        """Lower the doubtful slots to a count; never raise them."""
        account = self._accounts.get(endpoint)
        if account is None:
            return
        account.doubtful = min(account.doubtful, max(0, doubtful))
        self._file(account)

    def set_slots(self, endpoint: str, slots: int) -> None:
        """Change how many requests an endpoint may run at once."""
        account = self._accounts.get(endpoint)
        if account is not None:
            self._resize(account, slots)

    def free_slots_at(self, endpoint: str) -> int:
        """Return the free slots of one endpoint, none if it is closed."""
        account = self._accounts.get(endpoint)
        return 0 if account is None or account.closed else account.unused

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
        account = self._accounts.get(endpoint)
        return 0 if account is None else account.in_use

    def doubtful(self, endpoint: str) -> int:
        """Return an endpoint's slots in doubt."""
        account = self._accounts.get(endpoint)
        return 0 if account is None else account.doubtful

    def doubtful_endpoints(self) -> tuple[str, ...]:
        """Return the endpoints with slots in doubt, removed ones too."""
        return tuple(self._doubtful)

    def snapshot(self) -> tuple[EndpointView, ...]:
        """Return the state of every endpoint."""
        return tuple(
            EndpointView(
                account.endpoint,
                account.domain,
                account.slots,
                account.active,
                account.doubtful,
                frozenset(account.closed),
            )
            for account in self._accounts.values()
        )

    def _lease(self, account: _Account) -> SlotLease:
        serial = next(self._serials)
        self._leases[serial] = account
        account.active += 1
        self._file(account)
        return SlotLease(account.endpoint, serial)

    def _resize(self, account: _Account, slots: int) -> None:
        if ClosedReason.REMOVED not in account.closed:
            self._total_slots += slots - account.slots
        account.slots = slots
        self._file(account)

    def _file(self, account: _Account) -> None:
        """Move an account to where acquire() looks for it now."""
        free = 0 if account.closed else account.unused
        buckets = self._doubted if account.doubtful else self._certain
        wanted = buckets if free else None
        # An account that stays in its bucket keeps its turn in it.
        if wanted is not account.filed_in or free != account.filed_free:
            if account.filed_in is not None:
                account.filed_in.take(account.endpoint, account.filed_free)
            if wanted is not None:
                wanted.put(account.endpoint, free)
            self._free_slots += free - account.filed_free
            account.filed_in = wanted
            account.filed_free = free
        self._file_rest(account)

    def _file_rest(self, account: _Account) -> None:
        if account.doubtful:
            self._doubtful[account.endpoint] = None
        else:
            self._doubtful.pop(account.endpoint, None)
        if account.in_use == 0 and ClosedReason.REMOVED in account.closed:
            self._accounts.pop(account.endpoint, None)
