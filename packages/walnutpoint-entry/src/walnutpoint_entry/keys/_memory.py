"""At-most-once key memory (Liskov, Shrira, Wroclawski 1991)."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_core import settings
from walnutpoint_entry.keys import _blind
from walnutpoint_entry.keys import _finished
from walnutpoint_entry.keys import _in_flight
from walnutpoint_entry.keys import _mint
from walnutpoint_entry.keys import _record

__all__ = (
    'KeyCounts',
    'KeyMemory',
)

WAITERS_MAX = 64
_RETRY_AFTER_S = 1.0
_KIND = errors.ErrorKind
_STATE = _record.KeyState


@dataclasses.dataclass(frozen=True, slots=True)
class KeyCounts:
    """The numbers of keys and the size of their answers in a memory."""

    keys: int
    in_flight: int
    answers_size_bytes: int


class _Shard:
    """The keys of one shard."""

    __slots__ = ('blind', 'is_open', 'keys')

    def __init__(self) -> None:
        self.blind: _blind.BlindPeriod | None = None
        self.is_open = False
        self.keys: dict[
            str, _in_flight.InFlightKey | _finished.FinishedKey
        ] = {}


class KeyMemory:
    """Remembers the keys of the shards that this process is home of."""

    __slots__ = ('_finished', '_in_flight', '_key_count', '_limits', '_shards')

    def __init__(self, limits: settings.KeySettings) -> None:
        # A key that is forgotten while still valid could run a second time.
        valid_s = limits.valid_s * (1.0 + settings.CLOCK_AHEAD_RATIO)
        if limits.remember_s < valid_s:
            raise ValueError(f'remember_s must be at least {valid_s:g}')
        self._limits = limits
        self._shards: dict[int, _Shard] = {}
        self._finished = _finished.FinishedKeyQueue(
            limits.remember_s, limits.answers_size_bytes
        )
        self._key_count = 0
        self._in_flight = 0

    def counts(self) -> KeyCounts:
        """Return the numbers of keys and the size of their answers."""
        return KeyCounts(
            self._key_count,
            self._in_flight,
            self._finished.answers_size_bytes,
        )

    def is_open(self, shard: int) -> bool:
        """Return whether this process is home of a shard."""
        return shard in self._shards and self._shards[shard].is_open

    def remaining_blind_period(
        self, shard: int, now_s: float
    ) -> _blind.RemainingBlindPeriod | None:
        """Return the rest of a shard's blind period for the next home."""
        shard_state = self._shards.get(shard)
        if shard_state is None or shard_state.blind is None:
            return None
        return shard_state.blind.remaining(now_s)

    def open_shard(
        self,
        shard: int,
        epoch: int,
        now_s: float,
        blind_until_s: float,
        first_epoch: int | None = None,
    ) -> expression.Result[None, errors.Failure]:
        """Open a shard whose memory is complete since first_epoch.

        After a planned release, pass the rest of the former home's period.
        """
        shard_state = self._shards.setdefault(shard, _Shard())
        if shard_state.blind is not None and epoch < shard_state.blind.epoch:
            return expression.Error(
                errors.Failure(
                    _KIND.NOT_OWNER, f'epoch {epoch} of shard {shard} is over'
                )
            )
        if shard_state.blind is not None and epoch == shard_state.blind.epoch:
            # Reopening under the same epoch doesn't end the blind period.
            blind_until_s = max(blind_until_s, shard_state.blind.until_s)
            first_epoch = shard_state.blind.first_epoch
        if first_epoch is None:
            first_epoch = epoch
        shard_state.blind = _blind.BlindPeriod(
            epoch, first_epoch, blind_until_s
        )
        shard_state.is_open = True
        self.expire(now_s)
        return expression.Ok(None)

    def close_shard(
        self, shard: int, now_s: float
    ) -> tuple[_in_flight.InFlightKey, ...]:
        """Close a shard and return its entries that have not started.

        Those fail; started entries finish as usual. Keys stay for export.
        """
        shard_state = self._shards.get(shard)
        if shard_state is None:
            return ()
        shard_state.is_open = False
        waiting = tuple(
            entry
            for entry in shard_state.keys.values()
            if isinstance(entry, _in_flight.InFlightKey) and not entry.started
        )
        # A waiting request can't start here any more. Its key is removed, so
        # that its sender can retry at the next home, which runs it or knows
        # a repeat; otherwise a planned stop would fail all waiting requests.
        failure = errors.Failure(
            _KIND.PEER_ANSWER_LOST, 'the home of the key moved'
        )
        for entry in waiting:
            entry.set_result(expression.Error(failure))
            del shard_state.keys[entry.key]
            self._key_count -= 1
            self._in_flight -= 1
        return waiting

    def discard_shard(self, shard: int) -> None:
        """Forget a closed shard after its next home has the records."""
        shard_state = self._shards.get(shard)
        if shard_state is None or shard_state.is_open:
            return
        del self._shards[shard]
        self._key_count -= len(shard_state.keys)
        self._finished.discard(shard)

    def begin(
        self,
        shard: int,
        key: _mint.MintedKey | _mint.CallerKey,
        fingerprint: bytes,
        now_s: float,
    ) -> expression.Result[_in_flight.Admission, errors.Failure]:
        """Decide whether a request may run, joins another or is replayed."""
        self.expire(now_s)
        shard_state = self._shards.get(shard)
        if (
            shard_state is None
            or shard_state.blind is None
            or not shard_state.is_open
        ):
            # A repeat may run at another home, so not-run can't be promised.
            return _error(
                _KIND.KEY_BLIND, 'not the home of the key', _RETRY_AFTER_S
            )
        existing = shard_state.keys.get(key.text)
        if existing is None:
            return self._admit(
                shard_state, shard_state.blind, shard, key, fingerprint, now_s
            )
        if existing.fingerprint != fingerprint:
            return _error(
                _KIND.KEY_MISMATCH, 'the key came with another request'
            )
        if isinstance(existing, _in_flight.InFlightKey):
            return _join(existing)
        return _replay(existing)

    def finish(
        self,
        entry: _in_flight.InFlightKey,
        result: expression.Result[model.Answer, errors.Failure],
        now_s: float,
    ) -> None:
        """Set the result of an entry and remember it.

        Not-run is final too: the caller has been told so, and an earlier
        attempt under the key that is delayed on its way must not run when
        it arrives.
        """
        if entry.result is not None:
            return
        entry.set_result(result)
        self._in_flight -= 1
        shard_state = self._shards.get(entry.shard)
        if shard_state is None:
            return
        if shard_state.keys.get(entry.key) is entry:
            del shard_state.keys[entry.key]
            self._key_count -= 1
            self._insert(shard_state, entry.shard, entry.to_record(), now_s)
        elif entry.key in shard_state.keys:
            # The shard was released and regained while the request ran.
            self._import(shard_state, entry.shard, entry.to_record(), now_s)

    def expire(self, now_s: float) -> None:
        """Forget a bounded number of expired keys."""
        for finished in self._finished.pop_expired(now_s):
            shard_state = self._shards.get(finished.shard)
            if (
                shard_state is not None
                and shard_state.keys.get(finished.key) is finished
            ):
                del shard_state.keys[finished.key]
                self._key_count -= 1

    def export_shard(
        self, shard: int, now_s: float
    ) -> collections.abc.Iterator[_record.KeyRecord]:
        """Return the records of a shard for its next home."""
        shard_state = self._shards.get(shard)
        entries = (
            () if shard_state is None else tuple(shard_state.keys.values())
        )
        return (_to_record(entry, now_s) for entry in entries)

    def import_records(
        self,
        shard: int,
        records: collections.abc.Iterable[_record.KeyRecord],
        now_s: float,
    ) -> expression.Result[None, errors.Failure]:
        """Import records; after an error the shard must open blind."""
        shard_state = self._shards.setdefault(shard, _Shard())
        for record in records:
            is_new = record.key not in shard_state.keys
            if is_new and self._key_count >= self._limits.keys_max:
                return _error(
                    _KIND.KEY_MEMORY_FULL, 'no room for the keys of a shard'
                )
            self._import(shard_state, shard, record, now_s)
        return expression.Ok(None)

    def _admit(
        self,
        shard_state: _Shard,
        blind: _blind.BlindPeriod,
        shard: int,
        key: _mint.MintedKey | _mint.CallerKey,
        fingerprint: bytes,
        now_s: float,
    ) -> expression.Result[_in_flight.Admission, errors.Failure]:
        key_epoch = key.epoch if isinstance(key, _mint.MintedKey) else None
        refusal = blind.refusal(key_epoch, now_s)
        if refusal is not None:
            return expression.Error(refusal)
        if self._key_count >= self._limits.keys_max:
            return _error(_KIND.KEY_MEMORY_FULL, 'too many keys are held')
        entry = _in_flight.InFlightKey(
            key.text, shard, blind.epoch, fingerprint
        )
        shard_state.keys[key.text] = entry
        self._key_count += 1
        self._in_flight += 1
        return expression.Ok(_in_flight.Admitted(entry))

    def _import(
        self,
        shard_state: _Shard,
        shard: int,
        record: _record.KeyRecord,
        now_s: float,
    ) -> None:
        existing = shard_state.keys.get(record.key)
        if existing is None:
            self._insert(shard_state, shard, record, now_s)
            return
        if not _may_replace(existing, record):
            return
        del shard_state.keys[record.key]
        self._key_count -= 1
        self._insert(shard_state, shard, record, now_s)

    def _insert(
        self,
        shard_state: _Shard,
        shard: int,
        record: _record.KeyRecord,
        now_s: float,
    ) -> None:
        finished = _finished.FinishedKey.from_record(shard, record, now_s)
        shard_state.keys[record.key] = finished
        self._key_count += 1
        self._finished.append(finished)


