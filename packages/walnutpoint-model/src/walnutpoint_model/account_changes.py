"""Changes of client accounts' limits and keys during a soak of a cell."""

from __future__ import annotations

import dataclasses
import random
import typing

import anyio
import msgspec

from walnutpoint_core import resources
from walnutpoint_model import account_audit
from walnutpoint_model import cell_model
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document

__all__ = (
    'AccountChanges',
    'with_initial_accounts',
)

_NAMES: typing.Final = ('limited', 'narrow', 'free')
_CHANGE_INTERVAL_S: typing.Final = (0.5, 2.5)
# How long after a new version starts under the previous one may still occur,
# until every healthy host has applied the new one and sent planned orders.
_APPLY_DELAY_S: typing.Final = 3.0
_LIMIT_RANGE_CORES: typing.Final = (2, 12)
# Limits by account, in cores; zero: no limit.
_INITIAL_LIMITS_CORES: typing.Final = (8, 3, 0)
# High enough for all jobs to end within the settling time.
_FINAL_LIMITS_CORES: typing.Final = (8, 8, 0)
_MILLICORES: typing.Final = 1000


def with_initial_accounts(configuration: cell.Cell) -> cell.Cell:
    """Return a configuration with three accounts, two of them limited."""
    return dataclasses.replace(
        configuration, accounts=_accounts(_INITIAL_LIMITS_CORES, (1, 1, 1))
    )


def _accounts(
    cores: tuple[int, ...], keys: tuple[int, ...]
) -> accounts.Accounts:
    """Return the accounts with the given limits and key numbers."""
    return accounts.Accounts(
        accounts.Account(
            name,
            frozenset((accounts.digest(_key(name, key_number)),)),
            limit=resources.Resources(limit * _MILLICORES),
        )
        for name, limit, key_number in zip(_NAMES, cores, keys, strict=True)
    )


def _key(name: str, key_number: int) -> str:
    return f'{name}-{key_number}'


class AccountChanges:
    """Writes versions that change limits and keys, and checks the result."""

    __slots__ = (
        '_audit',
        '_jobs',
        '_key_numbers',
        '_model',
        '_random',
        '_versions',
    )

    def __init__(
        self, model: cell_model.CellModel, rng: random.Random
    ) -> None:
        self._model = model
        self._random = rng
        self._jobs: dict[str, document.Job] = {}
        self._key_numbers = dict.fromkeys(_NAMES, 1)
        # Each version with the time until which it may be in force.
        self._versions: list[tuple[float, cell.Cell]] = [
            (float('inf'), model.configuration)
        ]
        self._audit = account_audit.AccountAudit(
            model.fleet.ledger, self._jobs, self._accounts_in_force
        )

    def assign(self, job: document.Job) -> document.Job:
        """Return a job with an account, the same for each try of the job."""
        known = self._jobs.get(job.job_id)
        name = known.account if known else self._random.choice(_NAMES)
        owned = msgspec.structs.replace(job, account=name)
        self._jobs[job.job_id] = owned
        return owned

    def account_of(self, job_id: str) -> str:
        """Return the account of a job."""
        job = self._jobs.get(job_id)
        return job.account if job is not None else ''

    async def run(self, duration_s: float) -> None:
        """Change the accounts for a time, then raise their limits."""
        end_s = self._model.timer.now_s() + duration_s
        while self._model.timer.now_s() < end_s:
            await anyio.sleep(self._random.uniform(*_CHANGE_INTERVAL_S))
            cores = (
                self._random.randint(*_LIMIT_RANGE_CORES),
                self._random.randint(*_LIMIT_RANGE_CORES),
                0,
            )
            rotated = self._random.choice(_NAMES)
            self._key_numbers[rotated] += 1
            self._write(cores)
        self._write(_FINAL_LIMITS_CORES)

    def _write(self, cores: tuple[int, ...]) -> None:
        before = self._model.configuration
        self._model.configure(
            dataclasses.replace(
                before,
                version=before.version + 1,
                accounts=_accounts(cores, tuple(self._key_numbers.values())),
            )
        )
        now_s = self._model.timer.now_s()
        self._versions[-1] = now_s + _APPLY_DELAY_S, before
        self._versions.append((float('inf'), self._model.configuration))

    def _accounts_in_force(self) -> list[accounts.Accounts]:
        now_s = self._model.timer.now_s()
        return [
            each.accounts
            for until_s, each in self._versions
            if until_s >= now_s and each.accounts is not None
        ]

    def violations(self) -> list[str]:
        """Return violated limits, and hosts without the newest keys."""
        found = list(self._audit.violations)
        newest = self._model.configuration
        for name, host in sorted(self._model.processes.items()):
            current = host.process.cell
            if current is None or current.version != newest.version:
                version = current.version if current else 0
                found.append(
                    f'{name} has version {version}, not {newest.version}'
                )
                continue
            for account_name, key_number in self._key_numbers.items():
                found += _key_violations(
                    name, current, account_name, key_number
                )
        return found


def _key_violations(
    host: str, current: cell.Cell, account_name: str, key_number: int
) -> list[str]:
    """Return how a host's keys of an account differ from the newest."""
    known = typing.cast(accounts.Accounts, current.accounts)
    found = []
    found_account = known.by_key(_key(account_name, key_number))
    if found_account is None or found_account.name != account_name:
        found.append(
            f'{host} does not know the key {key_number} of {account_name}'
        )
    if known.by_key(_key(account_name, key_number - 1)) is not None:
        found.append(f'{host} accepts a revoked key of {account_name}')
    return found
