"""The links to the owned workers."""

from __future__ import annotations

import typing

from walnutpoint_core import errors
from walnutpoint_entry.tasks import _contact
from walnutpoint_entry.tasks import _owner

__all__ = ('WORKER_FAULTS', 'WorkerLinks')

WORKER_FAULTS: typing.Final = frozenset(
    {
        errors.ErrorKind.ANSWER_CUT,
        errors.ErrorKind.ANSWER_LATE,
        errors.ErrorKind.ANSWER_LOST,
        errors.ErrorKind.ENDPOINT_REFUSED,
        errors.ErrorKind.ENDPOINT_UNREACHABLE,
    }
)


class WorkerLinks:
    """The links to the owned workers by name."""

    __slots__ = ('_by_worker', '_owner')

    def __init__(self, owner: _owner.Owner) -> None:
        self._owner = owner
        self._by_worker: dict[str, _contact.WorkerLink] = {}

    def add(self, link: _contact.WorkerLink) -> None:
        """Add the link to an acquired worker."""
        self._by_worker[link.worker] = link

    def remove(self, worker: str) -> bool:
        """Remove a worker's link; return whether there was one."""
        return self._by_worker.pop(worker, None) is not None

    def find(self, worker: str) -> _contact.WorkerLink | None:
        """Return the link to a worker, or None if it is not owned."""
        return self._by_worker.get(worker)

    def require(self, worker: str) -> _contact.WorkerLink:
        """Return the link to an owned worker."""
        return self._by_worker[worker]

    def all(self) -> tuple[_contact.WorkerLink, ...]:
        """Return the links to all owned workers."""
        return tuple(self._by_worker.values())

    def is_current(self, link: _contact.WorkerLink) -> bool:
        """Return False once a worker was lost, even if acquired again."""
        return self._by_worker.get(link.worker) is link

    def may_act(self, link: _contact.WorkerLink) -> bool:
        """Return whether an order may be sent to a worker now."""
        return self.is_current(link) and self._owner.may_act(link.worker)
