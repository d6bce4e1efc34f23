"""Proposal of the next assignment table by this process."""

from __future__ import annotations

import collections.abc
import dataclasses
import uuid

from walnutpoint_core import logs
from walnutpoint_core import model
from walnutpoint_core import settings as settings_module
from walnutpoint_entry.ownership import _activity
from walnutpoint_entry.ownership import _control
from walnutpoint_entry.ownership import _liveness
from walnutpoint_entry.ownership import _table

__all__ = (
    'Proposal',
    'Proposer',
)

_RANK_DELAY_S = 0.3
_REST_SILENCE_FACTOR = 2.5

_LOG = logs.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """The next table, the revision it replaces, unanswered challenges."""

    table: _table.AssignmentTable
    current_revision: int
    challenge_revisions: dict[_table.Member, int]


class Proposer:
    """Challenge silent members and propose tables without the dead ones."""

    __slots__ = (
        '_activity',
        '_change_pending_since_s',
        '_control',
        '_listing',
        '_liveness',
        '_member',
        '_settings',
        '_stopping',
    )

    def __init__(
        self,
        member: _table.Member,
        settings: settings_module.OwnershipSettings,
        control: _control.ControlStore,
        liveness: _liveness.Liveness,
        activity: _activity.Activity,
    ) -> None:
        self._member = member
        self._settings = settings
        self._control = control
        self._liveness = liveness
        self._activity = activity
        self._listing: model.HostListing | None = None
        self._stopping = False
        self._change_pending_since_s: float | None = None

    def update_hosts(self, listing: model.HostListing) -> None:
        """Record the newest host list."""
        self._listing = listing

    def stop(self) -> None:
        """Leave this process out of further proposals."""
        self._stopping = True

    async def challenge(self, now_s: float) -> bool:
        """Challenge silent members; return whether any was challenged."""
        is_any_written = False
        for member in self._liveness.members_to_challenge(
            self._silence_s(), now_s
        ):
            reply = await self._control.challenge(member)
            is_written = reply.is_ok() and reply.ok.applied
            is_any_written |= is_written
            _LOG.info(
                'member_challenged',
                member=member.name,
                address=member.address,
                written=is_written,
            )
        return is_any_written

    def proposal(
        self, stored: _table.StoredTable | None, now_s: float
    ) -> Proposal | None:
        """Return the next table if it is this process's turn."""
        current = None if stored is None else stored.table
        dead = self._dead(now_s)
        desired = self._desired_table(current, dead, now_s)
        if desired is None or not desired.differs(current):
            self._change_pending_since_s = None
            return None
        if self._change_pending_since_s is None:
            self._change_pending_since_s = now_s
        delay_s = _RANK_DELAY_S * self._rank(current, dead)
        if now_s < self._change_pending_since_s + delay_s:
            return None
        return Proposal(
            _table.next_table(current, desired, uuid.uuid4().hex),
            0 if stored is None else stored.revision,
            dead,
        )

    def _dead(self, now_s: float) -> dict[_table.Member, int]:
        settings = self._settings
        challenge_s = (
            settings.challenge_s
            if self._activity.is_any_busy()
            else settings.rest_challenge_s
        )
        return self._liveness.dead(self._silence_s(), challenge_s, now_s)

    def _silence_s(self) -> float:
        settings = self._settings
        # Right after an idle period the last heartbeats are old only because
        # they were infrequent: every peer would be challenged.
        if self._activity.busy_duration_s() > settings.suspect_after_s:
            return settings.suspect_after_s
        return max(
            settings.suspect_after_s,
            settings.rest_heartbeat_period_s * _REST_SILENCE_FACTOR,
        )

    def _desired_table(
        self,
        current: _table.AssignmentTable | None,
        dead: collections.abc.Collection[_table.Member],
        now_s: float,
    ) -> _table.DesiredTable | None:
        members = self._desired_members(current, dead, now_s)
        if not members:
            return None
        version, endpoints = self._desired_endpoints(current)
        return _table.DesiredTable(
            tuple(sorted(members, key=lambda member: member.address)),
            endpoints,
            self._settings.key_shards,
            version,
        )

    def _desired_members(
        self,
        current: _table.AssignmentTable | None,
        dead: collections.abc.Collection[_table.Member],
        now_s: float,
    ) -> set[_table.Member]:
        members = set() if current is None else set(current.members)
        members -= set(dead)
        members -= self._liveness.leavers()
        members |= set(self._liveness.joiners(now_s))
        members = {
            member
            for member in members
            if member.address != self._member.address
        }
        if not self._stopping:
            members.add(self._member)
        return members

    def _desired_endpoints(
        self, current: _table.AssignmentTable | None
    ) -> tuple[int, tuple[str, ...]]:
        listing = self._listing
        # Processes may hold different versions of the host list: one with an
        # older version would revert the changes of a newer one, and new
        # endpoints would be added and removed in turn.
        if listing is None or (
            current is not None and listing.version < current.hosts_version
        ):
            if current is None:
                return 0, ()
            endpoints = (
                asset
                for asset in current.holdings
                if not _table.is_shard(asset)
            )
            return current.hosts_version, tuple(sorted(endpoints))
        addresses = {host.address for host in listing.hosts}
        return listing.version, tuple(sorted(addresses))

    def _rank(
        self,
        current: _table.AssignmentTable | None,
        dead: collections.abc.Collection[_table.Member],
    ) -> int:
        """Return how many other members propose before this process."""
        if current is None:
            return 0
        others = [
            member
            for member in current.members
            if member not in dead and member not in self._liveness.leavers()
        ]
        if self._member in current.members:
            return sum(
                member.address < self._member.address for member in others
            )
        return len(others)
