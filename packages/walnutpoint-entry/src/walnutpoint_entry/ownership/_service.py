"""Ownership of endpoints and key shards by this process."""

from __future__ import annotations

import collections.abc
import typing

import anyio
import anyio.abc

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import model
from walnutpoint_core import settings as settings_module
from walnutpoint_core import timer as timers
from walnutpoint_entry.ownership import _activity
from walnutpoint_entry.ownership import _assets
from walnutpoint_entry.ownership import _confirmation
from walnutpoint_entry.ownership import _control
from walnutpoint_entry.ownership import _handover
from walnutpoint_entry.ownership import _liveness
from walnutpoint_entry.ownership import _peers
from walnutpoint_entry.ownership import _proposer
from walnutpoint_entry.ownership import _succession
from walnutpoint_entry.ownership import _table

__all__ = ('OwnershipService',)

_HANDOVER_WAIT_MAX_S: typing.Final = 1.0
# How long a non-member leaves a change to the live members.
_NON_MEMBER_DELAY_S: typing.Final = 5.0

_LOG = logs.get_logger(__name__)


class OwnershipService:
    """Read, confirm, apply and propose assignment tables."""

    __slots__ = (
        '_activity',
        '_adopted_at_s',
        '_config_revision',
        '_confirmation',
        '_control',
        '_handover',
        '_listener',
        '_liveness',
        '_member',
        '_poll_ended',
        '_polls',
        '_proposer',
        '_settings',
        '_stopping',
        '_stored',
        '_succession',
        '_timer',
    )

    def __init__(
        self,
        member: _table.Member,
        settings: settings_module.OwnershipSettings,
        timer: timers.Timer,
        control: _control.ControlStore,
        activity: _activity.Activity,
        listener: _assets.AssetListener,
        sender: _peers.ReleaseSender,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._member = member
        self._settings = settings
        self._timer = timer
        self._control = control
        self._activity = activity
        self._listener = listener
        self._liveness = _liveness.Liveness()
        self._confirmation = _confirmation.Confirmation(
            member, settings.confirm_s
        )
        self._succession = _succession.Succession(member, settings.fence_s)
        self._handover = _handover.Handover(timer, listener, sender, tasks)
        self._proposer = _proposer.Proposer(
            member, settings, control, self._liveness, activity
        )
        self._stored: _table.StoredTable | None = None
        self._adopted_at_s = float('-inf')
        self._config_revision = 0
        self._poll_ended: anyio.Event | None = None
        self._stopping = False
        self._polls = activity.subscribe(
            settings.poll_period_s, settings.rest_poll_period_s
        )

    @property
    def member(self) -> _table.Member:
        """Return this process as a member."""
        return self._member

    @property
    def stored_table(self) -> _table.StoredTable | None:
        """Return the newest table that this process has read."""
        return self._stored

    @property
    def table_revision(self) -> int:
        """Return the revision of the newest table read, or zero."""
        return 0 if self._stored is None else self._stored.revision

    @property
    def config_revision(self) -> int:
        """Return the newest configuration revision seen."""
        return self._config_revision

    def is_member(self) -> bool:
        """Return whether the newest table lists this process."""
        stored = self._stored
        return stored is not None and self._member in stored.table.members

    def is_confirmed(self) -> bool:
        """Return whether no newer table can be in use now."""
        return self._confirmation.is_confirmed(self._timer.now_s())

    def is_active(self, asset: str) -> bool:
        """Return whether an asset is active here, confirmed or not."""
        return self._succession.is_active(asset)

    def may_act(self, asset: str) -> bool:
        """Return whether this process may act on an asset now."""
        return self._succession.is_active(asset) and self.is_confirmed()

    def epoch(self, asset: str) -> int:
        """Return the epoch of an asset in the newest table."""
        return 0 if self._stored is None else self._stored.table.epoch(asset)

    def owner(self, asset: str) -> _table.Member | None:
        """Return the owner of an asset in the newest table."""
        return (
            None if self._stored is None else self._stored.table.owner(asset)
        )

    def active(self) -> collections.abc.Mapping[str, int]:
        """Return the assets that are active here, with their epochs."""
        return self._succession.active()

    def pending(self) -> collections.abc.Mapping[str, int]:
        """Return the assets that will become active here."""
        return self._succession.pending()

    def other_members(self) -> tuple[_table.Member, ...]:
        """Return the other members of the newest table."""
        if self._stored is None:
            return ()
        return tuple(
            member
            for member in self._stored.table.members
            if member.address != self._member.address
        )

    def has_successors(self) -> bool:
        """Return whether another member stays when this one stops."""
        leavers = self._liveness.leavers()
        return any(member not in leavers for member in self.other_members())

    def is_handed_over(self) -> bool:
        """Return whether nothing is active and all handovers have ended."""
        return not self._succession.active() and self._handover.is_done()

    def update_hosts(self, listing: model.HostListing) -> None:
        """Record the newest host list."""
        self._proposer.update_hosts(listing)

    def stop(self) -> None:
        """Leave the table in a planned shutdown."""
        self._stopping = True
        self._proposer.stop()
        self._activity.mark_busy()
        self._activity.wake()

    def observe_heartbeat_reply(
        self, state: _peers.PeerState, sent_s: float
    ) -> None:
        """Record the reply to a heartbeat that was sent at sent_s."""
        self._record_peer_state(state)
        self._confirmation.record_peer_revision(
            state.member, state.table_revision, sent_s
        )

    def observe_connection_refused(self, member: _table.Member) -> None:
        """Record that a peer's address refuses connections."""
        self._liveness.record_connection_refused(member)
        self._polls.wake()

    def observe_heartbeat(self, state: _peers.PeerState) -> None:
        """Record a heartbeat that a peer sent."""
        self._record_peer_state(state)

    def receive_release(
        self,
        table_revision: int,
        released: collections.abc.Iterable[_peers.ReleasedAsset],
    ) -> None:
        """Take over assets from an owner that has stopped placing."""
        active = self._succession.active()
        for item in released:
            if active.get(item.asset) == item.epoch:
                self._listener.lower_in_use(item.asset, item.in_use)
            else:
                self._succession.record_release(
                    item.asset, item.epoch, item.released_epoch, item.in_use
                )
        if table_revision > self.table_revision:
            self._activity.wake()
        self._activate()

    async def run(self) -> None:
        """Poll the store and apply what it holds until cancelled."""
        async for _ in self._polls:
            await self.poll()

    async def run_fences(self) -> None:
        """Activate assets whose fence has ended."""
        period_s = self._settings.poll_period_s / 4
        fences = self._activity.subscribe(period_s, self._settings.fence_s)
        async for _ in fences:
            self._activate()

    async def poll(self) -> None:
        """Read the control keys once and apply them."""
        # Each request that finds the ownership unconfirmed requests a poll.
        # Under load, a poll for each would delay the confirming heartbeats
        # and so cause still more polls; all share the one in progress.
        if self._poll_ended is not None:
            await self._poll_ended.wait()
            return
        self._poll_ended = anyio.Event()
        try:
            await self._poll()
        finally:
            self._poll_ended.set()
            self._poll_ended = None

    async def _poll(self) -> None:
        sent_s = self._timer.now_s()
        listed = await self._control.read_listing()
        if listed.is_error():
            _LOG.warning('store_poll_failed', detail=listed.error.detail)
            return
        listing = listed.ok
        self._config_revision = max(
            self._config_revision, listing.config_revision
        )
        self._confirmation.record_store_revision(
            listing.table_revision, sent_s
        )
        if listing.table_revision > self.table_revision:
            await self._fetch()
        elif listing.table_revision < self.table_revision:
            _LOG.error(
                'store_went_back',
                known=self.table_revision,
                read=listing.table_revision,
            )
            return
        await self._process_challenges(listing)
        await self._propose()

    def _record_peer_state(self, state: _peers.PeerState) -> None:
        now_s = self._timer.now_s()
        self._liveness.record_heartbeat(state.member, state.is_stopping, now_s)
        self._succession.record_acknowledgement(
            state.member.address, state.table_revision, now_s
        )
        if state.is_busy:
            self._activity.mark_peer_busy()
        if state.table_revision > self.table_revision:
            self._polls.wake()
        self._activate()

    async def _fetch(self) -> None:
        sent_s = self._timer.now_s()
        read = await self._control.read_table()
        if read.is_error() or read.ok is None:
            return
        self._adopt(read.ok, sent_s)

    def _adopt(self, stored: _table.StoredTable, sent_s: float) -> None:
        if stored.revision <= self.table_revision:
            return
        now_s = self._timer.now_s()
        self._adopted_at_s = now_s
        self._stored = stored
        self._confirmation.adopt(stored, sent_s)
        lost_assets = self._succession.adopt(stored, now_s)
        self._liveness.adopt(
            [
                member
                for member in stored.table.members
                if member != self._member
            ],
            now_s,
        )
        self._listener.update_members(self.other_members())
        for lost in lost_assets:
            self._listener.on_lost(lost)
        self._handover.start(stored, lost_assets)
        # Heartbeats carry the acknowledgements from which the fence runs.
        self._activity.wake()
        _LOG.info(
            'table_adopted',
            revision=stored.revision,
            generation=stored.table.generation,
            members=len(stored.table.members),
            lost=len(lost_assets),
            pending=len(self._succession.pending()),
        )
        self._activate()

    def _activate(self) -> None:
        acquired_assets = self._succession.activate(self._timer.now_s())
        for acquired in acquired_assets:
            self._listener.on_acquired(acquired)
        if acquired_assets:
            _LOG.info(
                'assets_active',
                assets=len(acquired_assets),
                released=sum(
                    acquired.in_use is not None for acquired in acquired_assets
                ),
                revision=self.table_revision,
            )

    async def _process_challenges(
        self, listing: _control.ControlListing
    ) -> None:
        revisions = {}
        members = () if self._stored is None else self._stored.table.members
        by_identity = {
            (member.address, member.incarnation): member for member in members
        }
        for challenge in listing.challenges:
            identity = (challenge.address, challenge.incarnation)
            if identity == (self._member.address, self._member.incarnation):
                reply = await self._control.answer_challenge(self._member)
                _LOG.info('challenge_answered', written=reply.is_ok())
            elif identity in by_identity:
                revisions[by_identity[identity]] = challenge.revision
        self._liveness.update_challenges(revisions, self._timer.now_s())

    def _is_handover_in_progress(self, now_s: float) -> bool:
        """Return whether the next table must wait for a handover."""
        # If it moved an asset before its new owner is active, no owner could
        # release it: its slots would wait for the fence, its key memory would
        # be lost. The wait is bounded, as the new owner may die.
        if now_s >= self._adopted_at_s + _HANDOVER_WAIT_MAX_S:
            return False
        return bool(
            self._succession.pending() or not self._handover.is_released()
        )

    def _defers_to_members(
        self, proposal: _proposer.Proposal, now_s: float
    ) -> bool:
        """Return whether a non-member waits for the members' proposal."""
        # It does not see the handovers between members and would reassign
        # assets before they have ended.
        if (
            self._stored is None
            or self.is_member()
            or proposal.challenge_revisions
        ):
            return False
        return now_s < self._adopted_at_s + _NON_MEMBER_DELAY_S

    async def _propose(self) -> None:
        now_s = self._timer.now_s()
        if await self._proposer.challenge(now_s):
            # A challenge's timeout starts only when it is read back.
            self._polls.wake()
        if not self._succession.may_propose() or self._is_handover_in_progress(
            now_s
        ):
            return
        proposal = self._proposer.proposal(self._stored, now_s)
        if proposal is None or self._defers_to_members(proposal, now_s):
            return
        reply = await self._control.propose(
            proposal.table,
            proposal.current_revision,
            proposal.challenge_revisions,
        )
        _LOG.info(
            'table_proposed',
            generation=proposal.table.generation,
            members=len(proposal.table.members),
            applied=reply.is_ok() and reply.ok.applied,
            error=reply.error.kind.value if reply.is_error() else '',
        )
        # A lost answer is resolved by reading the table back.
        if reply.is_ok() or (
            reply.error.kind is errors.ErrorKind.STORE_ANSWER_LOST
        ):
            await self._fetch()
