"""The operators' configuration as this process applies it."""

from __future__ import annotations

from walnutpoint_entry.configuration import _capacity
from walnutpoint_entry.configuration import _ports
from walnutpoint_entry.configuration import _service

__all__ = (
    'CapacitySource',
    'ConfigurationListener',
    'ConfigurationService',
    'ConfigurationStatus',
    'HostListCapacity',
    'REFRESH_PERIOD_S',
)

CapacitySource = _ports.CapacitySource
ConfigurationListener = _ports.ConfigurationListener
ConfigurationService = _service.ConfigurationService
ConfigurationStatus = _service.ConfigurationStatus
HostListCapacity = _capacity.HostListCapacity
REFRESH_PERIOD_S = _service.REFRESH_PERIOD_S
