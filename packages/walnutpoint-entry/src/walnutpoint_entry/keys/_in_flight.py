"""A key whose request is in flight, and the ways to admit a request."""

from __future__ import annotations

import dataclasses

import anyio
import expression

from walnutpoint_core import errors
from walnutpoint_core import model
from walnutpoint_entry.keys import _record

__all__ = (
    'Admission',
    'Admitted',
    'InFlightKey',
    'Joined',
    'Replayed',
)


class InFlightKey:
    """A key from the admission of its first request to the result."""

    __slots__ = (
        '_finished',
        'epoch',
        'fingerprint',
        'key',
        'result',
        'shard',
        'started',
        'waiters',
    )

    def __init__(
        self, key: str, shard: int, epoch: int, fingerprint: bytes
    ) -> None:
        self.key = key
        self.shard = shard
        self.epoch = epoch
        self.fingerprint = fingerprint
        self.started = False
        self.waiters = 0
        self.result: expression.Result[model.Answer, errors.Failure] | None
        self.result = None
        self._finished: anyio.Event | None = None

    @property
    def finished(self) -> anyio.Event:
        """Return the event that is set once there is a result."""
        # Made on demand: it costs more than the rest, and few have waiters.
        if self._finished is None:
            self._finished = anyio.Event()
            if self.result is not None:
                self._finished.set()
        return self._finished

    # If a home loses its shard while a request waits for a slot, the caller
    # gets an unknown outcome and the next home may admit the key again; a
    # later write here would be a second run. Callers must not await between
    # this call and the write, which makes both one atomic step.
    def start(self) -> expression.Result[None, errors.Failure]:
        """Mark the request as started unless it already has a result."""
        if self.result is not None:
            return expression.Error(
                errors.Failure(
                    errors.ErrorKind.ANSWER_LOST, 'the shard was closed'
                )
            )
        self.started = True
        return expression.Ok(None)

    def remove_waiter(self) -> None:
        """Remove one waiter that stopped waiting."""
        self.waiters -= 1

    def set_result(
        self, result: expression.Result[model.Answer, errors.Failure]
    ) -> None:
        """Set the result and wake the waiters; for KeyMemory only."""
        self.result = result
        if self._finished is not None:
            self._finished.set()

    def to_record(self) -> _record.KeyRecord:
        """Return the record of this key for the shard's next home."""
        return _record.KeyRecord(
            key=self.key,
            epoch=self.epoch,
            fingerprint=self.fingerprint,
            state=state_of(self.result),
            answer=self._answer(),
            failure=self._failure(),
        )

    def _answer(self) -> model.Answer | None:
        if self.result is None or self.result.is_error():
            return None
        return self.result.ok

    def _failure(self) -> errors.Failure | None:
        if self.result is None or self.result.is_ok():
            return None
        return self.result.error


def state_of(
    result: expression.Result[model.Answer, errors.Failure] | None,
) -> _record.KeyState:
    """Return the key state that follows from a result."""
    if result is None:
        return _record.KeyState.IN_FLIGHT
    outcome = result.ok.outcome if result.is_ok() else result.error.outcome
    if outcome is errors.Outcome.NOT_RUN:
        return _record.KeyState.NOT_RUN
    if result.is_ok():
        return _record.KeyState.ANSWERED
    return _record.KeyState.UNKNOWN


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is the first of its key and may run now."""

    entry: InFlightKey


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """The first request of the key is in flight; await its result."""

    entry: InFlightKey


@dataclasses.dataclass(frozen=True, slots=True)
class Replayed:
    """The first request of the key has finished; return its result."""

    result: expression.Result[model.Answer, errors.Failure]


Admission = Admitted | Joined | Replayed
