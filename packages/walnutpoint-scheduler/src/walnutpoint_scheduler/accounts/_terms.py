"""The share and the limit of a client account, as stored with its jobs."""

from __future__ import annotations

import msgspec

from walnutpoint_core import resources
from walnutpoint_scheduler.accounts import _account

__all__ = ('Terms',)


class Terms(msgspec.Struct, frozen=True, array_like=True):
    """What an account was configured with when a job was accepted."""

    # Guaranteed jobs per second.
    weight: float
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    @classmethod
    def of(cls, account: _account.Account) -> Terms:
        """Return the terms of a configured account."""
        limit = account.limit
        return cls(
            account.weight,
            limit.cpu_millicores,
            limit.memory_mb,
            limit.accelerators,
        )

    def account(self, name: str) -> _account.Account:
        """Return an account with these terms and without keys."""
        limit = resources.Resources(
            self.cpu_millicores, self.memory_mb, self.accelerators
        )
        return _account.Account(name, weight=self.weight, limit=limit)
