"""Identity of one incarnation of a worker."""

from __future__ import annotations

import typing

__all__ = (
    'Incarnation',
    'differ',
)


class Incarnation(typing.NamedTuple):
    """Identifies one worker process, from its start to its end.

    A restarted worker may keep its name, but has no runs and restarts the
    numbering of its ends.
    """

    worker_id: str
    # Start as Unix time; zero where unknown.
    born_ms: int = 0


def differ(born_ms: int | None, other_ms: int | None) -> bool:
    """Return whether two start times are known and different."""
    return bool(born_ms and other_ms) and born_ms != other_ms
