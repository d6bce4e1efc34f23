"""Succession of a process to assets that another one owned."""

from __future__ import annotations

import collections.abc
import dataclasses

from walnutpoint_entry.ownership import _table

__all__ = (
    'AcquiredAsset',
    'LostAsset',
    'Succession',
)


@dataclasses.dataclass(frozen=True, slots=True)
class AcquiredAsset:
    """An asset that became active here; in_use is None if unreleased."""

    asset: str
    epoch: int
    in_use: int | None
    is_first: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LostAsset:
    """A formerly active asset that now has another owner or none."""

    asset: str
    epoch: int
    successor: _table.Member | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Release:
    epoch: int
    released_epoch: int
    in_use: int


class Succession:
    """Decide when each asset of this process is active.

    An asset becomes active when its old owner has released it, or fence_s
    after ack_count members of the previous table acknowledged the new one.
    To stay confirmed, the old owner needs attest_count members that do not
    know the new one. The quorums intersect, so by then it is unconfirmed.
    """

    __slots__ = (
        '_acknowledged',
        '_active',
        '_fence_s',
        '_fence_started_at_s',
        '_member',
        '_pending',
        '_releases',
        '_stored',
    )

    def __init__(self, member: _table.Member, fence_s: float) -> None:
        self._member = member
        self._fence_s = fence_s
        self._stored: _table.StoredTable | None = None
        self._active: dict[str, int] = {}
        self._pending: dict[str, int] = {}
        self._releases: dict[str, _Release] = {}
        self._acknowledged: set[str] = set()
        self._fence_started_at_s: float | None = None

    def adopt(
        self, stored: _table.StoredTable, now_s: float
    ) -> tuple[LostAsset, ...]:
        """Adopt a newer table and return the assets lost by it."""
        self._stored = stored
        owned = stored.table.owned_by(self._member)
        # An asset that another owner had in between has a newer epoch: it
        # is fenced again, since that owner may still place.
        lost_assets = tuple(
            LostAsset(asset, epoch, stored.table.owner(asset))
            for asset, epoch in self._active.items()
            if owned.get(asset) != epoch
        )
        self._active = {
            asset: epoch
            for asset, epoch in self._active.items()
            if owned.get(asset) == epoch
        }
        self._pending = {
            asset: epoch
            for asset, epoch in owned.items()
            if asset not in self._active
        }
        self._releases = {
            asset: release
            for asset, release in self._releases.items()
            if release.epoch >= stored.table.epoch(asset)
        }
        self._acknowledged.clear()
        self._fence_started_at_s = None
        self.record_acknowledgement(
            self._member.address, stored.revision, now_s
        )
        return lost_assets

    def record_acknowledgement(
        self, address: str, revision: int, now_s: float
    ) -> None:
        """Record that the process at an address knows a table revision."""
        stored = self._stored
        if stored is None or revision < stored.revision:
            return
        self._acknowledged.add(address)
        if self._fence_started_at_s is None and self._is_acknowledged():
            self._fence_started_at_s = now_s

    def record_release(
        self, asset: str, epoch: int, released_epoch: int, in_use: int
    ) -> None:
        """Record that the old owner has stopped placing on an asset."""
        self._releases[asset] = _Release(epoch, released_epoch, in_use)

    def activate(self, now_s: float) -> tuple[AcquiredAsset, ...]:
        """Activate and return the released assets and those past the fence."""
        if not self._pending:
            return ()
        has_fence_ended = self._has_fence_ended(now_s)
        acquired_assets = tuple(
            AcquiredAsset(
                asset,
                epoch,
                self._released_in_use(asset, epoch),
                self._is_first_table(),
            )
            for asset, epoch in self._pending.items()
            if has_fence_ended
            or self._released_in_use(asset, epoch) is not None
        )
        for acquired in acquired_assets:
            del self._pending[acquired.asset]
            self._releases.pop(acquired.asset, None)
            self._active[acquired.asset] = acquired.epoch
        return acquired_assets

    def is_active(self, asset: str) -> bool:
        """Return whether an asset is active here."""
        return asset in self._active

    def active(self) -> collections.abc.Mapping[str, int]:
        """Return the active assets with their epochs."""
        return self._active

    def pending(self) -> collections.abc.Mapping[str, int]:
        """Return the assets that wait for a release or the fence."""
        return self._pending

    def may_propose(self) -> bool:
        """Return whether the next table may be proposed.

        With two changes at once, members that the owner before the first
        one never queries would acknowledge the second: both could place. One
        change at a time keeps both quorums within the same members.
        """
        return self._stored is None or self._is_acknowledged()

    def fence_ends_at_s(self) -> float | None:
        """Return when the fence ends, or None if that is not known yet."""
        if self._fence_started_at_s is None or not self._pending:
            return None
        return self._fence_started_at_s + self._fence_s

    def _is_acknowledged(self) -> bool:
        stored = self._stored
        if stored is None or not stored.table.previous_members:
            return True
        previous = {member.address for member in stored.table.previous_members}
        needed = _table.ack_count(len(previous))
        return len(previous & self._acknowledged) >= needed

    def _is_first_table(self) -> bool:
        stored = self._stored
        return stored is not None and not stored.table.previous_members

    def _has_fence_ended(self, now_s: float) -> bool:
        if self._is_first_table():
            return True
        if self._fence_started_at_s is None:
            return False
        return now_s >= self._fence_started_at_s + self._fence_s

    def _released_in_use(self, asset: str, epoch: int) -> int | None:
        release = self._releases.get(asset)
        if release is None or release.epoch != epoch or self._stored is None:
            return None
        # An owner that missed a table may release to a later successor while
        # the owner in between still places. Only a release of the directly
        # preceding epoch counts.
        previous_epoch = self._stored.table.previous_epoch(asset)
        if release.released_epoch != previous_epoch:
            return None
        return release.in_use
