"""The order in which wished starts are tried, and who makes room."""

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

__all__ = ('StartQueue', 'WishedStart')

# How long other work may be displaced for the same kind of wish once only: a
# gang that fits nowhere must not displace batch work for ever.
_SERVICE_AGAIN_S: typing.Final = 5.0
_GANG_AGAIN_S: typing.Final = 60.0
_GANG_WAIT_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WishedStart:
    """A start that a policy wishes for."""

    shard: _shard.Shard
    job: _model.Job
    wish: _policy.StartWish


class StartQueue:
    """Try the starts of one tick, the most entitled first."""

    __slots__ = (
        '_again_s',
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
        self._again_s = 0.0
        self._idle_since_s: dict[documents.Size, float] = {}

    def run(
        self,
        wished: list[WishedStart],
        shares: _quota.Entitlements,
        shards: tuple[_shard.Shard, ...],
        configuration: documents.Configuration,
    ) -> None:
        """Start what there is room for, and make some for the rest."""
        borrowed = _displacement.borrowed_by_team(shards)
        wished.sort(key=lambda one: _order(one, borrowed, shares))
        unmet: collections.Counter[_policy.Rank] = collections.Counter()
        blocked: set[tuple[documents.Size, tasks.TaskClass]] = set()
        seen: set[documents.Size] = set()
        for one in wished:
            rank = one.wish.rank
            size = one.job.item.item.size
            if rank > _policy.Rank.PROMOTED and (
                unmet[_policy.Rank.PROMOTED] or self._displacer.yields()
            ):
                one.job.reason = 'others go first'
                continue
            if rank is _policy.Rank.BORROWED:
                seen.add(size)
                if not self._is_idle(size):
                    one.job.reason = 'no idle room'
                    continue
            kind = (size, one.wish.task_class)
            if kind not in blocked and self._starter.begin_start(
                one.shard,
                one.job,
                one.wish,
                _may_displace(rank, configuration),
            ):
                one.job.reason = ''
                continue
            blocked.add(kind)
            unmet[rank] += 1
            one.job.reason = 'no room'
            if rank is _policy.Rank.BORROWED:
                self._idle_since_s.pop(size, None)
        for size in self._idle_since_s.keys() - seen:
            del self._idle_since_s[size]
        self._displace(unmet, shares, shards, configuration)

    def _displace(
        self,
        unmet: collections.Counter[_policy.Rank],
        shares: _quota.Entitlements,
        shards: tuple[_shard.Shard, ...],
        configuration: documents.Configuration,
    ) -> None:
        batch = configuration.policy('batch')
        now_s = self._timer.now_s()
        first = unmet[_policy.Rank.PROMOTED]
        if _may_displace(_policy.Rank.SERVICE, configuration):
            first += unmet[_policy.Rank.SERVICE]
        if first and now_s >= self._again_s:
            self._again_s = now_s + _SERVICE_AGAIN_S
            self._displacer.make_room(shards, shares, batch, first, False)
        if unmet[_policy.Rank.ENTITLED]:
            self._displacer.make_room(
                shards, shares, batch, unmet[_policy.Rank.ENTITLED], True
            )
        if configuration.policy('gang').may_preempt_batch:
            for shard in shards:
                for job in shard.jobs.values():
                    self._displace_for(job, shares, shards, batch)

    def _displace_for(
        self,
        job: _model.Job,
        shares: _quota.Entitlements,
        shards: tuple[_shard.Shard, ...],
        batch: documents.BatchPolicy,
    ) -> None:
        now_s = self._timer.now_s()
        is_due = job.missing and now_s >= job.displaces_again_s
        if not is_due or shares.tasks(job.item.key) < job.item.tasks_count:
            return
        stopped = self._displacer.make_room(
            shards, shares, batch, job.missing, False
        )
        if stopped:
            job.displaces_again_s = now_s + _GANG_AGAIN_S
            job.not_before_s = min(job.not_before_s, now_s + _GANG_WAIT_S)
            job.missing = 0

    def _is_idle(self, size: documents.Size) -> bool:
        # Owners do not know each other's queues. Entitled tasks start at
        # once, so that room which stays free for a while is wanted by none.
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


def _order(
    one: WishedStart,
    borrowed: collections.Counter[str],
    shares: _quota.Entitlements,
) -> tuple[float, ...]:
    weighted = 0.0
    if one.wish.is_borrowed:
        team = one.job.item.team
        weighted = borrowed[team] / shares.weight(team)
    latest = getattr(one.job.item.item, 'latest_finish_unix_s', None)
    return (
        one.wish.rank,
        weighted,
        float('inf') if latest is None else latest,
        one.job.accepted_unix_s,
        one.job.item.created,
    )
