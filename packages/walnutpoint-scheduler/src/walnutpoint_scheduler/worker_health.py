"""Detects workers that fail the tasks they start."""

from __future__ import annotations

import collections
import dataclasses
import typing

from walnutpoint_scheduler import outlier

__all__ = ('WorkerHealth',)

_FAST_FAILURE_S: typing.Final = 5.0
# Longer than a faulty worker takes to fail a task.
_GOOD_START_S: typing.Final = 1.0
_BAD_JOB_WORKERS_MIN: typing.Final = 3
_JOBS_MAX: typing.Final = 10_000


@dataclasses.dataclass(slots=True)
class _JobRecord:
    has_succeeded: bool = False
    failed_on: set[str] = dataclasses.field(default_factory=set)


class WorkerHealth:
    """Limits failing workers to one task at a time, then none, then probes.

    A worker that fails tasks at once is always free and attracts all that
    wait; without a limit it would fail every task of the cell.
    """

    __slots__ = ('_jobs', '_outliers', '_suspects', '_trials')

    def __init__(self, outliers: outlier.OutlierDetector) -> None:
        self._outliers = outliers
        self._suspects: set[str] = set()
        self._trials: collections.Counter[str] = collections.Counter()
        self._jobs: collections.OrderedDict[str, _JobRecord] = (
            collections.OrderedDict()
        )

    def watch(self, worker: str) -> None:
        """Start monitoring a worker."""
        self._outliers.watch(worker)

    def forget(self, worker: str) -> None:
        """Stop monitoring a worker."""
        self._outliers.forget(worker)
        self._suspects.discard(worker)
        del self._trials[worker]

    def may_start(self, worker: str) -> bool:
        """Return whether a worker may get a task that is not a probe."""
        if self._outliers.is_ejected(worker):
            return False
        return worker not in self._suspects or not self._trials[worker]

    def may_start_or_probe(self, worker: str, now_s: float) -> bool:
        """Return whether a worker may get a task, even as a probe.

        An ejected worker gets one task after each ejection time, which
        doubles: otherwise tasks that only it may run would wait forever.
        """
        if not self._outliers.is_ejected(worker):
            return self.may_start(worker)
        if self._trials[worker]:
            return False
        return self._outliers.is_due(worker, now_s)

    def is_suspect(self, worker: str) -> bool:
        """Return whether a worker failed after its last success."""
        return worker in self._suspects

    def due_probes(self, now_s: float) -> tuple[str, ...]:
        """Return the workers that may get one probe now."""
        return tuple(
            worker
            for worker in self._outliers.due_probes(now_s)
            if not self._trials[worker]
        )

    def begin_trial(self, worker: str, now_s: float) -> None:
        """Record the start of a task whose result is awaited."""
        self._trials[worker] += 1
        if self._outliers.is_ejected(worker):
            self._outliers.begin_probe(worker, now_s)

    def cancel_trial(self, worker: str) -> None:
        """Record that a started task will give no result."""
        self._trials[worker] = max(0, self._trials[worker] - 1)

    def is_long_run(self, run_s: float) -> bool:
        """Return whether a run is long enough to clear its worker."""
        return run_s >= _FAST_FAILURE_S

    def has_started_well(self, run_s: float) -> bool:
        """Return whether a progressing run counts as a success."""
        return run_s >= _GOOD_START_S

    def record_success(
        self, worker: str, job: str, now_s: float, *, is_trial: bool = True
    ) -> None:
        """Record that a task ran successfully on a worker.

        is_trial: whether its start still awaits a result.
        """
        if is_trial:
            self.cancel_trial(worker)
        self._job_record(job).has_succeeded = True
        self._suspects.discard(worker)
        self._outliers.observe(worker, True, now_s)

    def record_failure(
        self,
        worker: str,
        job: str,
        run_s: float,
        now_s: float,
        *,
        is_early: bool = True,
        is_trial: bool = True,
    ) -> None:
        """Record that a task failed on a worker, early in its run or not.

        A faulty worker fails tasks at once; a faulty task fails at any time.
        Only early failures limit the worker to one task at a time, but
        several failures in a row still eject it.
        """
        if is_trial:
            self.cancel_trial(worker)
        if self.is_long_run(run_s) or not self._is_worker_fault(worker, job):
            return
        if is_early:
            self.record_failed_start(worker, now_s)
        else:
            self._outliers.observe(worker, False, now_s)

    def record_failed_start(self, worker: str, now_s: float) -> None:
        """Record that a worker failed to start a task."""
        self._suspects.add(worker)
        self._outliers.observe(worker, False, now_s)

    def _is_worker_fault(self, worker: str, job: str) -> bool:
        """Return whether a failure counts against the worker."""
        # A job that can't run fails everywhere: its attempts would eject one
        # healthy worker after another.
        record = self._job_record(job)
        if record.has_succeeded:
            return True
        if worker in record.failed_on:
            return False
        record.failed_on.add(worker)
        return len(record.failed_on) < _BAD_JOB_WORKERS_MIN

    def _job_record(self, job: str) -> _JobRecord:
        record = self._jobs.setdefault(job, _JobRecord())
        self._jobs.move_to_end(job)
        while len(self._jobs) > _JOBS_MAX:
            self._jobs.popitem(last=False)
        return record
