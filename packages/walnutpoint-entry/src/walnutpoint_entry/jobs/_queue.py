"""Order of the planned starts, and displacement for unmet ones."""

from __future__ import annotations

import collections
import dataclasses
import typing

from walnutpoint_core import documents
from walnutpoint_core import timer as timers
from walnutpoint_entry.jobs import _displacement
from walnutpoint_entry.jobs import _model
from walnutpoint_entry.jobs import _policy
from walnutpoint_entry.jobs import _ports
from walnutpoint_entry.jobs import _quota
from walnutpoint_entry.jobs import _shard
from walnutpoint_entry.jobs import _starter
from walnutpoint_entry import tasks

__all__ = ('StartQueue', 'QueuedStart')

# Limits how often one kind of start displaces other work: a gang that fits
# nowhere must not displace batch tasks again and again.
_SERVICE_DISPLACE_PERIOD_S: typing.Final = 5.0
_GANG_DISPLACE_PERIOD_S: typing.Final = 60.0
_GANG_RETRY_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedStart:
    """A planned start with its shard and job."""

    shard: _shard.Shard
    job: _model.Job
    start: _policy.PlannedStart


class StartQueue:
    """Tries the starts of one tick in order of rank."""

    __slots__ = (
        '_next_displacement_s',
        '_displacer',
        '_idle_since_s',
        '_settings',
        '_starter',
        '_timer',
    )

    def __init__(
        self,
        timer: timers.Timer,
        settings: _ports.JobSettings,
        starter: _starter.Starter,
        displacer: _displacement.Displacer,
    ) -> None:
        self._timer = timer
        self._settings = settings
        self._starter = starter
        self._displacer = displacer
        self._next_displacement_s = 0.0
        self._idle_since_s: dict[documents.Size, float] = {}

    def run(
        self,
        queued: list[QueuedStart],
        entitlements: _quota.Entitlements,
        shards: tuple[_shard.Shard, ...],
        configuration: documents.Configuration,
    ) -> None:
        """Start what fits, and displace batch tasks for the rest."""
        borrowed = _displacement.borrowed_by_team(shards)
        queued.sort(
            key=lambda queued_start: _sort_key(
                queued_start, borrowed, entitlements
            )
        )
        unmet: collections.Counter[_policy.Rank] = collections.Counter()
        blocked: set[tuple[documents.Size, tasks.TaskClass]] = set()
        borrowing_sizes: set[documents.Size] = set()
        for queued_start in queued:
            rank = queued_start.start.rank
            size = queued_start.job.item.item.size
            if rank > _policy.Rank.PROMOTED and (
                unmet[_policy.Rank.PROMOTED] or self._displacer.defers_batch()
            ):
                queued_start.job.reason = 'others go first'
                continue
            if rank is _policy.Rank.BORROWED:
                borrowing_sizes.add(size)
                if not self._is_idle(size):
                    queued_start.job.reason = 'no idle room'
                    continue
            size_and_class = (size, queued_start.start.task_class)
            if size_and_class not in blocked and self._starter.begin_start(
                queued_start.shard,
                queued_start.job,
                queued_start.start,
                _may_displace(rank, configuration),
            ):
                queued_start.job.reason = ''
                continue
            blocked.add(size_and_class)
            unmet[rank] += 1
            queued_start.job.reason = 'no room'
            if rank is _policy.Rank.BORROWED:
                self._idle_since_s.pop(size, None)
        for size in self._idle_since_s.keys() - borrowing_sizes:
            del self._idle_since_s[size]
        self._displace(unmet, entitlements, shards, configuration)

    def _displace(
        self,
        unmet: collections.Counter[_policy.Rank],
        entitlements: _quota.Entitlements,
        shards: tuple[_shard.Shard, ...],
        configuration: documents.Configuration,
    ) -> None:
        batch = configuration.policy('batch')
        now_s = self._timer.now_s()
        unmet_count = unmet[_policy.Rank.PROMOTED]
        if _may_displace(_policy.Rank.SERVICE, configuration):
            unmet_count += unmet[_policy.Rank.SERVICE]
        if unmet_count and now_s >= self._next_displacement_s:
            self._next_displacement_s = now_s + _SERVICE_DISPLACE_PERIOD_S
            self._displacer.displace(
                shards, entitlements, batch, unmet_count, False
            )
        if unmet[_policy.Rank.ENTITLED]:
            self._displacer.displace(
                shards, entitlements, batch, unmet[_policy.Rank.ENTITLED], True
            )
        if configuration.policy('gang').may_preempt_batch:
            for shard in shards:
                for job in shard.jobs.values():
                    self._displace_for_gang(job, entitlements, shards, batch)

    def _displace_for_gang(
        self,
        job: _model.Job,
        entitlements: _quota.Entitlements,
        shards: tuple[_shard.Shard, ...],
        batch: documents.BatchPolicy,
    ) -> None:
        now_s = self._timer.now_s()
        is_due = job.unplaced_count and now_s >= job.next_displacement_s
        if (
            not is_due
            or entitlements.tasks(job.item.key) < job.item.tasks_count
        ):
            return
        stopped = self._displacer.displace(
            shards, entitlements, batch, job.unplaced_count, False
        )
        if stopped:
            job.next_displacement_s = now_s + _GANG_DISPLACE_PERIOD_S
            job.not_before_s = min(job.not_before_s, now_s + _GANG_RETRY_S)
            job.unplaced_count = 0

    def _is_idle(self, size: documents.Size) -> bool:
        # Job owners cannot see each other's queues. Entitled tasks start at
        # once, so capacity that stays free for a while is in no demand.
        now_s = self._timer.now_s()
        since_s = self._idle_since_s.setdefault(size, now_s)
        return now_s >= since_s + self._settings.borrow_delay_s


def _may_displace(
    rank: _policy.Rank, configuration: documents.Configuration
) -> bool:
    if configuration.policy('batch').preemption == 'none':
        return False
    if rank is _policy.Rank.SERVICE:
        return bool(configuration.policy('service').may_preempt_batch)
    return rank is _policy.Rank.PROMOTED


def _sort_key(
    queued_start: QueuedStart,
    borrowed: collections.Counter[str],
    entitlements: _quota.Entitlements,
) -> tuple[float, ...]:
    weighted = 0.0
    if queued_start.start.is_borrowed:
        team = queued_start.job.item.team
        weighted = borrowed[team] / entitlements.weight(team)
    latest = getattr(queued_start.job.item.item, 'latest_finish_unix_s', None)
    return (
        queued_start.start.rank,
        weighted,
        float('inf') if latest is None else latest,
        queued_start.job.accepted_unix_s,
        queued_start.job.item.created,
    )
