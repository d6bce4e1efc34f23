"""Decides which workers a step of the working set asks about, and when.

The load is that of the working set: each request takes most of a second and
each worker named adds some milliseconds, while a ticket is valid for little
longer than three requests.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import typing

from walnutpoint_scheduler import _advice_targets

__all__ = (
    'Room',
    'Tickets',
    'choose',
    'first_count',
)

# Tickets are renewed once this share of them would expire unused.
_LACKING_SHARE = 0.34
# Granted workers over waiting tasks: other steps take most of the capacity.
_GRANTED_PER_TASK = 2.0
_FIRST_NAMES_MIN = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """A worker that will have room for a task, and when."""

    worker_id: str
    wait_s: float
    # Steps of the working set with a ticket for it.
    rivals: int


class Tickets(typing.Protocol):
    """What is known of the workers that may run a step."""

    def permits(self, step: str, worker_id: str) -> bool | None:
        """Return whether a worker may run a step; None if unknown."""

    def is_valid_at(self, step: str, worker_id: str, at_s: float) -> bool:
        """Return whether a ticket is still valid at a time."""


def choose(
    step: str,
    rooms: collections.abc.Iterable[Room],
    tickets: Tickets,
    now_s: float,
    answer_s: float,
    first_count: int,
) -> list[str]:
    """Return the workers to name in a request that is sent now.

    None if the tickets of the step last until there is room, or if no worker
    that it may use will have room while a ticket is valid.
    """
    unknown: list[Room] = []
    lacking: list[Room] = []
    held = 0
    for room in rooms:
        permitted = tickets.permits(step, room.worker_id)
        if permitted is None:
            unknown.append(room)
        elif permitted:
            used_s = now_s + max(room.wait_s, answer_s)
            if tickets.is_valid_at(step, room.worker_id, used_s):
                held += 1
            else:
                lacking.append(room)
    unknown.sort(key=_scarcest_first)
    if not held and not lacking:
        chosen = unknown[:first_count]
    elif len(lacking) < max(1.0, _LACKING_SHARE * (held + len(lacking))):
        return []
    else:
        lacking.sort(key=_scarcest_first)
        spare = _advice_targets.WAITING_TARGETS_MAX - len(lacking)
        chosen = lacking + unknown[: max(0, spare)]
    return [r.worker_id for r in chosen[: _advice_targets.TARGETS_MAX]]


def first_count(task_count: int, granted_share: float) -> int:
    """Return how many workers the first request of a step names.

    A grant holds for a worker's life, so that a wide step asks once.
    """
    wanted = math.ceil(task_count * _GRANTED_PER_TASK / granted_share)
    return max(wanted, _FIRST_NAMES_MIN)


def _scarcest_first(room: Room) -> tuple[int, float]:
    """Return a sort key: workers that few steps may use come first."""
    return room.rivals, room.wait_s
