"""The leases of workers, and what a scheduler may grant on."""

from __future__ import annotations

from walnutpoint_scheduler.leases._confirmation import Confirmation
from walnutpoint_scheduler.leases._grants import Grants
from walnutpoint_scheduler.leases._host_poll import HostPoll
from walnutpoint_scheduler.leases._host_poll import Hosts
from walnutpoint_scheduler.leases._host_poll import NoOtherHosts
from walnutpoint_scheduler.leases._host_poll import PollResult
from walnutpoint_scheduler.leases._term_monitor import TermMonitor
from walnutpoint_scheduler.leases._worker_lease import lapse_s
from walnutpoint_scheduler.leases._worker_lease import WorkerLease

__all__ = (
    'Confirmation',
    'Grants',
    'HostPoll',
    'Hosts',
    'NoOtherHosts',
    'PollResult',
    'TermMonitor',
    'WorkerLease',
    'lapse_s',
)
