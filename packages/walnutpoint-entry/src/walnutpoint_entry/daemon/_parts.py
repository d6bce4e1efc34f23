"""Construction and wiring of the components of one process."""

from __future__ import annotations

import random
import secrets
import time

import anyio.abc

from walnutpoint_core import documents
from walnutpoint_core import hosts
from walnutpoint_core import settings as settings_module
from walnutpoint_core import store
from walnutpoint_core import timer as timers
from walnutpoint_entry import configuration
from walnutpoint_entry.daemon import _assets
from walnutpoint_entry.daemon import _jobs
from walnutpoint_entry.daemon import _peer_handler
from walnutpoint_entry.daemon import _progress
from walnutpoint_entry.daemon import _weights
from walnutpoint_entry import endpoints
from walnutpoint_entry import jobs as jobs_module
from walnutpoint_entry import keys
from walnutpoint_entry import ownership
from walnutpoint_entry import peers
from walnutpoint_entry import placement
from walnutpoint_entry import routing
from walnutpoint_entry import tasks as tasks_module

__all__ = ('Components',)

_INCARNATION_BITS = 62


class Components:
    """All components of one process, for the daemon and its handlers."""

    def __init__(
        self,
        settings: settings_module.Settings,
        timer: timers.Timer,
        task_group: anyio.abc.TaskGroup,
    ) -> None:
        self.settings = settings
        self.timer = timer
        self.member = _member(settings.addresses)
        self.request_tracker = _progress.RequestTracker()
        self._create_platform_clients()
        self._create_peers()
        self._create_routing()
        self._create_services(task_group)

    async def close(self) -> None:
        """Close every connection."""
        self.links.close()
        await self.client.aclose()
        await self.store.aclose()
        await self.host_list.aclose()

    def _create_platform_clients(self) -> None:
        platform = self.settings.platform
        self.store = store.EtcdStore(
            platform.store_urls, platform.store_timeout_s
        )
        self.host_list = hosts.HttpHostList(
            platform.host_list_url, platform.host_list_timeout_s
        )
        self.client = endpoints.EndpointClient(
            self.timer,
            self.settings.placement,
            self.settings.limits.answer_size_bytes,
        )

    def _create_peers(self) -> None:
        settings = self.settings
        self.activity = ownership.Activity(
            self.timer, settings.ownership.rest_after_s
        )
        self.peer_loads = routing.PeerLoads()
        self.peer_handler = _peer_handler.PeerHandler(
            self.activity, self.peer_loads, self.request_tracker
        )
        self.links = peers.Links(
            self.member,
            self.timer,
            settings.ownership,
            settings.limits.body_size_bytes,
            settings.security.peer_token,
            self.activity,
            self.peer_handler,
        )

    def _create_routing(self) -> None:
        settings = self.settings
        self.wait_estimate = placement.WaitEstimate()
        self.wait_queue = routing.WaitQueue(
            self.timer, settings.placement, self.wait_estimate
        )
        self.decision_log = routing.DecisionLog()
        self.fleet = routing.Fleet(
            self.timer,
            settings.placement,
            self.client,
            self._on_slots_freed,
        )
        self.key_memory = keys.KeyMemory(settings.keys)
        self.shards = routing.KeyShards(
            self.timer, settings.keys, self.key_memory, self.links
        )

    def _create_services(self, task_group: anyio.abc.TaskGroup) -> None:
        settings = self.settings
        shards = settings.ownership.key_shards
        asset_router = _assets.AssetRouter(self.fleet, self.shards, self.links)
        self.ownership = ownership.OwnershipService(
            self.member,
            settings.ownership,
            self.timer,
            ownership.ControlStore(self.store, settings.platform.store_prefix),
            self.activity,
            asset_router,
            self.links,
            task_group,
        )
        self._create_configuration()
        self._create_tasks(asset_router, task_group)
        self.dispatcher = routing.Dispatcher(
            self.timer,
            settings.placement,
            self.ownership,
            self.fleet,
            self.client,
            self.links,
            self.peer_loads,
            self.decision_log,
            self.wait_estimate,
            self.wait_queue,
            self.tasks,
        )
        self.router = routing.Router(
            self.timer,
            self.ownership,
            self.dispatcher,
            self.links,
            keys.KeyMinter(
                settings.security.key_secret, shards, settings.keys.valid_s
            ),
            self.key_memory,
            self.shards,
            ownership.shard_names(shards),
            self.request_tracker,
        )
        self.peer_handler.set_dependencies(
            self.ownership, self.dispatcher, self.router, self.shards
        )

    def _create_configuration(self) -> None:
        self.capacity = configuration.HostListCapacity()
        registry = documents.DocumentRegistry(
            self.store,
            self.settings.platform.store_prefix,
            timer=self.timer,
            rng=random.Random(),
        )
        self.configuration = configuration.ConfigurationService(
            registry,
            self.timer,
            lambda: self.ownership.config_revision,
            (_weights.TeamWeightListener(self.wait_queue),),
        )
        self.job_configurations = _jobs.JobConfigurationSource(
            self.configuration, registry
        )

    def _create_tasks(
        self,
        asset_router: _assets.AssetRouter,
        task_group: anyio.abc.TaskGroup,
    ) -> None:
        self.tasks = tasks_module.TaskService(
            self.timer,
            self.settings.placement,
            self.ownership,
            tasks_module.HttpWorkers(self.timer, self.client),
            routing.TaskSlots(self.fleet),
            task_group,
        )
        self.owner_clients = tasks_module.PeerOwnerClients(
            self.timer, self.ownership, self.tasks, self.links
        )
        ownership_settings = self.settings.ownership
        self.jobs = jobs_module.JobService(
            self.timer,
            jobs_module.JobSettings(
                shards=ownership_settings.key_shards,
                clock_rate_margin=ownership_settings.clock_rate_margin,
                settle_s=ownership_settings.fence_s,
            ),
            self.ownership,
            self.owner_clients,
            self.job_configurations,
            self.store,
            self.settings.platform.store_prefix,
            time.time,
            random.Random(),
            task_group,
        )
        asset_router.set_dependencies(self.tasks, self.jobs)

    def _on_slots_freed(self) -> None:
        self.dispatcher.drain()
        if self.dispatcher.free_slots and not self.dispatcher.backlog:
            self.links.trigger_heartbeats(self.peer_loads.backlogged())


def _member(
    addresses: settings_module.AddressSettings,
) -> ownership.Member:
    return ownership.Member(
        address=addresses.peer_address,
        incarnation=secrets.randbits(_INCARNATION_BITS),
        name=addresses.name,
        domain=addresses.domain,
        region=addresses.region,
    )
