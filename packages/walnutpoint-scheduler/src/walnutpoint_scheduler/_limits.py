"""Limits the tasks that each client account may start in a pass."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import resources
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _placement_order
from walnutpoint_scheduler import _state

__all__ = (
    'AccountLimits',
    'min_start_count',
)

_NO_RESOURCES: typing.Final = resources.Resources()


class AccountLimits:
    """Applies the limits of client accounts during one pass.

    A step that waits for its account's limit reserves what is left of it, so
    that later steps of the same account can't overtake it. Other accounts are
    not affected.
    """

    __slots__ = ('_context', '_reserved_for')

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        # The step that the limit is reserved for, by account.
        self._reserved_for: dict[str, str] = {}

    def begin(
        self,
        queued_steps: collections.abc.Iterable[_placement_order.QueuedStep],
    ) -> None:
        """Begin a pass over some steps.

        An overdue step that waits for its account's limit goes before all
        others of that account.
        """
        self._reserved_for.clear()
        if self._context.cell.accounts is None:
            return
        now_s = self._context.timer.now_s()
        idle_before_s = now_s - self._context.settings.patience_s
        overdue = []
        for queued in queued_steps:
            since_s = queued.step.idle_since_s
            if since_s is not None and since_s < idle_before_s:
                overdue.append((since_s, queued.step.key, queued.step))
        for _, _, step in sorted(overdue, key=lambda each: each[:2]):
            if not self.permits(step) and self._may_ever_start(step):
                self._reserve(step)

    def startable_tasks(self, step: _state.StepProgress) -> int | None:
        """Return how many tasks of a step may start; None for all."""
        account = self._context.account_of(step.job)
        if account is None:
            return None
        if self._reserved_for.get(account.name, step.key) != step.key:
            return 0
        remaining = account.remaining(
            self._context.roster.usage.used(account.name)
        )
        if remaining is None:
            return None
        return remaining.fit_count(step.step.charge)

    def permits(self, step: _state.StepProgress) -> bool:
        """Return whether a task of a step, or all of a gang, may start."""
        allowed = self.startable_tasks(step)
        return allowed is None or allowed >= min_start_count(step)

    def reserve(self, step: _state.StepProgress) -> None:
        """Reserve what is left of an account's limit for a waiting step.

        A gang, which starts all at once, may be overtaken until it is overdue.
        A step larger than the whole limit never reserves.
        """
        if not step.step.gang and self._may_ever_start(step):
            self._reserve(step)

    def _reserve(self, step: _state.StepProgress) -> None:
        account = self._context.account_of(step.job)
        if account is not None:
            self._reserved_for.setdefault(account.name, step.key)

    def _may_ever_start(self, step: _state.StepProgress) -> bool:
        """Return whether a step fits within the whole limit."""
        account = self._context.account_of(step.job)
        remaining = (
            None if account is None else account.remaining(_NO_RESOURCES)
        )
        return remaining is None or remaining.fit_count(
            step.step.charge
        ) >= min_start_count(step)


def min_start_count(step: _state.StepProgress) -> int:
    """Return how many tasks of a step must start at once."""
    return len(step.tasks) if step.step.gang else 1
