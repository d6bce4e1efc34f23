"""A job as submitted by a client account, and its stored form."""

from __future__ import annotations

import functools
import math
import typing

import msgspec

from walnutpoint_core import decoding
from walnutpoint_core import resources
from walnutpoint_scheduler import accounts
from walnutpoint_scheduler import cell

__all__ = (
    'Job',
    'Step',
    'chain_s',
    'decode_job',
    'encode_final_marker',
    'encode_job',
    'encode_reserved_marker',
    'find_step_fault',
    'is_final_marker',
    'is_reserved_marker',
    'owner',
    'remaining_by_step_s',
)

_TASKS_MAX: typing.Final = 10_000
_MS_PER_S: typing.Final = 1000.0


class Step(msgspec.Struct, frozen=True, omit_defaults=True, dict=True):
    """Identical tasks that start once the steps they depend on are done."""

    task_count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    rack_affinity: str = ''
    per_worker_max: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ''
    latency_target_ms: int = 0
    # A filling task uses only CPU time that other tasks leave idle.
    fills: bool = False
    # How many tasks of a lasting step may be evicted at once.
    away_max: int = 0

    @functools.cached_property
    def need(self) -> resources.Resources:
        """Return the worker capacity that one task books."""
        millicores = 0 if self.fills else self.cpu_millicores
        return resources.Resources(
            millicores, self.memory_mb, self.accelerators
        )

    @functools.cached_property
    def charge(self) -> resources.Resources:
        """Return what one task counts towards its account's limit."""
        return resources.Resources(
            self.cpu_millicores, self.memory_mb, self.accelerators
        )

    @functools.cached_property
    def expected_s(self) -> float:
        """Return the expected run time; infinite for a lasting step."""
        return math.inf if self.lasting else self.estimate_ms / _MS_PER_S


class Job(msgspec.Struct, frozen=True, omit_defaults=True, dict=True):
    """One accepted job."""

    job_id: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    # Time of day of the acceptance.
    accepted_ms: int = 0
    # A job with occurrences runs its steps once per occurrence.
    occurrence_count: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    # A copy of the queue, which may be removed while the job runs.
    accepted_by: cell.Queue | None = None
    # The client account that submitted it; empty in a public queue.
    account: str = ''
    # A copy of its terms, for a scheduler whose configuration does not have
    # the account yet, or no longer.
    accepted_for: accounts.Terms | None = None

    @functools.cached_property
    def lasting(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.lasting for step in self.steps)

    @functools.cached_property
    def size(self) -> int:
        """Return how many steps and tasks an occurrence has."""
        return len(self.steps) + sum(step.task_count for step in self.steps)

    @property
    def objective_queue(self) -> cell.Queue | None:
        """Return the queue whose stretch and allowance define its objective.

        None for a job that lasts, has occurrences or has no known queue.
        """
        if self.lasting or self.occurrence_count:
            return None
        return self.accepted_by

    def due_ms(self, occurrence: int) -> int:
        """Return the time of day at which an occurrence is due."""
        return self.first_due_ms + occurrence * self.interval_ms


def remaining_by_step_s(steps: tuple[Step, ...]) -> tuple[float, ...]:
    """Return the estimated time from the start of each step to the end."""
    remaining = [0.0] * len(steps)
    for number in reversed(range(len(steps))):
        remaining[number] += steps[number].estimate_ms / _MS_PER_S
        for earlier in steps[number].after:
            remaining[earlier] = max(remaining[earlier], remaining[number])
    return tuple(remaining)


def chain_s(steps: tuple[Step, ...]) -> float:
    """Return the estimated time of the critical path of the steps."""
    ends: list[float] = []
    for step in steps:
        start_s = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(start_s + step.estimate_ms / _MS_PER_S)
    return max(ends, default=0.0)


_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final = msgspec.msgpack.Decoder(Job)


def encode_job(job: Job) -> bytes:
    """Serialize a job for the store."""
    return _ENCODER.encode(job)


# No document begins with either byte.
_FINAL_MARK: typing.Final = b'\x00'
_RESERVED_MARK: typing.Final = b'\x01'


def encode_final_marker(account: str) -> bytes:
    """Return the value that replaces a final job's document."""
    return _FINAL_MARK + account.encode()


def is_final_marker(value: bytes) -> bool:
    """Return whether a stored value replaces a final job's document."""
    return value.startswith(_FINAL_MARK)


def encode_reserved_marker(account: str) -> bytes:
    """Return the value of a name that was cancelled before its job came."""
    return _RESERVED_MARK + account.encode()


def is_reserved_marker(value: bytes) -> bool:
    """Return whether a name was cancelled before its job came."""
    return value.startswith(_RESERVED_MARK)


def owner(value: bytes) -> str:
    """Return the client account of a stored job, final or not.

    Raise UnreadableError if the value is invalid.
    """
    if not value.startswith((_FINAL_MARK, _RESERVED_MARK)):
        return decode_job(value).account
    return decoding.from_utf8(value[1:])


def decode_job(value: bytes) -> Job:
    """Decode a stored job; raise UnreadableError if it is invalid."""
    job = decoding.with_decoder(_DECODER, value)
    fault = find_step_fault(job.steps)
    if fault is not None:
        # Not written by us; accepting it would crash every term.
        raise decoding.UnreadableError(fault)
    return job


def find_step_fault(steps: tuple[Step, ...]) -> str | None:
    """Return why the steps are invalid, or None if they are valid."""
    if not steps:
        return 'a job needs a step'
    task_count = sum(step.task_count for step in steps)
    if task_count > _TASKS_MAX:
        return (
            f'steps: at most {_TASKS_MAX} tasks, the sum of count, and not '
            f'{task_count}'
        )
    for number, step in enumerate(steps):
        if step.task_count < 1:
            return f'step {number}: count must be at least 1'
        if min(step.cpu_millicores, step.memory_mb, step.accelerators) < 0:
            return f'step {number}: what a task needs is not negative'
        # Naming earlier steps only rules out cycles.
        if any(not 0 <= earlier < number for earlier in step.after):
            return f'step {number}: after names earlier steps only'
    return None
