"""Policies that select endpoints by their number of free slots."""

from __future__ import annotations

import typing

from walnutpoint_core import settings

__all__ = (
    'PackPolicy',
    'Policy',
    'SpreadPolicy',
    'make_policy',
)


class Policy(typing.Protocol):
    """Order of preference over numbers of free slots."""

    def preferred(self, occupied: int) -> int:
        """Return the preferred bit of a non-zero bit set of counts."""


class SpreadPolicy:
    """Prefer the endpoint with the most free slots."""

    __slots__ = ()

    def preferred(self, occupied: int) -> int:
        """Return the highest bit that is set."""
        return occupied.bit_length() - 1


class PackPolicy:
    """Prefer the endpoint with the fewest free slots, but at least one."""

    __slots__ = ()

    def preferred(self, occupied: int) -> int:
        """Return the lowest bit that is set."""
        return (occupied & -occupied).bit_length() - 1


def make_policy(placement: settings.PlacementSettings) -> Policy:
    """Return the policy that the settings name."""
    if placement.spread == 'pack':
        return PackPolicy()
    return SpreadPolicy()