# A late or duplicate record could put a finished key back in flight, or mark
# a key as not run that runs here. So only a key in flight at the former home
# is replaced, and by not-run only if the record has the same epoch.
def _may_replace(
    existing: _in_flight.InFlightKey | _finished.FinishedKey,
    record: _record.KeyRecord,
) -> bool:
    if (
        isinstance(existing, _in_flight.InFlightKey)
        or existing.state is not _STATE.IN_FLIGHT
    ):
        return False
    if record.state is _STATE.NOT_RUN:
        return record.epoch == existing.epoch
    return record.state is not _STATE.IN_FLIGHT


def _to_record(
    entry: _in_flight.InFlightKey | _finished.FinishedKey, now_s: float
) -> _record.KeyRecord:
    if isinstance(entry, _in_flight.InFlightKey):
        return entry.to_record()
    return entry.to_record(now_s)


def _join(
    entry: _in_flight.InFlightKey,
) -> expression.Result[_in_flight.Admission, errors.Failure]:
    if entry.waiters >= WAITERS_MAX:
        # The first request may run, so not-run can't be promised.
        return _error(
            _KIND.KEY_BLIND, 'too many wait for this key', _RETRY_AFTER_S
        )
    entry.waiters += 1
    return expression.Ok(_in_flight.Joined(entry))


def _replay(
    finished: _finished.FinishedKey,
) -> expression.Result[_in_flight.Admission, errors.Failure]:
    if finished.state is _STATE.IN_FLIGHT:
        # The former home sends the result once it has it: retry later.
        return _error(
            _KIND.PEER_ANSWER_LOST,
            'in flight at the former home',
            _RETRY_AFTER_S,
        )
    if finished.state is _STATE.FORGOTTEN:
        return _error(_KIND.ANSWER_FORGOTTEN, 'it ran; its answer is gone')
    failure = finished.failure()
    if failure is not None:
        return expression.Ok(_in_flight.Replayed(expression.Error(failure)))
    return expression.Ok(_in_flight.Replayed(expression.Ok(finished.answer())))


def _error(
    kind: errors.ErrorKind, detail: str, retry_after_s: float | None = None
) -> expression.Result[typing.Any, errors.Failure]:
    return expression.Error(errors.Failure(kind, detail, retry_after_s))
