"""The blind period of a shard taken over without its key memory."""

from __future__ import annotations

import dataclasses

from walnutpoint_core import errors

__all__ = (
    'BlindPeriod',
    'RemainingBlindPeriod',
)

_REPLACED_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingBlindPeriod:
    """The rest of a blind period, which the next home has to observe."""

    remaining_s: float
    first_epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class BlindPeriod:
    """Decides which unknown keys may run under one epoch of a shard.

    The memory is complete for keys minted in first_epoch or later.
    """

    epoch: int
    first_epoch: int
    until_s: float

    # If a home dies after it ran a request, the next home has no record of
    # the key and would run the caller's repeat a second time. Only keys
    # minted in first_epoch or later can't have run before; all others are
    # refused as unknown until remember_s has passed, after which minted
    # ones have expired.
    def refusal(
        self, key_epoch: int | None, now_s: float
    ) -> errors.Failure | None:
        """Return why a key missing from the memory may not run, or None.

        key_epoch is None for a key that the caller made.
        """
        if key_epoch is not None and key_epoch > self.epoch:
            # A later home minted the key: this one has been replaced, and
            # its memory lacks what ran since.
            return _blind_failure(
                'the shard has a later home', _REPLACED_RETRY_AFTER_S
            )
        if now_s >= self.until_s:
            return None
        if key_epoch is not None and key_epoch >= self.first_epoch:
            return None
        return _blind_failure(
            'the memory of this key was lost; mint a new key for new work',
            self.until_s - now_s,
        )

    def remaining(self, now_s: float) -> RemainingBlindPeriod:
        """Return the rest of the period for the next home."""
        return RemainingBlindPeriod(
            max(0.0, self.until_s - now_s), self.first_epoch
        )


def _blind_failure(detail: str, retry_after_s: float) -> errors.Failure:
    return errors.Failure(errors.ErrorKind.KEY_BLIND, detail, retry_after_s)
