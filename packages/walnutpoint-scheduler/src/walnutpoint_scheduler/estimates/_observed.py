"""Run times and worker speeds learned from observed runs."""

from __future__ import annotations

import collections
import collections.abc
import math
import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import document
from walnutpoint_scheduler.estimates import _sizes
from walnutpoint_scheduler.estimates import _snapshot
from walnutpoint_scheduler.estimates import _speeds

__all__ = ('ObservedRunTimes',)

_LOG: typing.Final = logs.get_logger('estimates')
# Levels change slowly; one update takes some ms at 900 workers.
_REFRESH_PERIOD_S: typing.Final = 0.5
_LOG_PERIOD_S: typing.Final = 2.0
# Most groups named in a log line.
_GROUPS_LOGGED_MAX: typing.Final = 6


class _Slowdown:
    """The slowdown of a worker, with the entry that it was read for."""

    __slots__ = ('entry', 'pool', 'value')

    def __init__(
        self, value: float, pool: str, entry: cell.ListedWorker | None
    ) -> None:
        self.value = value
        self.pool = pool
        # None if only known from runs or a snapshot.
        self.entry = entry


class ObservedRunTimes:
    """Estimates run times from the declared times and observed runs.

    The logarithm of a run's time over its declared time is modelled as the
    error of its queue and step, plus the logarithm of its worker's slowdown,
    plus a residual. Each run updates both with the other held fixed.
    """

    __slots__ = (
        '_has_changed',
        '_logged_s',
        '_pool_of_queue',
        '_pools',
        '_refreshed_s',
        '_sizes',
        '_slowdowns',
        '_stored',
    )

    def __init__(self) -> None:
        self._pools: collections.defaultdict[str, _speeds.PoolSpeeds] = (
            collections.defaultdict(_speeds.PoolSpeeds)
        )
        self._sizes = _sizes.TaskSizes()
        # The pool in which a queue's runs were observed last.
        self._pool_of_queue: dict[str, str] = {}
        # By worker, as read by every pass.
        self._slowdowns: dict[str, _Slowdown] = {}
        self._refreshed_s = -math.inf
        self._logged_s: dict[str, float] = {}
        self._has_changed = False
        # The snapshot that the store has.
        self._stored: _snapshot.Snapshot | None = None

    def task_s(self, queue: str, step_key: str, step: document.Step) -> float:
        """Return the expected run time of a task on a usual worker."""
        declared_s = step.expected_s
        center = self._sizes.center(queue, step_key)
        if center is None or declared_s == math.inf:
            return declared_s
        pool = self._pool_of_queue.get(queue)
        usual = self._pools[pool].usual if pool is not None else 0.0
        return declared_s * _sizes.factor(center + usual)

    def slowdown(self, worker: cell.ListedWorker) -> float:
        """Return the run time on a worker over that on a usual worker."""
        known = self._slowdowns.get(worker.worker_id)
        if known is not None and known.entry is worker:
            return known.value
        return self._read_slowdown(worker, known)

    def _read_slowdown(
        self, worker: cell.ListedWorker, known: _Slowdown | None
    ) -> float:
        """Return the slowdown of a worker whose entry was replaced.

        Most new entries are heartbeats and change nothing else.
        """
        if (
            known is not None
            and known.entry is not None
            and _is_same_kind(known.entry, worker)
        ):
            known.entry = worker
            return known.value
        self._remove_if_moved(worker)
        pool = self._pools[worker.pool]
        if not pool.workers:
            return 1.0
        value = pool.slowdown(pool.worker(worker))
        self._slowdowns[worker.worker_id] = _Slowdown(
            value, worker.pool, worker
        )
        return value

    def _remove_if_moved(self, worker: cell.ListedWorker) -> None:
        """Remove the record of a worker that was in another pool."""
        known = self._slowdowns.get(worker.worker_id)
        if known is not None and known.pool != worker.pool:
            self.forget(worker.worker_id)

    def slowdown_of(self, worker_id: str) -> float:
        """Return the slowdown of a worker that was seen before, or 1."""
        known = self._slowdowns.get(worker_id)
        return 1.0 if known is None else known.value

    def is_mixed(self, pool: str) -> bool:
        """Return whether the speeds of a pool's workers differ materially."""
        speeds = self._pools.get(pool)
        return speeds is not None and speeds.is_mixed

    def large_share(self, pool: str) -> float:
        """Return the share of a pool's tasks much larger than their step's."""
        return self._pools[pool].large_share

    def forget(self, worker_id: str) -> None:
        """Remove the record of a worker that left or restarted.

        The next incarnation at its address inherits some of its evidence.
        """
        self._slowdowns.pop(worker_id, None)
        for pool in self._pools.values():
            if pool.forget(worker_id):
                self._has_changed = True

    def retain(self, listed_ids: collections.abc.Container[str]) -> None:
        """Remove the records of all workers that are not listed."""
        known = {*self._slowdowns}.union(
            *(pool.workers for pool in self._pools.values())
        )
        for worker_id in known:
            if worker_id not in listed_ids:
                self.forget(worker_id)

    def observe(
        self,
        worker: cell.ListedWorker,
        queue: str,
        step_key: str,
        declared_s: float,
        run_s: float,
        now_s: float,
        *,
        is_slow: bool = False,
    ) -> None:
        """Record the run time of one task, ended or predicted.

        is_slow tells that the worker is much slower than usual for now.
        """
        if declared_s <= 0.0 or run_s <= 0.0:
            return
        self._remove_if_moved(worker)
        pool = self._pools[worker.pool]
        speed = pool.worker(worker)
        if not speed.admits(now_s, is_slow=is_slow):
            self._has_changed = True
            return
        ratio = math.log(run_s / declared_s)
        center = self._sizes.center(queue, step_key)
        if center is not None:
            pool.add(speed, ratio - center, now_s)
        self._sizes.add(queue, step_key, ratio - speed.level)
        self._pool_of_queue[queue] = worker.pool
        self._has_changed = True

    def refresh(self, now_s: float) -> None:
        """Update the estimates from the runs observed since, if due."""
        if now_s - self._refreshed_s < _REFRESH_PERIOD_S:
            return
        self._refreshed_s = now_s
        if not self._has_changed:
            return
        self._has_changed = False
        self._sizes.refresh()
        for name, pool in self._pools.items():
            pool.refresh()
            self._read_slowdowns(name, pool)
            if now_s - self._logged_s.get(name, -math.inf) >= _LOG_PERIOD_S:
                self._logged_s[name] = now_s
                self._log(name, pool)

    def changed_snapshot(
        self, listed_ids: collections.abc.Container[str] | None = None
    ) -> _snapshot.Snapshot | None:
        """Return the estimates, or None if the store has about the same.

        They are those of the listed workers and their groups; None is all.
        """
        snapshot = _snapshot.Snapshot(
            _snapshot.FORMAT,
            {
                name: pool.snapshot(listed_ids)
                for name, pool in self._pools.items()
            },
            {
                queue: (name, _snapshot.to_milli(level + usual), weight)
                for queue, (level, weight) in self._sizes.levels().items()
                if (name := self._pool_of_queue.get(queue)) is not None
                for usual in (self._pools[name].usual,)
            },
        )
        is_empty = not any(pool.groups for pool in snapshot.pools.values())
        if is_empty or not _snapshot.differs(snapshot, self._stored):
            return None
        return snapshot

    def mark_stored(self, snapshot: _snapshot.Snapshot) -> None:
        """Record that the store has a snapshot."""
        self._stored = snapshot

    def restore(self, value: bytes) -> int:
        """Take a stored snapshot over, and return its number of workers.

        Raise UnreadableError, with nothing changed, if it can't be used.
        """
        snapshot = _snapshot.decode(value)
        for name, stored in snapshot.pools.items():
            pool = self._pools[name]
            pool.restore(stored)
            self._read_slowdowns(name, pool)
        for queue, (name, level, weight) in snapshot.queues.items():
            self._pool_of_queue.setdefault(queue, name)
            usual = self._pools[name].usual
            self._sizes.restore(
                queue, _snapshot.from_milli(level) - usual, weight
            )
        self._stored = snapshot
        return sum(len(pool.workers) for pool in snapshot.pools.values())

    def _read_slowdowns(self, name: str, pool: _speeds.PoolSpeeds) -> None:
        for worker_id, speed in pool.workers.items():
            known = self._slowdowns.get(worker_id)
            if known is None or known.pool != name:
                known = _Slowdown(1.0, name, None)
                self._slowdowns[worker_id] = known
            known.value = pool.slowdown(speed)

    def _log(self, name: str, pool: _speeds.PoolSpeeds) -> None:
        groups = sorted(pool.groups.items(), key=lambda item: -item[1].runs)
        _LOG.info(
            'run_times.updated',
            pool=name,
            mixed=pool.is_mixed,
            workers=len(pool.workers),
            runs=pool.runs,
            groups=','.join(
                f'{"+".join(labels) or "-"}='
                f'{math.exp(group.level - pool.usual):.2f}/{group.workers}'
                for labels, group in groups[:_GROUPS_LOGGED_MAX]
            ),
            queues=','.join(
                f'{queue}={math.exp(level + pool.usual):.2f}'
                for queue, (level, _) in self._sizes.levels().items()
                if self._pool_of_queue.get(queue) == name
            ),
        )


def _is_same_kind(entry: cell.ListedWorker, other: cell.ListedWorker) -> bool:
    """Return whether two entries of a worker share its estimates."""
    return (
        entry.pool == other.pool
        and entry.labels == other.labels
        and entry.rack == other.rack
        and entry.born_ms == other.born_ms
    )
