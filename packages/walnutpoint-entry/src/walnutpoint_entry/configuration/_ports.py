"""Interfaces for users of a configuration and for its validation."""

from __future__ import annotations

import typing

from walnutpoint_core import documents

__all__ = (
    'CapacitySource',
    'ConfigurationListener',
)


class ConfigurationListener(typing.Protocol):
    """Receives each new configuration in force."""

    def apply(self, configuration: documents.Configuration) -> None:
        """Apply a configuration that is newer than every one before."""


class CapacitySource(typing.Protocol):
    """Provides the capacity of the cell's hosts."""

    def capacity(self) -> documents.HostCapacity | None:
        """Return the capacity, or None while it is unknown."""
