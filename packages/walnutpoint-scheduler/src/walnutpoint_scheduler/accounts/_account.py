"""A client account as configured by the operators."""

from __future__ import annotations

import dataclasses
import hashlib
import typing

from walnutpoint_core import resources

__all__ = (
    'Account',
    'digest',
)


_NO_LIMIT: typing.Final = resources.Resources()
# More than all tasks of a job can request.
_UNLIMITED: typing.Final = 2**53


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account, which stores only digests of its keys."""

    name: str
    key_digests: frozenset[bytes] = frozenset()
    # Guaranteed jobs per second, and the share when all workers are full.
    weight: float = 1.0
    # Limit on the resources of its running tasks; zero is no limit.
    limit: resources.Resources = resources.Resources()

    def remaining(
        self, used: resources.Resources
    ) -> resources.Resources | None:
        """Return what further tasks may use; None for no limit.

        A resource without a limit gets a value above any request.
        """
        limit = self.limit
        if limit == _NO_LIMIT:
            return None
        return resources.Resources(
            _remaining(limit.cpu_millicores, used.cpu_millicores),
            _remaining(limit.memory_mb, used.memory_mb),
            _remaining(limit.accelerators, used.accelerators),
        )


def digest(key: str) -> bytes:
    """Return the digest by which a key is stored and compared."""
    return hashlib.sha256(key.encode()).digest()


def _remaining(limit: int, used: int) -> int:
    return max(0, limit - used) if limit else _UNLIMITED
