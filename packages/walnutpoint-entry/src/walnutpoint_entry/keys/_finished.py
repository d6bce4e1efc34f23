"""Finished keys in compact form, with a bounded size of answers."""

from __future__ import annotations

import collections
import collections.abc

import msgspec

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_entry.keys import _record

__all__ = (
    'FinishedKey',
    'FinishedKeyQueue',
)

_EXPIRY_BATCH_MAX = 64


class FinishedKey(msgspec.Struct, gc=False):
    """A finished key with its encoded answer or failure.

    It can't be part of a reference cycle; gc=False spares the collector
    a pause over hundreds of thousands of them.
    """

    key: str
    shard: int
    epoch: int
    fingerprint: bytes
    state: _record.KeyState
    payload: bytes
    finished_at_s: float

    @classmethod
    def from_record(
        cls, shard: int, record: _record.KeyRecord, now_s: float
    ) -> FinishedKey:
        """Return the compact form of a record."""
        return cls(
            key=record.key,
            shard=shard,
            epoch=record.epoch,
            fingerprint=record.fingerprint,
            state=record.state,
            payload=msgspec.msgpack.encode(record.answer or record.failure),
            finished_at_s=now_s - record.age_s,
        )

    def to_record(self, now_s: float) -> _record.KeyRecord:
        """Return the record of this key for the shard's next home."""
        return _record.KeyRecord(
            key=self.key,
            epoch=self.epoch,
            fingerprint=self.fingerprint,
            state=self.state,
            age_s=max(0.0, now_s - self.finished_at_s),
            answer=self.answer(),
            failure=self.failure(),
        )

    def answer(self) -> model.Answer | None:
        """Return the answer, or None if there is none or it was dropped."""
        if self.state is not _record.KeyState.ANSWERED:
            return None
        return msgspec.msgpack.decode(self.payload, type=model.Answer)

    def failure(self) -> errors.Failure | None:
        """Return the failure, or None if the request had an answer."""
        if self.state not in _record.FAILED_STATES:
            return None
        return msgspec.msgpack.decode(self.payload, type=errors.Failure)

    def drop_answer(self) -> None:
        """Drop the answer but keep the fact that the request ran."""
        self.state = _record.KeyState.FORGOTTEN
        self.payload = b''


class FinishedKeyQueue:
    """Finished keys in the order of their arrival at this home.

    A key that was handed over may be kept longer than remember_s, but
    never shorter.
    """

    __slots__ = (
        '_answered',
        '_answers_max_bytes',
        '_keys',
        '_remember_s',
        'answers_size_bytes',
    )

    def __init__(self, remember_s: float, answers_max_bytes: int) -> None:
        self._remember_s = remember_s
        self._answers_max_bytes = answers_max_bytes
        self._keys: collections.deque[FinishedKey] = collections.deque()
        self._answered: collections.deque[FinishedKey] = collections.deque()
        self.answers_size_bytes = 0

    def append(self, finished: FinishedKey) -> None:
        """Add a key and drop the oldest answers beyond the size limit."""
        self._keys.append(finished)
        if finished.state is _record.KeyState.ANSWERED:
            self._answered.append(finished)
            self.answers_size_bytes += len(finished.payload)
        while self.answers_size_bytes > self._answers_max_bytes:
            self._drop_answer(self._answered.popleft())

    def pop_expired(
        self, now_s: float
    ) -> collections.abc.Iterator[FinishedKey]:
        """Remove and yield a bounded number of expired keys."""
        for _ in range(min(_EXPIRY_BATCH_MAX, len(self._keys))):
            if self._keys[0].finished_at_s + self._remember_s > now_s:
                return
            finished = self._keys.popleft()
            self._drop_answer(finished)
            yield finished

    def discard(self, shard: int) -> None:
        """Remove every key of a shard."""
        for finished in self._keys:
            if finished.shard == shard:
                self._drop_answer(finished)
        self._keys = collections.deque(
            finished for finished in self._keys if finished.shard != shard
        )
        self._answered = collections.deque(
            finished for finished in self._answered if finished.shard != shard
        )

    def _drop_answer(self, finished: FinishedKey) -> None:
        if finished.state is _record.KeyState.ANSWERED:
            self.answers_size_bytes -= len(finished.payload)
            finished.drop_answer()
        while self._answered and (
            self._answered[0].state is not _record.KeyState.ANSWERED
        ):
            self._answered.popleft()
