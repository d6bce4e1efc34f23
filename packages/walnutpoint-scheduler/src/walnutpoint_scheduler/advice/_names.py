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
from walnutpoint_scheduler import document

__all__ = (
    'Room',
    'Tickets',
    'choose',
)

# Tickets are renewed once this share of them would expire unused; those of a
# gang, which needs all at the same time, once a tenth would.
_LACKING_SHARE = 0.34
_GANG_LACKING_SHARE = 0.1
# Granted workers over waiting tasks: other steps take most of the capacity.
_GRANTED_PER_TASK = 2.0
_FIRST_NAMES_MIN = 24
# The part of the grants expected among the workers with room that a step needs
# before it stops asking about others: rivals take the room on a few workers.
_FAIR_PART = 0.25
# Concurrent requests for a gang, through as many hosts: all of its tickets
# must be valid at the same time.
_GANG_REQUESTS_MAX = 4


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
    step_key: str,
    step: document.Step,
    granted_share: float,
    rooms: collections.abc.Iterable[Room],
    tickets: Tickets,
    now_s: float,
    answer_s: float,
) -> list[str]:
    """Return the workers to name in a request that is sent now.

    Empty if the tickets of the step last until there is room, or if no worker
    that it may use will have room while a ticket is valid.
    """
    unknown: list[Room] = []
    lacking: list[Room] = []
    held = 0
    for room in rooms:
        permitted = tickets.permits(step_key, room.worker_id)
        if permitted is None:
            unknown.append(room)
        elif permitted:
            used_s = now_s + max(room.wait_s, answer_s)
            if tickets.is_valid_at(step_key, room.worker_id, used_s):
                held += 1
            else:
                lacking.append(room)
    unknown.sort(key=_scarcest_first)
    lacking.sort(key=_scarcest_first)
    usable_count = held + len(lacking)
    room_count = usable_count + len(unknown)
    wanted = max(step.task_count, _FAIR_PART * granted_share * room_count)
    if unknown and usable_count < wanted:
        # Too few of the workers named so far are granted and have room.
        chosen = lacking + unknown[: _first_count(step, granted_share)]
    elif len(lacking) < _least_lacking(step, usable_count):
        return []
    else:
        spare = _advice_targets.WAITING_TARGETS_MAX - len(lacking)
        chosen = lacking + unknown[: max(0, spare)]
    return [r.worker_id for r in chosen[: _names_max(step)]]


def _first_count(step: document.Step, granted_share: float) -> int:
    """Return how many workers the first request of a step names.

    A grant holds for a worker's life, so that a wide step asks once. A gang
    asks about all, as it starts only once all members fit.
    """
    if step.gang:
        return _names_max(step)
    wanted = math.ceil(step.task_count * _GRANTED_PER_TASK / granted_share)
    return max(wanted, _FIRST_NAMES_MIN)


def _least_lacking(step: document.Step, granted_count: int) -> float:
    """Return how many tickets must be lacking for a renewal."""
    share = _GANG_LACKING_SHARE if step.gang else _LACKING_SHARE
    return max(1.0, share * granted_count)


def _names_max(step: document.Step) -> int:
    """Return how many workers a step may name at a time."""
    requests = _GANG_REQUESTS_MAX if step.gang else 1
    return requests * _advice_targets.TARGETS_MAX


def _scarcest_first(room: Room) -> tuple[int, float]:
    """Return a sort key: workers that few steps may use come first."""
    return room.rivals, room.wait_s
