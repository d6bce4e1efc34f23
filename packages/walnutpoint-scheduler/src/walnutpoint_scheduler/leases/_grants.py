"""Grants leases that end before a successor takes them for lapsed."""

from __future__ import annotations

import typing

from walnutpoint_core import timer
from walnutpoint_scheduler.leases import _confirmation
from walnutpoint_scheduler.leases import _worker_lease

__all__ = ('Grants',)

# A call to a slow store is faster. A start with a lease that is about to end
# would be stopped before its first renewal.
_START_CONFIRMED_MAX_S: typing.Final = 1.0
# Confirmations are usually newer. All renewals assume this age, so that one
# that gets no answer, and may not have arrived, ends no later than usual.
_RENEWAL_AGE_S: typing.Final = 0.2


class Grants:
    """Grants all leases of one term.

    A successor takes a lease for lapsed that began before its own term. Each
    lease therefore begins when a successor was last excluded, however late it
    is granted, sent or carried out.
    """

    __slots__ = ('_confirmation', '_timer', 'granted_s')

    def __init__(
        self, confirmation: _confirmation.Confirmation, clock: timer.Timer
    ) -> None:
        self._confirmation = confirmation
        self._timer = clock
        # When a lease was last granted.
        self.granted_s: float | None = None

    def renew(self, lease: _worker_lease.WorkerLease) -> int | None:
        """Return the new end of a lease, in ms of the worker's clock.

        None while the worker's clock is unknown.
        """
        now_s = self._timer.now_s()
        return self._grant(
            lease, min(self._confirmation.newest_s, now_s - _RENEWAL_AGE_S)
        )

    def start(self, lease: _worker_lease.WorkerLease) -> int | None:
        """Return the end of a lease for a start, in ms of its clock.

        None if the start must not be sent. The store alone confirms one: a
        successor may have started the task and ended since, and no other
        host would tell.
        """
        now_s = self._timer.now_s()
        if now_s - self._confirmation.store_s > _START_CONFIRMED_MAX_S:
            return None
        return self._grant(lease, self._confirmation.store_s)

    def _grant(
        self, lease: _worker_lease.WorkerLease, from_s: float
    ) -> int | None:
        until_ms = lease.extend(from_s)
        if until_ms is not None:
            self.granted_s = self._timer.now_s()
        return until_ms
