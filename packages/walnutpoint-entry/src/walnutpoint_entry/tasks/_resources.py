"""Resources of a document's sizes and of listed hosts."""

from __future__ import annotations

import math
import typing

from walnutpoint_core import documents
from walnutpoint_core import model
from walnutpoint_core import resources

__all__ = ('Resources', 'of_host', 'of_size')

_MILLICORES_PER_CORE: typing.Final = 1000
_ROUNDING_MILLICORES: typing.Final = 1e-6

Resources = resources.Resources


def of_size(size: documents.Size) -> Resources:
    """Return the resources of one task, including its slot."""
    millicores = math.ceil(
        size.cpu_cores * _MILLICORES_PER_CORE - _ROUNDING_MILLICORES
    )
    return Resources(millicores, size.memory_mb, size.accelerators, 1)


def of_host(host: model.ListedHost) -> Resources:
    """Return the capacity of a listed host."""
    millicores = math.floor(
        host.cpu_cores * _MILLICORES_PER_CORE + _ROUNDING_MILLICORES
    )
    return Resources(millicores, host.memory_mb, host.accelerators, host.slots)
