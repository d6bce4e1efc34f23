"""Leader election: the claim in the store, and when to replace it."""

from __future__ import annotations

import asyncio
import collections.abc
import secrets
import typing

import anyio
import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_core import ports
from walnutpoint_core import timer
from walnutpoint_core import web
from walnutpoint_scheduler import _failure_detector
from walnutpoint_scheduler import _indirect_probes
from walnutpoint_scheduler import _keys
from walnutpoint_scheduler import _membership
from walnutpoint_scheduler import _messages
from walnutpoint_scheduler import _peers
from walnutpoint_scheduler import _probe_period
from walnutpoint_scheduler import _relay
from walnutpoint_scheduler import _store_heartbeat
from walnutpoint_scheduler import leases
from walnutpoint_scheduler import settings

__all__ = ('Leadership',)

_LOG: typing.Final = logs.get_logger('leadership')
_SUSPICIONS: typing.Final = metrics.Counter(
    'suspicions', 'Tries to replace the scheduler by reason.'
)
# Delay between the attempts of two candidates: a commit and a read.
_RANK_DELAY_S: typing.Final = 0.04
_RANK_DELAY_MAX_S: typing.Final = 0.6
# Extra delay of a weak host, which also applies while it knows no other
# member yet, as when all processes start.
_WEAK_HOST_DELAY_S: typing.Final = 0.4
# Interval between checks for processes that stopped probing.
_HEARTBEAT_CHECK_S: typing.Final = 0.2
_RETRY_S: typing.Final = 0.1
_WATCH_S: typing.Final = 10.0
# The scheduler calls the store many times a second. Without a reply for this
# long, twice the duration of a call to a slow store, the store may be down.
_SUSPECT_STORE_AGE_S: typing.Final = 0.6
# Several probe periods and many store calls.
_ISOLATION_TIMEOUT_S: typing.Final = 0.7
# Delay before the next probe of the scheduler while the store is down; limits
# the log to one line a second.
_STORE_WAIT_MAX_S: typing.Final = 1.0
# Delay of the probe that follows a failed one.
_REPROBE_DELAY_S: typing.Final = 0.01


