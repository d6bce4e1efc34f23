"""The client accounts of one configuration, by name and by key."""

from __future__ import annotations

import collections.abc

from walnutpoint_scheduler.accounts import _account

__all__ = (
    'Accounts',
    'faults',
)


class Accounts:
    """Finds an account by its name, or by a key that it has."""

    __slots__ = ('_by_digest', '_by_name')

    def __init__(
        self, accounts: collections.abc.Iterable[_account.Account]
    ) -> None:
        self._by_name = {account.name: account for account in accounts}
        self._by_digest = {
            key_digest: account
            for account in self._by_name.values()
            for key_digest in account.key_digests
        }

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> collections.abc.Iterator[_account.Account]:
        return iter(self._by_name.values())

    @property
    def key_count(self) -> int:
        """Return how many keys there are."""
        return len(self._by_digest)

    def get(self, name: str) -> _account.Account | None:
        """Return an account by its name."""
        return self._by_name.get(name)

    def holder(self, key: str) -> _account.Account | None:
        """Return the account that has a key."""
        return self._by_digest.get(_account.digest(key))


def faults(
    accounts: collections.abc.Sequence[_account.Account],
) -> list[str]:
    """Return what makes accounts contradict one another."""
    found = []
    names: set[str] = set()
    holders: dict[bytes, str] = {}
    for account in accounts:
        if account.name in names:
            found.append(f'account {account.name!r} is there twice')
        names.add(account.name)
        for key_digest in account.key_digests:
            holder = holders.setdefault(key_digest, account.name)
            if holder != account.name:
                found.append(
                    f'accounts {holder!r} and {account.name!r} have a key '
                    'in common'
                )
    return found
