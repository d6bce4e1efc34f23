"""How a process comes to own an asset after another one did."""

from __future__ import annotations

import collections.abc
import dataclasses

from walnutpoint_entry.ownership import _table

__all__ = (
    'Gain',
    'Loss',
    'Succession',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Gain:
    """An asset that became active here; in_use is None without release."""

    asset: str
    epoch: int
    in_use: int | None
    is_first: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """An asset that was active here and now has another owner or none."""

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

    An asset becomes active when its old owner has released it, or when
    ack_count members of the previous table know the new one and fence_s
    has passed since. The old owner needs attest_count members that do not
    know the new table; the two sets always meet, so that its confirmation
    has run out by then.
    """

    __slots__ = (
        '_acknowledged',
        '_active',
        '_fence_from_s',
        '_fence_s',
        '_pending',
        '_placed',
        '_releases',
        '_self',
    )

    def __init__(self, member: _table.Member, fence_s: float) -> None:
        self._self = member
        self._fence_s = fence_s
        self._placed: _table.PlacedTable | None = None
        self._active: dict[str, int] = {}
        self._pending: dict[str, int] = {}
        self._releases: dict[str, _Release] = {}
        self._acknowledged: set[str] = set()
        self._fence_from_s: float | None = None

    def adopt(
        self, placed: _table.PlacedTable, now_s: float
    ) -> tuple[Loss, ...]:
        """Take a newer table and return what this process has lost."""
        self._placed = placed
        owned = placed.table.owned_by(self._self)
        # An asset that went to another owner and came back has a newer
        # epoch: it is fenced again, since that owner may still place.
        losses = tuple(
            Loss(asset, epoch, placed.table.owner(asset))
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
            if release.epoch >= placed.table.epoch(asset)
        }
        self._acknowledged.clear()
        self._fence_from_s = None
        self.acknowledge(self._self.address, placed.revision, now_s)
        return losses

    def acknowledge(
        self, address: str, known_revision: int, now_s: float
    ) -> None:
        """Note that the process at an address knows a table revision."""
        placed = self._placed
        if placed is None or known_revision < placed.revision:
            return
        self._acknowledged.add(address)
        if self._fence_from_s is None and self._has_acknowledgements():
            self._fence_from_s = now_s

    def release(
        self, asset: str, epoch: int, released_epoch: int, in_use: int
    ) -> None:
        """Note that the old owner has stopped placing on an asset."""
        self._releases[asset] = _Release(epoch, released_epoch, in_use)

    def activate(self, now_s: float) -> tuple[Gain, ...]:
        """Make active what was released or fenced, and return it."""
        if not self._pending:
            return ()
        is_fenced = self._is_fenced(now_s)
        gains = tuple(
            Gain(
                asset,
                epoch,
                self._released_in_use(asset, epoch),
                self._is_first(),
            )
            for asset, epoch in self._pending.items()
            if is_fenced or self._released_in_use(asset, epoch) is not None
        )
        for gain in gains:
            del self._pending[gain.asset]
            self._releases.pop(gain.asset, None)
            self._active[gain.asset] = gain.epoch
        return gains

    def is_active(self, asset: str) -> bool:
        """Tell whether an asset is active here."""
        return asset in self._active

    def active(self) -> collections.abc.Mapping[str, int]:
        """Return the active assets with their epochs."""
        return self._active

    def pending(self) -> collections.abc.Mapping[str, int]:
        """Return the assets that still wait for a release or the fence."""
        return self._pending

    def is_settled(self) -> bool:
        """Tell whether the next table may be proposed.

        With two changes at once the acknowledgements of the second would
        be counted among members that the owner before the first never
        asked: both could place. One change at a time keeps the sets equal.
        """
        return self._placed is None or self._has_acknowledgements()

    def fence_ends_s(self) -> float | None:
        """Return when the fence ends, if its end is known."""
        if self._fence_from_s is None or not self._pending:
            return None
        return self._fence_from_s + self._fence_s

    def _has_acknowledgements(self) -> bool:
        placed = self._placed
        if placed is None or not placed.table.previous_members:
            return True
        previous = {member.address for member in placed.table.previous_members}
        needed = _table.ack_count(len(previous))
        return len(previous & self._acknowledged) >= needed

    def _is_first(self) -> bool:
        placed = self._placed
        return placed is not None and not placed.table.previous_members

    def _is_fenced(self, now_s: float) -> bool:
        if self._is_first():
            return True
        if self._fence_from_s is None:
            return False
        return now_s >= self._fence_from_s + self._fence_s

    def _released_in_use(self, asset: str, epoch: int) -> int | None:
        release = self._releases.get(asset)
        if release is None or release.epoch != epoch or self._placed is None:
            return None
        # An owner that skipped a table releases to the one after the next:
        # the owner between them may still place, and both would. Only the
        # release of the directly preceding epoch counts.
        previous_epoch = self._placed.table.previous_epoch(asset)
        if release.released_epoch != previous_epoch:
            return None
        return release.in_use
