"""Checks the resource limits of client accounts on the workers' side."""

from __future__ import annotations

import collections.abc

from walnutpoint_core import resources
from walnutpoint_model import ledger as ledgers
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import document
from walnutpoint_scheduler import ports

__all__ = ('AccountAudit',)


class AccountAudit:
    """Compares each start with the limit of its job's account.

    One task may exceed the limit: a start is a violation only if the account
    exceeded its limit before it.
    """

    __slots__ = (
        '_accounts_in_force',
        '_jobs',
        '_ledger',
        'peak_usage',
        'violations',
    )

    def __init__(
        self,
        ledger: ledgers.Ledger,
        jobs: collections.abc.Mapping[str, document.Job],
        in_force: collections.abc.Callable[
            [], collections.abc.Iterable[accounts.Accounts]
        ],
    ) -> None:
        """Audit jobs, given by ID, against any account version in force."""
        self._ledger = ledger
        self._jobs = jobs
        self._accounts_in_force = in_force
        # The peak usage of each account.
        self.peak_usage: dict[str, resources.Resources] = {}
        self.violations: list[str] = []
        ledger.add_start_listener(self._check_start)

    def usage(self, name: str) -> resources.Resources:
        """Return the resources that an account's running tasks use."""
        usage = resources.Resources()
        for task in self._ledger.running:
            job = self._jobs.get(task.job_id)
            if job is not None and job.account == name:
                usage += job.steps[task.step].charge
        return usage

    def _check_start(self, task: ports.TaskName, worker: str) -> None:
        job = self._jobs.get(task.job_id)
        if job is None or not job.account:
            return
        charge = job.steps[task.step].charge
        usage = self.usage(job.account)
        peak_usage = self.peak_usage.get(job.account, resources.Resources())
        self.peak_usage[job.account] = peak_usage.elementwise_max(
            usage + charge
        )
        candidates = [
            each.get(job.account) for each in self._accounts_in_force()
        ]
        if any(_may_start(account, usage) for account in candidates):
            return
        self.violations.append(
            f'account {job.account} has {usage} at work before {task} '
            f'starts on {worker}'
        )


def _may_start(
    account: accounts.Account | None, usage: resources.Resources
) -> bool:
    """Return whether an account with this usage may start a task."""
    if account is None or account.limit == resources.Resources():
        return True
    limit = account.limit
    return not any(
        limit_value and used > limit_value
        for limit_value, used in (
            (limit.cpu_millicores, usage.cpu_millicores),
            (limit.memory_mb, usage.memory_mb),
            (limit.accelerators, usage.accelerators),
        )
    )
