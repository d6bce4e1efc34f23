"""Client accounts of one configuration, indexed by name and key."""

from __future__ import annotations

import collections.abc

from walnutpoint_scheduler.accounts import _account

__all__ = (
    'Accounts',
    'conflicts',
)


class Accounts:
    """Finds an account by its name or one of its keys."""

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
        """Return the number of keys of all accounts."""
        return len(self._by_digest)

    def get(self, name: str) -> _account.Account | None:
        """Return the account with a name."""
        return self._by_name.get(name)

    def by_key(self, key: str) -> _account.Account | None:
        """Return the account that owns a key."""
        return self._by_digest.get(_account.digest(key))


def conflicts(
    accounts: collections.abc.Sequence[_account.Account],
) -> list[str]:
    """Return a message for each duplicate name and shared key."""
    found = []
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for account in accounts:
        if account.name in names:
            found.append(f'account {account.name!r} is defined twice')
        names.add(account.name)
        for key_digest in account.key_digests:
            owner = owners.setdefault(key_digest, account.name)
            if owner != account.name:
                found.append(
                    f'accounts {owner!r} and {account.name!r} share a key'
                )
    return found
