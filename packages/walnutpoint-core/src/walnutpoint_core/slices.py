"""Loops that give the event loop back between slices."""

from __future__ import annotations

import asyncio
import collections.abc
import typing

__all__ = ('sliced',)

_ItemT = typing.TypeVar('_ItemT')


async def sliced(
    items: collections.abc.Iterable[_ItemT],
    slice_weight: int,
    weight: collections.abc.Callable[[_ItemT], int] = lambda _item: 1,
) -> collections.abc.AsyncIterator[_ItemT]:
    """Yield items, and let other tasks run after each slice of them.

    A slice ends with the item whose weight completes it.
    """
    passed = 0
    for item in items:
        yield item
        passed += weight(item)
        if passed >= slice_weight:
            passed = 0
            await asyncio.sleep(0)
