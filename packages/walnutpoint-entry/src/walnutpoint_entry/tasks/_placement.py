"""Placement of attempts, with preemption of batch tasks."""

from __future__ import annotations

import collections.abc
import typing

import expression

from walnutpoint_core import errors
from walnutpoint_core import logs
from walnutpoint_core import timer as timers
from walnutpoint_entry.tasks import _admission
from walnutpoint_entry.tasks import _cell
from walnutpoint_entry.tasks import _displacement
from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _leases
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _wire

__all__ = ('Placement', 'ReportResult')

_START_ATTEMPTS_MAX: typing.Final = 3
_CAPACITY_RETRY_S: typing.Final = 1.0

_KIND = errors.ErrorKind
_PHASE = _entry.Phase
_LOG = logs.get_logger(__name__)
# The worker has certainly not started the task, so another one may.
_NOT_STARTED_KINDS: typing.Final = frozenset(
    {_KIND.ENDPOINT_REFUSED, _KIND.ENDPOINT_UNREACHABLE}
)

ReportResult: typing.TypeAlias = expression.Result[
    _model.TaskReport, errors.Failure
]


class Placement:
    """Allocate resources for attempts and start them."""

    __slots__ = ('_admission', '_allocator', '_displacer', '_leases', '_timer')

    def __init__(
        self,
        timer: timers.Timer,
        admission: _admission.Admission,
        allocator: _cell.Allocator,
        displacer: _displacement.Displacer,
        leases: _leases.Leases,
    ) -> None:
        self._timer = timer
        self._admission = admission
        self._allocator = allocator
        self._displacer = displacer
        self._leases = leases

    def is_blocked_by_requests(self, spec: _model.TaskSpec) -> bool:
        """Return whether a batch task must wait for urgent requests."""
        return (
            spec.task_class is _model.TaskClass.BATCH
            and not self._displacer.is_for_batch()
        )

    def current_entry(self, spec: _model.TaskSpec) -> _entry.Entry | None:
        """Return the task's live attempt; drop an expired hold."""
        entry = self._allocator.live(spec.key)
        if entry is None or entry.phase is not _PHASE.HELD:
            return entry
        if (
            self._timer.now_s() >= entry.hold_until_s
            or not self._allocator.capacity.is_open(entry.worker)
        ):
            self._allocator.drop(entry)
            return None
        return entry

    def place(
        self,
        spec: _model.TaskSpec,
        avoid_domains: frozenset[str],
        exclude: collections.abc.Collection[str],
    ) -> _entry.Entry | None:
        """Allocate resources for an attempt, or preempt batch tasks."""
        if self.is_blocked_by_requests(spec):
            return None
        now_s = self._timer.now_s()
        entry = self._allocator.place(spec, avoid_domains, exclude, now_s)
        is_batch = spec.task_class is _model.TaskClass.BATCH
        if entry is not None or is_batch or not spec.may_displace:
            return entry
        self._displacer.reserve_for(spec, avoid_domains, exclude)
        return self._allocator.place(spec, avoid_domains, exclude, now_s)

    def no_capacity(self, spec: _model.TaskSpec) -> ReportResult:
        """Refuse, with a retry delay if capacity is being freed."""
        has_reservation = self._allocator.reservations.has(spec.key)
        retry_after_s = _CAPACITY_RETRY_S if has_reservation else None
        return expression.Error(
            errors.Failure(_KIND.NO_FREE_SLOT, retry_after_s=retry_after_s)
        )

    async def start_anywhere(
        self, spec: _model.TaskSpec, avoid_domains: frozenset[str]
    ) -> ReportResult:
        """Start an attempt on the first worker that accepts it."""
        name = _wire.Attempt(spec.key, spec.attempt)
        tried: set[str] = set()
        started: ReportResult | None = None
        for _ in range(_START_ATTEMPTS_MAX):
            # During the first worker's call another call may have placed
            # the task, or a newer job owner may have taken over.
            if (
                self._admission.refusal(spec) is not None
                or self._allocator.live(spec.key) is not None
                or self._allocator.ended(name) is not None
            ):
                break
            entry = self.place(spec, avoid_domains, tried)
            if entry is None:
                break
            started = await self.start_at(entry, spec, 'placed')
            if started.is_ok() or started.error.kind not in _NOT_STARTED_KINDS:
                return started
            tried.add(entry.worker)
        if started is None or self._allocator.reservations.has(spec.key):
            return self.no_capacity(spec)
        return started

    async def start_at(
        self, entry: _entry.Entry, spec: _model.TaskSpec, reason: str
    ) -> ReportResult:
        """Start an attempt on the worker that it is allocated to."""
        started = await self._leases.start(entry, spec.command)
        if started.is_ok():
            self._allocator.reservations.clear_retry(spec.key)
        _LOG.info(
            'task_placement',
            job=spec.key.job,
            index=spec.key.index,
            attempt=spec.attempt,
            task_class=spec.task_class.name.lower(),
            worker=entry.worker,
            domain=entry.domain,
            reason=reason,
            error=started.error.kind.value if started.is_error() else '',
        )
        return started
