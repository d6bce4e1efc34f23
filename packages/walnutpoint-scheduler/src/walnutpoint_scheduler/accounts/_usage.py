"""The resources that the runs of each client account use."""

from __future__ import annotations

import typing

from walnutpoint_core import resources

__all__ = ('Usage',)

_NOTHING: typing.Final = resources.Resources()


class Usage:
    """Sums the runs of each account that may be running in a term.

    A run counts from its plan until it has certainly ended, whatever its
    worker answers.
    """

    __slots__ = ('_run_counts', '_used')

    def __init__(self) -> None:
        self._used: dict[str, resources.Resources] = {}
        self._run_counts: dict[str, int] = {}

    def add(self, account: str, need: resources.Resources) -> None:
        """Add a run to its account."""
        self._used[account] = self.used(account) + need
        self._run_counts[account] = self._run_counts.get(account, 0) + 1

    def remove(self, account: str, need: resources.Resources) -> None:
        """Remove an ended run from its account."""
        run_count = self._run_counts[account] - 1
        if not run_count:
            # Drops idle accounts, as accounts come and go.
            del self._used[account], self._run_counts[account]
            return
        self._run_counts[account] = run_count
        self._used[account] -= need

    def used(self, account: str) -> resources.Resources:
        """Return the resources that the runs of an account use."""
        return self._used.get(account, _NOTHING)

    def run_count(self, account: str) -> int:
        """Return the number of an account's runs."""
        return self._run_counts.get(account, 0)
