"""How much slower than usual the workers of one pool are."""

from __future__ import annotations

import collections
import collections.abc
import math
import typing

from walnutpoint_scheduler import cell
from walnutpoint_scheduler.estimates import _snapshot
from walnutpoint_scheduler.estimates import _statistics

__all__ = (
    'GroupSpeed',
    'PoolSpeeds',
    'WorkerSpeed',
)

# Runs kept per worker: as many as a worker of a busy cell has in a minute.
_RUNS_MAX: typing.Final = 32
# Spread of a run's evidence: that of the tasks of a step (0.5) and of the
# center that it is compared with.
_RUN_SPREAD: typing.Final = 0.55
# Runs that share a step err together, so that a group's count shows less.
_GROUP_SPREAD: typing.Final = 0.8
# A task of the tail, seven times as large, counts as twice as large.
_CLIP: typing.Final = 0.7
# The prior of a worker, and of a group, counts as this many runs: workers of
# one kind differ by 0.1, a fifth of _RUN_SPREAD.
_WORKER_PRIOR_RUNS: typing.Final = 32.0
_GROUP_PRIOR_RUNS: typing.Final = 100.0
# The earlier incarnation at an address counts as this many runs at most.
_INHERITED_RUNS_MAX: typing.Final = 4.0
# A snapshot counts as at most this many runs of a worker and of a group.
_RESTORED_RUNS_MAX: typing.Final = 16.0
_RESTORED_GROUP_RUNS_MAX: typing.Final = 200.0
# Two groups differ from a quarter on, and until they differ by less than a
# seventh. Each has this many workers and runs at least: with 20 runs of spread
# 0.55 a group's mean is known within 0.12, half of what tells groups apart.
_MIXED_FROM: typing.Final = math.log(1.25)
_MIXED_UNTIL: typing.Final = math.log(1.15)
_GROUP_WORKERS_MIN: typing.Final = 3
_GROUP_RUNS_MIN: typing.Final = 20
# The faster group is the usual one if it has this share of the capacity.
_USUAL_SHARE_MIN: typing.Final = 1.0 / 3.0
# Evidence from shortly before a worker is found to be slow is dropped: it
# takes two reports, each 0.5 s after the last.
_DETECTION_S: typing.Final = 1.5
# A worker that is slow for longer than this is taken to stay so. Shorter
# gaps, in which no task shows its pace, do not interrupt the time.
_LASTING_S: typing.Final = 10.0
_GAP_S: typing.Final = 3.0
_WORKERS_MAX: typing.Final = 4096
# Addresses whose last incarnation is known, and groups without workers.
_ADDRESSES_MAX: typing.Final = 4096
_FORMER_GROUPS_MAX: typing.Final = 256
# A task is large from this residual on, which one in a hundred others reach.
_LARGE_FROM: typing.Final = math.log(3.5)
# The share of large tasks before any were observed, and its weight.
_LARGE_SHARE_PRIOR: typing.Final = 0.03
_LARGE_PRIOR_RUNS: typing.Final = 50.0

Labels = tuple[str, ...]


def labels_of(listed: cell.ListedWorker) -> Labels:
    """Return the labels that tell kinds of workers apart."""
    return tuple(sorted(set(listed.labels) - {listed.rack}))


class WorkerSpeed:
    """The evidence about one worker, as logarithms of its slowdown."""

    __slots__ = (
        '_runs',
        '_slow_from_s',
        '_slow_until_s',
        'address',
        'born_ms',
        'capacity',
        'count',
        'inherited',
        'labels',
        'level',
        'mean',
    )

    def __init__(self, labels: Labels, cpu_millicores: int) -> None:
        self.labels = labels
        # Empty for a worker known from a snapshot only.
        self.address = ''
        # Start of its incarnation; zero if unknown.
        self.born_ms = 0
        self.capacity = max(1, cpu_millicores)
        # Time of observation and value.
        self._runs: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_RUNS_MAX
        )
        self._slow_from_s = -math.inf
        self._slow_until_s = -math.inf
        # Mean and number of runs known from elsewhere.
        self.inherited = (0.0, 0.0)
        self.mean = 0.0
        self.count = 0
        self.level = 0.0

    def add(self, value: float, now_s: float) -> None:
        """Record one run."""
        self._runs.append((now_s, value))
        self._summarize()

    def admits(self, now_s: float, *, is_slow: bool) -> bool:
        """Return whether a run counts, given whether it is slow now."""
        if not is_slow:
            return True
        if now_s - self._slow_until_s > _GAP_S:
            self._slow_from_s = now_s
            while self._runs and self._runs[-1][0] > now_s - _DETECTION_S:
                self._runs.pop()
            self._summarize()
        self._slow_until_s = now_s
        return now_s - self._slow_from_s > _LASTING_S

    def evidence(self) -> tuple[float, float]:
        """Return the mean and number of runs, with what is inherited."""
        mean, count = self.inherited
        count = max(0.0, count - self.count)
        total = count + self.count
        if not total:
            return 0.0, 0.0
        return (mean * count + self.mean * self.count) / total, total

    def retire(self) -> None:
        """Keep only what the next incarnation inherits."""
        self.inherited = self.evidence()
        self._runs.clear()
        self.count = 0

    def _summarize(self) -> None:
        self.count = len(self._runs)
        if self.count:
            values = [value for _, value in self._runs]
            self.mean = _statistics.clipped_mean(values, self.level, _CLIP)


