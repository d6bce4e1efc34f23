"""Reservations for tasks while preempted batch tasks end."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _resources
from walnutpoint_entry.tasks import _room
from walnutpoint_entry.tasks import _slots

__all__ = (
    'Reservation',
    'Reservations',
)

# A task that never starts, for example of a gang that fits nowhere, must not
# displace batch tasks again and again.
_DISPLACE_RETRY_S: typing.Final = 60.0


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Resources reserved for a task; filled once it has a slot."""

    key: _model.TaskKey
    need: _resources.Resources
    worker: str
    until_s: float
    is_filled: bool = False

    @property
    def allocation_id(self) -> str:
        """Return the key of its allocation in the capacity ledger."""
        return f'{self.key.job}/{self.key.index}/reserve'


class Reservations:
    """Reserve resources for tasks from the preemption to their start.

    They are allocated at once, so that free resources may be negative until
    the preempted tasks have ended. Nothing else fits there meanwhile.
    """

    __slots__ = ('_by_key', '_capacity', '_displace_retry_at_s', '_slots')

    def __init__(
        self, capacity: _room.CapacityLedger, slots: _slots.SlotKeeper
    ) -> None:
        self._capacity = capacity
        self._slots = slots
        self._by_key: dict[_model.TaskKey, Reservation] = {}
        self._displace_retry_at_s: dict[_model.TaskKey, float] = {}

    def add(self, reservation: Reservation, now_s: float) -> None:
        """Reserve resources that are being freed."""
        self._displace_retry_at_s[reservation.key] = now_s + _DISPLACE_RETRY_S
        self._insert(reservation)
        self._fill(reservation.worker, has_slot=False)

    def restore(self, reservation: Reservation) -> None:
        """Reserve the resources and the slot of a released hold."""
        reservation.is_filled = True
        self._insert(reservation)

    def may_displace_for(self, key: _model.TaskKey, now_s: float) -> bool:
        """Return whether a task may displace others now."""
        return (
            key not in self._by_key
            and now_s >= self._displace_retry_at_s.get(key, now_s)
        )

    def has(self, key: _model.TaskKey) -> bool:
        """Return whether a task has a reservation."""
        return key in self._by_key

    def of_job(
        self, key: _model.TaskKey, need: _resources.Resources
    ) -> tuple[Reservation, ...]:
        """Return the job's reservations that fit, the task's own first."""
        found = [
            reservation
            for reservation in self._by_key.values()
            if reservation.key.job == key.job and reservation.need.covers(need)
        ]
        found.sort(key=lambda reservation: reservation.key != key)
        return tuple(found)

    def consume(self, reservation: Reservation, key: _model.TaskKey) -> None:
        """Remove a filled reservation; its slot passes to a task."""
        del self._by_key[reservation.key]
        self._capacity.release_allocation(
            reservation.worker, reservation.allocation_id
        )
        own = self._by_key.pop(key, None)
        if own is not None:
            # The sibling that loses its reservation gets this task's.
            self._capacity.release_allocation(own.worker, own.allocation_id)
            own.key = reservation.key
            self._insert(own)

    def clear_retry(self, key: _model.TaskKey) -> None:
        """Allow a started task to displace others again later."""
        self._displace_retry_at_s.pop(key, None)

    def offer_slot(self, worker: str) -> bool:
        """Fill a reservation with a slot that a worker frees."""
        return self._fill(worker, has_slot=True)

    def expire(self, now_s: float) -> None:
        """Remove expired reservations, and fill others if possible."""
        for reservation in tuple(self._by_key.values()):
            if now_s >= reservation.until_s:
                self._remove(reservation)
        for worker in {
            reservation.worker for reservation in self._by_key.values()
        }:
            self._fill(worker, has_slot=False)
        for key in [
            key
            for key, retry_at_s in self._displace_retry_at_s.items()
            if now_s >= retry_at_s
        ]:
            del self._displace_retry_at_s[key]

    def forget_worker(self, worker: str) -> None:
        """Remove the reservations on a worker."""
        for reservation in tuple(self._by_key.values()):
            if reservation.worker == worker:
                self._remove(reservation)

    def unfilled_count(self, worker: str | None = None) -> int:
        """Count the reservations without a slot, on one worker or all."""
        return sum(
            not reservation.is_filled and worker in (None, reservation.worker)
            for reservation in self._by_key.values()
        )

    def __len__(self) -> int:
        """Return the number of reservations."""
        return len(self._by_key)

    def _insert(self, reservation: Reservation) -> None:
        self._by_key[reservation.key] = reservation
        self._capacity.allocate(
            reservation.worker, reservation.allocation_id, reservation.need
        )

    def _remove(self, reservation: Reservation) -> None:
        del self._by_key[reservation.key]
        self._capacity.release_allocation(
            reservation.worker, reservation.allocation_id
        )
        if reservation.is_filled and not self._fill(
            reservation.worker, has_slot=True
        ):
            self._slots.free_slot(reservation.worker)

    def _fill(self, worker: str, has_slot: bool) -> bool:
        """Fill the oldest reservation; return whether it took the slot."""
        waiting = [
            reservation
            for reservation in self._by_key.values()
            if reservation.worker == worker and not reservation.is_filled
        ]
        if not waiting:
            return False
        later = sum(
            (reservation.need for reservation in waiting[1:]),
            start=_resources.Resources(),
        )
        remaining = self._capacity.free(worker) + later
        if not remaining.covers(_resources.Resources()):
            return False
        # If the slot were freed first, a waiting request would get it.
        if has_slot or self._slots.take_slot(worker):
            waiting[0].is_filled = True
            return has_slot
        return False


def usable(
    reservations: collections.abc.Iterable[Reservation], now_s: float
) -> tuple[Reservation, ...]:
    """Return the reservations in which a task could start now."""
    return tuple(
        reservation
        for reservation in reservations
        if reservation.is_filled and now_s < reservation.until_s
    )
