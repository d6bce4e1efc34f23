"""Client accounts of a load: who hands jobs in, and what each is owed."""

from __future__ import annotations

import collections
import random
import typing

import msgspec

from walnutpoint_core import resources
from walnutpoint_scheduler import accounts

__all__ = (
    'AccountLoad',
    'Tenancy',
)

_Positive = typing.Annotated[float, msgspec.Meta(gt=0.0)]
_WINDOW_MS: typing.Final = 1000


class AccountLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One client account: its part of the jobs, its share and its limit."""

    name: str
    # Its part of all jobs, against those of the other accounts.
    share: _Positive = 1.0
    # Jobs a second that it is owed.
    weight: _Positive = 1.0
    # Zero: no limit.
    limit_millicores: int = 0
    limit_memory_mb: int = 0
    # When it sends hot_factor times its usual, if it does.
    hot_at_s: float | None = None
    hot_s: _Positive = 8.0
    hot_factor: _Positive = 5.0

    def account(self) -> accounts.Account:
        """Return the account as it is configured."""
        limit = resources.Resources(
            self.limit_millicores, self.limit_memory_mb
        )
        return accounts.Account(self.name, weight=self.weight, limit=limit)


class Tenancy:
    """Draws the account of each job, and tells which jobs are owed."""

    __slots__ = ('_loads', '_random', '_sent_ms', 'owed')

    def __init__(self, loads: tuple[AccountLoad, ...], seed: int) -> None:
        self._loads = loads
        # Apart from the jobs, which stay the same with other accounts.
        self._random = random.Random(f'accounts {seed}')  # noqa: S311
        self._sent_ms: dict[str, collections.deque[int]] = {}
        # Whether each job is within its account's rate, by its name.
        self.owed: dict[str, bool] = {}

    def draw(self) -> str:
        """Return the account of one more job of the usual load."""
        if not self._loads:
            return ''
        shares = [each.share for each in self._loads]
        return self._random.choices(self._loads, shares)[0].name

    def part(self, name: str) -> float:
        """Return an account's part of the usual load."""
        whole = sum(each.share for each in self._loads)
        return sum(e.share for e in self._loads if e.name == name) / whole

    def hot(self) -> tuple[AccountLoad, ...]:
        """Return the accounts that send more than usual at some time."""
        return tuple(e for e in self._loads if e.hot_at_s is not None)

    def note(self, job_id: str, name: str, at_ms: int) -> None:
        """Count a job that is handed in, for what its account is owed.

        Counted over each second that ends with a job, apart from the
        scheduler's own measure.
        """
        weight = {each.name: each.weight for each in self._loads}.get(name)
        if weight is None:
            self.owed[job_id] = True
            return
        sent = self._sent_ms.setdefault(name, collections.deque())
        while sent and sent[0] <= at_ms - _WINDOW_MS:
            sent.popleft()
        self.owed[job_id] = len(sent) < max(1.0, weight)
        if self.owed[job_id]:
            sent.append(at_ms)
