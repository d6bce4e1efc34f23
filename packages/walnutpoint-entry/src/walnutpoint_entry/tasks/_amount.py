"""Amounts of a document's sizes and of listed hosts."""

from __future__ import annotations

import math
import typing

from walnutpoint_core import amount
from walnutpoint_core import documents
from walnutpoint_core import model

__all__ = ('Amount', 'of_host', 'of_size')

_MILLI: typing.Final = 1000
_ROUNDING: typing.Final = 1e-6

Amount = amount.Amount


def of_size(size: documents.Size) -> Amount:
    """Return what one task of a size takes, with its slot."""
    millicores = math.ceil(size.cpu_cores * _MILLI - _ROUNDING)
    return Amount(millicores, size.memory_mb, size.accelerators, 1)


def of_host(host: model.ListedHost) -> Amount:
    """Return the capacity of a listed host."""
    millicores = math.floor(host.cpu_cores * _MILLI + _ROUNDING)
    return Amount(millicores, host.memory_mb, host.accelerators, host.slots)
