"""The worker selectors of one pass, by pool."""

from __future__ import annotations

from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import placement

__all__ = (
    'PassSelectors',
    'pool_speeds',
)


class PassSelectors:
    """Creates the selector of each pool when a pass first needs it."""

    __slots__ = ('_by_pool', '_context')

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        self._by_pool: dict[str, _worker_selector.WorkerSelector] = {}

    def clear(self) -> None:
        """Begin a pass."""
        self._by_pool.clear()

    def of_queue(self, queue: cell.Queue) -> _worker_selector.WorkerSelector:
        """Return this pass's selector for a queue's pool."""
        selector = self._by_pool.get(queue.pool)
        if selector is None:
            context = self._context
            selector = self._by_pool[queue.pool] = (
                _worker_selector.WorkerSelector(
                    context.roster.in_pool(queue.pool),
                    context.health,
                    context.timer.now_s(),
                    context.settings.policies,
                    context.pace,
                    pool_speeds(context, queue.pool),
                )
            )
        return selector


def pool_speeds(
    context: _context.Context, pool: str
) -> placement.PoolSpeeds | None:
    """Return the speeds of a pool's workers; None if all are alike."""
    if not context.settings.policies.placement_by_end:
        return None
    if not context.run_times.is_mixed(pool):
        return None
    return context.speeds.speeds(
        pool,
        list(context.roster.in_pool(pool)),
        context.run_times,
        context.timer.now_s(),
        context.now_ms(),
    )
