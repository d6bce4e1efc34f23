"""Slots and health of the endpoints that this process owns."""

from __future__ import annotations

import collections
import collections.abc
import typing

import anyio

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import model
from walnutpoint_core import settings as settings_module
from walnutpoint_core import timer as timers
from walnutpoint_entry import endpoints as endpoints_module
from walnutpoint_entry import ownership
from walnutpoint_entry import placement

__all__ = ('Fleet',)

_NOT_ACTIVE = placement.ClosedReason.NOT_ACTIVE
_LEAVING = placement.ClosedReason.LEAVING
_EJECTED = placement.ClosedReason.EJECTED
_REPORT_MARGIN_S = 0.005

# Used for a host that left the host list while a request was sent to it.
_CONNECTIONS_MIN: typing.Final = 1

_LOG = logs.get_logger(__name__)


class Fleet:
    """Lease slots of owned endpoints and track which are in use."""

    __slots__ = (
        '_client',
        '_doubtful_slots',
        '_ejected',
        '_has_live_hosts',
        '_hosts',
        '_on_free',
        '_outliers',
        '_owned',
        '_pool',
        '_reports_valid_from_s',
        '_running',
        '_timer',
        '_transit_s',
        '_unlisted',
    )

    def __init__(
        self,
        timer: timers.Timer,
        settings: settings_module.PlacementSettings,
        client: endpoints_module.EndpointClient,
        on_free: collections.abc.Callable[[], None],
    ) -> None:
        self._timer = timer
        self._transit_s = settings.transit_s
        self._client = client
        self._on_free = on_free
        self._pool = placement.SlotPool(placement.make_policy(settings))
        self._doubtful_slots = endpoints_module.DoubtfulSlots(
            settings.longest_run_s
        )
        self._outliers = placement.OutlierDetector(
            settings.eject_after_failures,
            settings.eject_s,
            settings.eject_max_s,
        )
        self._hosts: dict[str, model.ListedHost] = {}
        self._reports_valid_from_s = float('-inf')
        # Before the first host list, requests may wait for hosts.
        self._has_live_hosts = True
        self._owned: set[str] = set()
        self._unlisted: dict[str, ownership.AcquiredAsset] = {}
        self._ejected: frozenset[str] = frozenset()
        self._running: collections.defaultdict[str, set[str]] = (
            collections.defaultdict(set)
        )

    @property
    def free_slots(self) -> int:
        """Return the free slots of the open endpoints."""
        return self._pool.free_slots

    @property
    def total_slots(self) -> int:
        """Return the slots of all owned endpoints."""
        return self._pool.total_slots

    @property
    def has_live_hosts(self) -> bool:
        """Return whether any host, owned here or not, accepts work."""
        return self._has_live_hosts

    def snapshot(self) -> tuple[placement.EndpointView, ...]:
        """Return the state of every endpoint."""
        return self._pool.snapshot()

    def connections_max(self, endpoint: str) -> int:
        """Return the connection limit of an endpoint."""
        host = self._hosts.get(endpoint)
        return _CONNECTIONS_MIN if host is None else host.connections

    def acquire(self, exclude: frozenset[str]) -> placement.SlotLease | None:
        """Lease a slot for a due probe, else the preferred free slot."""
        now_s = self._timer.now_s()
        for endpoint in self._outliers.due_probes(now_s):
            lease = self._pool.acquire_probe(endpoint)
            if lease is not None:
                self._outliers.begin_probe(endpoint, now_s)
                return lease
        return self._pool.acquire(exclude)

    def free_slots_at(self, endpoint: str) -> int:
        """Return the free slots of one endpoint."""
        return self._pool.free_slots_at(endpoint)

    def acquire_at(self, endpoint: str) -> placement.SlotLease | None:
        """Lease a slot of a given endpoint, if one is free."""
        return self._pool.acquire_at(endpoint)

    def claim(self, endpoint: str) -> placement.SlotLease | None:
        """Lease the slot of a task that was found at an endpoint."""
        return self._pool.claim(endpoint)

    def open(self, endpoint: str) -> None:
        """Open an acquired endpoint to requests."""
        self._pool.open(endpoint, _NOT_ACTIVE)
        self._on_free()

    def release(self, lease: placement.SlotLease) -> None:
        """Free the slot of a lease that was not used."""
        self._pool.release(lease)
        self._on_free()

    def begin(self, lease: placement.SlotLease, request_id: str) -> None:
        """Record that a request is about to run on a lease."""
        self._running[lease.endpoint].add(request_id)

    def end(
        self,
        lease: placement.SlotLease,
        request_id: str,
        failure: errors.Failure | None,
    ) -> None:
        """Free a lease's slot, or keep it in use if its request may run."""
        self._running[lease.endpoint].discard(request_id)
        if failure is None or failure.outcome is errors.Outcome.NOT_RUN:
            self._pool.release(lease)
            self._on_free()
            return
        # The endpoint may still run the request; another one in its slot
        # would exceed the endpoint's capacity. The slot stays in use until
        # a usage report shows it free.
        self._doubtful_slots.add(
            lease.endpoint, request_id, self._timer.now_s()
        )
        self._pool.mark_doubtful(lease)

    def observe(self, endpoint: str, is_success: bool) -> None:
        """Record whether an endpoint has served a request."""
        self._outliers.observe(endpoint, is_success, self._timer.now_s())
        self._apply_ejections()

    def on_acquired(self, acquired: ownership.AcquiredAsset) -> None:
        """Start placing on an acquired endpoint."""
        self._owned.add(acquired.asset)
        self._outliers.watch(acquired.asset)
        if acquired.asset not in self._hosts:
            # The host list lags here: its slots are unknown, none can be
            # marked doubtful yet, and all would be free once it is listed.
            self._unlisted[acquired.asset] = acquired
            self._pool.add(acquired.asset, '', 0)
            self._pool.close(acquired.asset, _LEAVING)
        self._apply_host(acquired.asset)
        # Tasks of the previous owner use slots too: a request placed before
        # the worker has reported them would exceed the slots.
        self._pool.close(acquired.asset, _NOT_ACTIVE)
        self._mark_previous_owner_slots(acquired)

    def _mark_previous_owner_slots(
        self, acquired: ownership.AcquiredAsset
    ) -> None:
        """Mark the slots that the previous owner may use as doubtful."""
        now_s = self._timer.now_s()
        slots = self._slots(acquired.asset)
        # The previous owner's last request may still be in transit, in a
        # socket buffer or behind a partition. A report sampled before it
        # arrives shows a free slot, and the endpoint would be overcommitted.
        # After transit_s the owner's kernel has dropped the connection.
        reports_valid_from_s = now_s + self._transit_s
        self._reports_valid_from_s = reports_valid_from_s
        if acquired.in_use is not None:
            self._add_inherited(
                acquired.asset, acquired.in_use, reports_valid_from_s
            )
        elif not acquired.is_first:
            self._add_inherited(acquired.asset, slots, reports_valid_from_s)

    def on_lost(self, lost: ownership.LostAsset) -> None:
        """Stop placing on a lost endpoint."""
        self._owned.discard(lost.asset)
        self._unlisted.pop(lost.asset, None)
        self._pool.remove(lost.asset)
        self._outliers.forget(lost.asset)
        self._ejected -= {lost.asset}
        self._client.forget(lost.asset)

    def in_use(self, asset: str) -> int:
        """Return the slots in use at an endpoint, with the doubtful ones."""
        return self._pool.in_use(asset)

    def lower_in_use(self, asset: str, in_use: int) -> None:
        """Lower the previous owner's slots to its reported usage."""
        self._doubtful_slots.lower_inherited(asset, in_use)
        self._update_doubtful(asset)

    def update_hosts(self, listing: model.HostListing) -> None:
        """Open, close and resize endpoints to match the host list."""
        self._hosts = {host.address: host for host in listing.hosts}
        self._has_live_hosts = any(
            host.slots and host.state is model.HostState.LIVE
            for host in listing.hosts
        )
        for endpoint in self._owned:
            self._apply_host(endpoint)
        self._on_free()

    def usage_period_s(self, default_s: float) -> float:
        """Return the poll period, shorter if reports become valid before."""
        remaining_s = self._reports_valid_from_s - self._timer.now_s()
        if 0.0 < remaining_s < default_s:
            return remaining_s + _REPORT_MARGIN_S
        return default_s

    async def run(self, ticks: collections.abc.AsyncIterable[float]) -> None:
        """Resolve doubtful slots by usage reports on each tick."""
        async for now_s in ticks:
            async with anyio.create_task_group() as tasks:
                for endpoint in self._pool.doubtful_endpoints():
                    self._doubtful_slots.expire(endpoint, now_s)
                    self._update_doubtful(endpoint)
                    tasks.start_soon(self._update_from_usage, endpoint)
            self._apply_ejections()
            # Requests queue while the ownership is unconfirmed, even if
            # slots are free. Its confirmation frees no slot: without this
            # call nothing might ever drain the queue.
            self._on_free()

    async def _update_from_usage(self, endpoint: str) -> None:
        report = await self._client.usage(endpoint)
        if report.is_error():
            return
        active_ids = frozenset(self._running[endpoint])
        self._doubtful_slots.observe(endpoint, report.ok, active_ids)
        self._update_doubtful(endpoint)

    def _update_doubtful(self, endpoint: str) -> None:
        self._pool.lower_doubtful(
            endpoint, self._doubtful_slots.count(endpoint)
        )
        self._on_free()

    def _add_inherited(
        self, endpoint: str, count: int, reports_valid_from_s: float
    ) -> None:
        self._doubtful_slots.inherit(endpoint, count, reports_valid_from_s)
        self._pool.raise_doubtful(endpoint, count)

    def _slots(self, endpoint: str) -> int:
        host = self._hosts.get(endpoint)
        return 0 if host is None else host.slots

    def _apply_host(self, endpoint: str) -> None:
        host = self._hosts.get(endpoint)
        if host is None:
            self._pool.close(endpoint, _LEAVING)
            return
        self._pool.add(endpoint, host.domain, host.slots)
        unlisted = self._unlisted.pop(endpoint, None)
        if unlisted is not None:
            self._mark_previous_owner_slots(unlisted)
        if host.state is model.HostState.LIVE:
            self._pool.open(endpoint, _LEAVING)
        else:
            self._pool.close(endpoint, _LEAVING)

    def _apply_ejections(self) -> None:
        ejected = self._outliers.ejected()
        if ejected == self._ejected:
            return
        for endpoint in ejected - self._ejected:
            _LOG.warning('endpoint_ejected', endpoint=endpoint)
            self._pool.close(endpoint, _EJECTED)
        for endpoint in self._ejected - ejected:
            _LOG.info('endpoint_reinstated', endpoint=endpoint)
            self._pool.open(endpoint, _EJECTED)
        self._ejected = ejected
        self._on_free()