class GroupSpeed(typing.NamedTuple):
    """The pooled estimate for workers with the same labels."""

    level: float
    runs: float
    workers: int


class PoolSpeeds:
    """Estimates the slowdown of each worker of a pool.

    Levels are logarithms with an arbitrary origin: runs are only compared with
    others, so that all levels may drift together. The usual level is
    subtracted from what is read.
    """

    __slots__ = (
        '_by_address',
        '_former_groups',
        'groups',
        'is_mixed',
        'large_runs',
        'runs',
        'usual',
        'workers',
    )

    def __init__(self) -> None:
        self.workers: dict[str, WorkerSpeed] = {}
        self._by_address: dict[str, WorkerSpeed] = {}
        self.groups: dict[Labels, GroupSpeed] = {}
        # Level and weight of groups, from a snapshot or of workers that left.
        self._former_groups: dict[Labels, tuple[float, float]] = {}
        self.is_mixed = False
        # The level of a usual worker.
        self.usual = 0.0
        # Runs observed so far.
        self.runs = 0
        # Those that took much longer than their worker and step explain.
        self.large_runs = 0

    def worker(self, listed: cell.ListedWorker) -> WorkerSpeed:
        """Return the record of a worker, created on first use."""
        speed = self.workers.get(listed.worker_id)
        labels = labels_of(listed)
        if (
            speed is None
            or speed.labels != labels
            or 0 < speed.born_ms < listed.born_ms
        ):
            speed = self._add(listed, labels)
        if not speed.address:
            speed.address = listed.address
            speed.born_ms = listed.born_ms
            self._by_address.pop(listed.address, None)
            self._by_address[listed.address] = speed
            if len(self._by_address) > _ADDRESSES_MAX:
                del self._by_address[next(iter(self._by_address))]
        return speed

    def forget(self, worker_id: str) -> bool:
        """Remove a worker's record, and return whether there was one.

        A later incarnation at its address inherits from it. The estimate of
        its group outlives its last worker, with the weight of a snapshot:
        otherwise a restart of all workers would lose it.
        """
        speed = self.workers.pop(worker_id, None)
        if speed is None:
            return False
        speed.retire()
        group = self.groups.get(speed.labels)
        if group is not None:
            self._former_groups.pop(speed.labels, None)
            self._former_groups[speed.labels] = (
                group.level,
                min(group.runs, _RESTORED_GROUP_RUNS_MAX),
            )
            if len(self._former_groups) > _FORMER_GROUPS_MAX:
                del self._former_groups[next(iter(self._former_groups))]
        return True

    def _add(self, listed: cell.ListedWorker, labels: Labels) -> WorkerSpeed:
        """Add a worker, with what its predecessor at its address showed."""
        self.forget(listed.worker_id)
        speed = WorkerSpeed(labels, listed.capacity.cpu_millicores)
        former = self._by_address.get(listed.address)
        if former is not None and former.labels == labels:
            mean, count = former.evidence()
            speed.inherited = mean, min(count, _INHERITED_RUNS_MAX)
        self.workers[listed.worker_id] = speed
        while len(self.workers) > _WORKERS_MAX:
            self.forget(next(iter(self.workers)))
        self._set_level(speed)
        return speed

    def add(self, speed: WorkerSpeed, value: float, now_s: float) -> None:
        """Record a run of a worker."""
        speed.add(value, now_s)
        self.runs += 1
        self.large_runs += value - speed.level > _LARGE_FROM

    @property
    def large_share(self) -> float:
        """Return the share of tasks much larger than others of their step."""
        return (self.large_runs + _LARGE_SHARE_PRIOR * _LARGE_PRIOR_RUNS) / (
            self.runs + _LARGE_PRIOR_RUNS
        )

    def slowdown(self, speed: WorkerSpeed) -> float:
        """Return the run time on a worker over that on a usual one."""
        return math.exp(speed.level - self.usual)

    def refresh(self) -> None:
        """Update the levels of groups and workers, and what is usual."""
        self._update_groups()
        for speed in self.workers.values():
            self._set_level(speed)
        speeds = sorted(self.workers.values(), key=lambda s: s.level)
        self._update_usual(speeds)

    def snapshot(
        self, listed_ids: collections.abc.Container[str] | None
    ) -> _snapshot.Pool:
        """Return the estimates relative to the usual level.

        They are those of the listed workers and their groups; None is all.
        """
        speeds = {
            worker_id: speed
            for worker_id, speed in self.workers.items()
            if listed_ids is None or worker_id in listed_ids
        }
        present = {speed.labels for speed in speeds.values()}
        labels = tuple(sorted(self.groups.keys() & present))
        numbers = {group: number for number, group in enumerate(labels)}
        workers = {}
        for worker_id, speed in speeds.items():
            mean, count = speed.evidence()
            if count and speed.labels in numbers:
                workers[worker_id] = _snapshot.Worker(
                    numbers[speed.labels],
                    speed.capacity,
                    _snapshot.to_milli(mean - self.usual),
                    int(count),
                )
        return _snapshot.Pool(
            self.is_mixed,
            self.runs,
            self.large_runs,
            labels,
            tuple(
                (
                    _snapshot.to_milli(self.groups[group].level - self.usual),
                    int(self.groups[group].runs),
                )
                for group in labels
            ),
            workers,
        )

    def restore(self, pool: _snapshot.Pool) -> None:
        """Take estimates from a snapshot, as evidence of limited weight.

        Runs observed before it could be read count as well.
        """
        self.is_mixed = pool.is_mixed
        self.runs += pool.runs
        self.large_runs += pool.large_runs
        for labels, (level, runs) in zip(
            pool.labels, pool.groups, strict=True
        ):
            self._former_groups[labels] = (
                _snapshot.from_milli(level) + self.usual,
                min(runs, _RESTORED_GROUP_RUNS_MAX),
            )
        for worker_id, worker in pool.workers.items():
            labels = pool.labels[worker.group]
            speed = self.workers.get(worker_id)
            if speed is None:
                speed = WorkerSpeed(labels, worker.cpu_millicores)
                self.workers[worker_id] = speed
            if speed.labels == labels:
                speed.inherited = (
                    _snapshot.from_milli(worker.level) + self.usual,
                    min(worker.runs, _RESTORED_RUNS_MAX),
                )
        self.refresh()

    def _set_level(self, speed: WorkerSpeed) -> None:
        group = self.groups.get(speed.labels)
        prior = self.usual if group is None else group.level
        mean, count = speed.evidence()
        speed.level = _statistics.shrink(
            mean,
            count,
            prior,
            prior_count=_WORKER_PRIOR_RUNS,
            spread=_RUN_SPREAD,
        )

    def _update_groups(self) -> None:
        """Pool the workers with the same labels."""
        members: dict[Labels, list[WorkerSpeed]] = {}
        for speed in self.workers.values():
            if speed.count:
                members.setdefault(speed.labels, []).append(speed)
        pool_level = _statistics.weighted_median(
            (speed.mean, speed.count)
            for speeds in members.values()
            for speed in speeds
        )
        groups = {}
        for labels in members.keys() | self._former_groups.keys():
            speeds = members.get(labels, [])
            runs: float = sum(speed.count for speed in speeds)
            mean = _statistics.weighted_median(
                (speed.mean, speed.count) for speed in speeds
            )
            level, weight = self._former_groups.get(labels, (0.0, 0.0))
            weight = max(0.0, weight - runs)
            is_shared = weight > 0.0 or len(speeds) >= _GROUP_WORKERS_MIN
            if runs + weight > 0.0:
                mean = (mean * runs + level * weight) / (runs + weight)
            groups[labels] = GroupSpeed(
                _statistics.shrink(
                    mean,
                    runs + weight if is_shared else 0.0,
                    pool_level,
                    prior_count=_GROUP_PRIOR_RUNS,
                    spread=_GROUP_SPREAD,
                ),
                runs + weight,
                len(speeds),
            )
        self.groups = groups

    def _update_usual(self, speeds: list[WorkerSpeed]) -> None:
        """Find out which workers are usual, and whether others differ.

        The faster of two distinct groups is usual: the objectives of jobs are
        computed for it. If it has less than a third of the capacity, or the
        workers are alike, the median by capacity is usual.
        """
        found = _statistics.split(
            [speed.level for speed in speeds], _GROUP_WORKERS_MIN
        )
        if found is None:
            self.is_mixed = False
        else:
            lower = speeds[: found.lower_count]
            upper = speeds[found.lower_count :]
            bound = _MIXED_UNTIL if self.is_mixed else _MIXED_FROM
            self.is_mixed = (
                found.upper - found.lower >= bound
                and self._has_evidence(lower)
                and self._has_evidence(upper)
            )
            capacity = sum(speed.capacity for speed in speeds)
            share = sum(speed.capacity for speed in lower) / capacity
            if self.is_mixed and share >= _USUAL_SHARE_MIN:
                speeds = lower
        if speeds:
            self.usual = _statistics.weighted_median(
                (speed.level, speed.capacity) for speed in speeds
            )

    def _has_evidence(self, speeds: list[WorkerSpeed]) -> bool:
        """Return whether several workers with several runs support a group."""
        observed = [s for s in speeds if s.evidence()[1] > 0.0]
        runs = sum(s.evidence()[1] for s in observed)
        return len(observed) >= _GROUP_WORKERS_MIN and runs >= _GROUP_RUNS_MIN
