"""The name of one incarnation of a worker."""

from __future__ import annotations

import typing

__all__ = (
    'Incarnation',
    'differ',
)


class Incarnation(typing.NamedTuple):
    """One process of a worker, from its start to its end.

    A worker that starts again may keep its name; it runs nothing then, and
    numbers its ends anew.
    """

    worker_id: str
    # Its start, as Unix time; zero where it is not told.
    born_ms: int = 0


def differ(born_ms: int | None, other_ms: int | None) -> bool:
    """Return whether two starts are known, and not the same."""
    return bool(born_ms and other_ms) and born_ms != other_ms
