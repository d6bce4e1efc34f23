"""How much of a waiting step could start, so that advice is of use to it."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_scheduler import _advice_targets
from walnutpoint_scheduler import _limits
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker

__all__ = (
    'AccountShares',
    'is_stuck',
)

# Of the shares left, which are sums of fractions.
_ROUNDING_ERROR: typing.Final = 1e-6


class AccountShares:
    """Divides what the limits of accounts permit among steps, in order."""

    __slots__ = ('_left',)

    def __init__(self) -> None:
        # The share of an account's remaining limit that no step has taken.
        self._left: dict[str, float] = {}

    def take(
        self, account: str, step: _state.StepProgress, allowed: int | None
    ) -> int:
        """Return how many waiting tasks of a step the limit has room for.

        allowed is how many it permits to the step alone; None for all.
        """
        waiting = len(step.waiting())
        if allowed is None:
            return waiting
        left = self._left.get(account, 1.0)
        count = min(waiting, int(left * allowed + _ROUNDING_ERROR))
        if count < _limits.min_start_count(step):
            return 0
        self._left[account] = max(0.0, left - count / allowed)
        return count


def is_stuck(
    step: _state.StepProgress,
    workers: collections.abc.Iterable[_worker.WorkerState],
    permits: collections.abc.Callable[[str, str], bool | None],
) -> bool:
    """Return whether a step can't start on these workers, even empty ones.

    It fits on too few, or advice denies those. The wait cause does not tell:
    a step that waits for its place in the set shows that instead.
    """
    wanted = _limits.min_start_count(step)
    document = step.step
    label = document.required_label
    for worker in workers:
        if label and label not in worker.listed.labels:
            continue
        if permits(step.key, worker.worker_id) is False:
            continue
        wanted -= _advice_targets.tasks_that_fit(
            worker.listed.capacity, document
        )
        if wanted <= 0:
            return False
    return True
