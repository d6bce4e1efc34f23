"""Admission of attempts by shard epoch and tombstone."""

from __future__ import annotations

from walnutpoint_core import errors
from walnutpoint_core import timer as timers
from walnutpoint_entry.tasks import _cell
from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _owner
from walnutpoint_entry.tasks import _tombstones
from walnutpoint_entry.tasks import _wire

__all__ = ('Admission',)

_KIND = errors.ErrorKind
_PHASE = _entry.Phase


class Admission:
    """Refuse attempts of replaced job owners and stopped attempts."""

    __slots__ = (
        '_allocator',
        '_owner',
        '_shard_epochs',
        '_timer',
        '_tombstones',
    )

    def __init__(
        self,
        timer: timers.Timer,
        owner: _owner.Owner,
        allocator: _cell.Allocator,
        tombstones: _tombstones.Tombstones,
    ) -> None:
        self._timer = timer
        self._owner = owner
        self._allocator = allocator
        self._tombstones = tombstones
        self._shard_epochs: dict[int, int] = {}

    def admit(self, shard: int, shard_epoch: int) -> bool:
        """Record a shard's epoch; return False if a newer one is known."""
        if shard_epoch < self._shard_epochs.get(shard, 0):
            return False
        self._shard_epochs[shard] = shard_epoch
        return True

    def refusal(self, spec: _model.TaskSpec) -> errors.Failure | None:
        """Return why an attempt must not be held or started, or None."""
        # A paused job owner that has been replaced could start a task that
        # its successor already runs elsewhere.
        if not self.admit(spec.shard, spec.shard_epoch):
            return errors.Failure(_KIND.NOT_OWNER, f'shard {spec.shard}')
        if not self._owner.is_confirmed():
            return errors.Failure(_KIND.NOT_CONFIRMED, self._owner.member.name)
        entry = self._allocator.live(spec.key)
        if entry is None:
            return self._refusal_of_stopped(spec)
        if entry.attempt == spec.attempt:
            return None
        if entry.attempt > spec.attempt:
            return errors.Failure(_KIND.NOT_OWNER, 'a later attempt exists')
        if entry.phase is not _PHASE.HELD:
            return errors.Failure(
                _KIND.NOT_CONFIRMED, 'an earlier attempt may still run'
            )
        self._allocator.release(entry, self._timer.now_s())
        return self._refusal_of_stopped(spec)

    def _refusal_of_stopped(
        self, spec: _model.TaskSpec
    ) -> errors.Failure | None:
        # The job owner was told that this attempt does not run and may have
        # started the next one elsewhere; both would run.
        name = _wire.Attempt(spec.key, spec.attempt)
        is_stopped = self._tombstones.has(name, self._timer.now_s())
        if not is_stopped or self._allocator.ended(name) is not None:
            return None
        return errors.Failure(_KIND.NOT_OWNER, 'the attempt was stopped')