class Leadership:
    """Monitors the scheduler and claims its key when it seems to fail.

    A claim is a compare-and-swap on one key in the store, whose revision is
    the fencing token of the term. Replacing a scheduler that still runs is
    therefore safe, but wasteful.
    """

    __slots__ = (
        '_claim',
        '_claim_seen_s',
        '_claiming',
        '_elected',
        '_failure_detector',
        '_heartbeat',
        '_indirect_probes',
        '_members',
        '_peers',
        '_revision',
        '_settings',
        '_store',
        '_timer',
        'claimed_s',
        'is_stopping',
        'lease_s',
        'on_backlog',
        'on_capacities',
        'own_claim',
        'probed_by',
        'probed_s',
        'scheduler_changes',
        'scheduler_seen_s',
        'token',
    )

    def __init__(
        self,
        store: _relay.RelayedStore,
        members: _membership.Membership,
        peers: _peers.Peers,
        clock: timer.Timer,
        config: settings.SchedulerSettings,
    ) -> None:
        self._store = store
        self._members = members
        self._peers = peers
        self._timer = clock
        self._settings = config
        self._claim: _messages.Claim | None = None
        # When this process first saw the newest claim.
        self._claim_seen_s = 0.0
        # Whether an attempt to claim the key is in progress.
        self._claiming = False
        self._revision = 0
        self._failure_detector = _failure_detector.FailureDetector(clock)
        self._heartbeat = _store_heartbeat.StoreHeartbeat(store, clock)
        self._indirect_probes = _indirect_probes.IndirectProbes(
            members, peers, clock, config
        )
        self._elected = anyio.Event()
        # The token while this process is the scheduler, else zero.
        self.token = 0
        # When the current scheduler last answered.
        self.scheduler_seen_s = 0.0
        # Number of claims seen.
        self.scheduler_changes = 0
        # Whether this process shuts down and makes no more claims.
        self.is_stopping = False
        # Called with the worker capacities in a probe's answer.
        self.on_capacities: collections.abc.Callable[
            [collections.abc.Iterable[_messages.PoolCapacities]], None
        ] = lambda _pools: None
        # Called with the token, the backlog of a probe's answer, its age when
        # sent, and when it was asked for.
        self.on_backlog: collections.abc.Callable[
            [int, bytes, float, float], None
        ] = lambda _token, _encoded, _age_s, _asked_s: None
        # When another process last probed this one, and which.
        self.probed_s = 0.0
        self.probed_by = '-'
        # The duration of leases in the next term of this process.
        self.lease_s = config.lease_s
        # The newest claim that began a term of this process.
        self.own_claim = _messages.Claim(members.local_member, '')
        # When the store was asked that showed the claim of this process.
        self.claimed_s = 0.0

    def note_probe(self, sender: str) -> None:
        """Record a probe by another process."""
        self.probed_s = self._timer.now_s()
        self.probed_by = sender
        self._heartbeat.note_probe(sender)

    async def run_heartbeat(self) -> None:
        """Write heartbeats to the store while probes are overdue."""
        async for _ in self._timer.subscribe(lambda: _HEARTBEAT_CHECK_S):
            if self.token:
                await self._heartbeat.write_if_missed(self.token)

    def is_isolated(self) -> bool:
        """Return whether both the store and all processes are silent."""
        if len(self._members.all()) == 1:
            return False
        last_contact_s = max(self.probed_s, self._store.answered_s)
        return self._timer.now_s() - last_contact_s > _ISOLATION_TIMEOUT_S

    def describe_contacts(self) -> dict[str, object]:
        """Return the newest contacts, as fields of a log line."""
        now_s = self._timer.now_s()
        return {
            'store_ago_s': round(now_s - self._store.answered_s, 3),
            'probed_ago_s': round(now_s - self.probed_s, 3),
            'probed_by': self.probed_by,
        }

    @property
    def claim(self) -> _messages.Claim | None:
        """Return the newest claim seen."""
        return self._claim

    @property
    def scheduler(self) -> _messages.Member | None:
        """Return the current scheduler, or None where none is known."""
        if self._claim is None or self._claim.released:
            return None
        return self._claim.member

    @property
    def revision(self) -> int:
        """Return the newest token seen."""
        return self._revision

    async def wait_elected(self) -> int:
        """Wait until this process is the scheduler; return the token."""
        while not self.token:
            await self._elected.wait()
        return self.token

    def note_term_end(self) -> None:
        """Reset the state of the election after a term."""
        self.token = 0
        self._elected = anyio.Event()

    def update_claim(self, item: ports.StoredValue | None) -> None:
        """Apply the claim as read from the store."""
        revision = item.revision if item is not None else 0
        if revision < self._revision:
            return
        claim = None
        if item is not None:
            try:
                claim = decoding.from_msgpack(item.value, _messages.Claim)
            except decoding.UnreadableError as error:
                _LOG.error('claim.unreadable', error=str(error))
        if revision != self._revision:
            self.scheduler_changes += 1
            self._claim_seen_s = self._timer.now_s()
            self._failure_detector.note_change()
            _LOG.info(
                'scheduler.changed',
                token=revision,
                before=self._revision,
                scheduler=claim.member.name if claim else '-',
                released=claim.released if claim else False,
            )
        self._revision, self._claim = revision, claim

    async def monitor(self) -> None:
        """Probe the scheduler until cancelled; replace it if it fails."""
        while True:
            if self.token or self.is_stopping:
                await self._timer.sleep(self._settings.probe_period_s)
                continue
            reason = await self._check()
            if reason is _failure_detector.Reason.NONE:
                has_failed_probe = self._failure_detector.has_failed_probe
                await self._timer.sleep(
                    _REPROBE_DELAY_S if has_failed_probe else self._period_s()
                )
                continue
            await self._campaign(reason)

    def _period_s(self) -> float:
        return _probe_period.period_s(
            self._members.local_member.name,
            len(self._members.all()),
            self._settings.probe_period_s,
        )

    async def _check(self) -> _failure_detector.Reason:
        """Probe the scheduler; return why to replace it, if at all."""
        claim = self._claim
        if self._claiming:
            return _failure_detector.Reason.NONE
        if claim is None:
            return _failure_detector.Reason.ABSENT
        if claim.released:
            return _failure_detector.Reason.RELEASED
        if claim.member.name == self._members.local_member.name:
            # Left by an earlier incarnation, or the reply came late.
            return _failure_detector.Reason.OWN_CLAIM
        asked_s = self._timer.now_s()
        probe = self._peers.probe(
            claim.member.address,
            _messages.Probe(self._members.local_member.name, self._revision),
            self._settings.probe_timeout_s,
        )
        if self._failure_detector.has_timed_out:
            # This probe decides; the read ends long before its timeout.
            baseline = self._heartbeat.read_baseline_within(
                self._settings.probe_timeout_s
            )
            answer, _ = await asyncio.gather(probe, baseline)
        else:
            answer = await probe
        if self._claim is not claim:
            return _failure_detector.Reason.NONE
        if isinstance(answer, web.NoResponse):
            return self._failure_detector.note_no_response(answer)
        self.scheduler_seen_s = self._timer.now_s()
        for member in answer.members:
            self._members.add(member)
        self.on_capacities(answer.rooms)
        if answer.incarnation != claim.member.incarnation:
            return _failure_detector.Reason.RESTARTED
        if not answer.schedules or answer.token != self._revision:
            return self._failure_detector.note_idle()
        self.on_backlog(
            answer.token, answer.backlog, answer.backlog_age_s, asked_s
        )
        if answer.store_age_s > _SUSPECT_STORE_AGE_S:
            self._store.note_suspicion()
        store_age_s = self._timer.now_s() - self._store.answered_s
        return self._failure_detector.note_answer(
            answer.store_age_s, store_age_s
        )

    async def _campaign(self, reason: _failure_detector.Reason) -> None:
        """Claim the key after a delay by rank, unless another does."""
        seen_revision = self._revision
        excluded = {self._claim.member.name} if self._claim else set()
        if reason is _failure_detector.Reason.OWN_CLAIM:
            excluded = set()
        now_s = self._timer.now_s()
        rank = self._members.rank(seen_revision, excluded, now_s)
        weakness = 1.0 - self._members.local_member.strength
        await self._timer.sleep(
            min(rank * _RANK_DELAY_S, _RANK_DELAY_MAX_S)
            + weakness * _WEAK_HOST_DELAY_S
        )
        if (
            reason is _failure_detector.Reason.SILENT
            and await self._is_alive()
        ):
            self._failure_detector.clear_timeouts()
            await self._timer.sleep(self._settings.probe_period_s)
            return
        if self._revision != seen_revision or self.is_stopping:
            return
        if self._store.is_down:
            # An isolated host suspects a healthy scheduler; a claim in
            # flight would depose it once the host reconnects (a third term
            # where two were needed). So nothing is sent, and the scheduler
            # is probed again before the next claim.
            _LOG.info('scheduler.not_claimed', reason='the store is down')
            await self._store.wait_available(_STORE_WAIT_MAX_S)
            return
        _SUSPICIONS.add(reason.name.lower())
        _LOG.warning(
            'scheduler.suspected',
            reason=reason.value,
            token=seen_revision,
            rank=rank,
        )
        await self.claim_key(seen_revision)

    async def _is_alive(self) -> bool:
        """Return whether others reach it, or it writes heartbeats."""
        indirect = self._indirect_probes.confirm_alive(
            self._claim,
            self._revision,
            self._failure_detector.witness_age_max_s,
        )
        checks = await asyncio.gather(indirect, self._heartbeat.has_advanced())
        return any(checks)

    async def claim_key(self, seen_revision: int) -> None:
        """Try once to claim the key.

        The watch may report the claim before the commit returns. Mistaken
        for a claim of an earlier incarnation, it would be replaced by
        another, which ends the new term at once.
        """
        if self._claiming:
            return
        self._claiming = True
        try:
            await self._try_claim(seen_revision)
        finally:
            self._claiming = False

    async def _try_claim(self, seen_revision: int) -> None:
        nonce = secrets.token_hex(8)
        claim = _messages.Claim(
            self._members.local_member,
            nonce,
            lease_s=self.lease_s,
            earlier_lease_s=self._earlier_lease_s(seen_revision),
        )
        asked_s = self._timer.now_s()
        reply = await self._store.commit(
            ports.Batch(
                (ports.Guard(_keys.SCHEDULER, seen_revision),),
                (ports.Put(_keys.SCHEDULER, msgspec.msgpack.encode(claim)),),
            )
        )
        if reply.is_ok() and reply.ok.applied:
            self._revision, self._claim = reply.ok.revision, claim
            self._claim_seen_s = self._timer.now_s()
            self._begin_term(claim, seen_revision, asked_s)
            return
        # Another candidate won, or the reply was lost: the stored claim
        # tells which. Only the newest nonce begins a term.
        asked_s = self._timer.now_s()
        current = await self._store.get(_keys.SCHEDULER)
        if current.is_error():
            await self._timer.sleep(_RETRY_S)
            return
        self.update_claim(current.ok)
        if self._claim is not None and self._claim.nonce == nonce:
            self._begin_term(claim, seen_revision, asked_s)

    def _earlier_lease_s(self, seen_revision: int) -> float:
        """Return the longest lease of earlier terms that may not have lapsed.

        Leases of terms before the current one began before its claim was
        seen here.
        """
        if not seen_revision:
            return 0.0
        if self._claim is None or self._revision != seen_revision:
            return self._settings.lease_max_s
        seen_ago_s = self._timer.now_s() - self._claim_seen_s
        earlier_s = self._claim.earlier_lease_s
        if seen_ago_s > leases.lapse_s(earlier_s):
            earlier_s = 0.0
        return max(self._claim.lease_s, earlier_s)

    def _begin_term(
        self, claim: _messages.Claim, before: int, asked_s: float
    ) -> None:
        if self.is_stopping:
            return
        token = self._revision
        self.own_claim = claim
        self.scheduler_changes += 1
        self._failure_detector.note_change()
        self.token = token
        self.claimed_s = asked_s
        self.scheduler_seen_s = self._timer.now_s()
        self._heartbeat.expect_probes(
            m.name
            for m in self._members.all()
            if m is not self._members.local_member
        )
        _LOG.warning('scheduler.won', token=token, before=before)
        self._elected.set()
