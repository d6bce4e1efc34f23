"""Replaces the state of a worker that restarted, and moves its runs."""

from __future__ import annotations

import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _incarnation
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import ports

__all__ = ('WorkerRestart',)

_LOG: typing.Final = logs.get_logger('links')


class WorkerRestart:
    """Replaces a worker's state when a new incarnation answers."""

    __slots__ = ('_context', '_ends')

    def __init__(
        self, context: _context.Context, ends: _ends.EndHandler
    ) -> None:
        self._context = context
        self._ends = ends

    def incarnation_of(
        self,
        worker: _worker.WorkerState,
        report: ports.Report,
        requested_s: float,
    ) -> _worker.WorkerState | None:
        """Return the incarnation that sent a report; None if outdated.

        A report requested after an incarnation had reported can't come from
        an earlier one, whatever start times the worker's clock gives.
        """
        context = self._context
        is_first = worker.first_report_s is None
        if _incarnation.differ(worker.born_ms, report.born_ms):
            if _is_outdated(worker, report, requested_s):
                return None
            return self._replace(worker, report, requested_s)
        if report.is_complete and not worker.is_confirmed:
            if _lost_incarnation_ms(worker, report):
                return self._replace(worker, report, requested_s)
            worker.is_confirmed = True
        worker.born_ms = worker.born_ms or report.born_ms or None
        if is_first:
            now_s = context.timer.now_s()
            worker.first_report_s = now_s
            if worker.restarts:
                # This one may have got an order that was meant for the
                # former, with a lease end on the former one's clock.
                worker.lease.assume_granted(
                    now_s, context.settings.lease_max_s
                )
        return worker

    def _replace(
        self,
        worker: _worker.WorkerState,
        report: ports.Report,
        requested_s: float,
    ) -> _worker.WorkerState:
        """Give up the former incarnation's runs; return the new one.

        An unanswered start may have been executed by either. The new one
        refuses it from the next call on, so that call's report decides.
        """
        now_s = self._context.timer.now_s()
        worker.record_no_answer(now_s)
        kept = _surviving_runs(worker, report, requested_s)
        doubtful = [
            run
            for run in worker.runs.values()
            if run.name in worker.unanswered_starts and run not in kept
        ]
        if worker.born_ms is None:
            worker.born_ms = _lost_incarnation_ms(worker, report)
        _LOG.warning(
            'worker.restarted',
            worker=worker.worker_id,
            address=worker.listed.address,
            born_ms=report.born_ms,
            was_born_ms=worker.born_ms,
            processed=worker.processed,
            acknowledged=worker.acknowledged,
            runs_kept=len(kept),
            runs_in_doubt=len(doubtful),
            runs=len(worker.runs),
            token=self._context.token,
        )
        new_worker = self._new_incarnation(worker, report)
        self._context.roster.add(new_worker)
        # These were never on the lost one, and did not crash it.
        for run in kept:
            self._transfer(run, worker, new_worker)
        self._ends.mark_gone(worker, 'worker restarted', doubtful)
        for run in doubtful:
            run.reported_from_s = now_s
            if run.phase is _run.RunPhase.ORDERED:
                run.phase = _run.RunPhase.IN_DOUBT
            self._transfer(run, worker, new_worker)
        self._discard_state(worker)
        return new_worker

    def _new_incarnation(
        self, worker: _worker.WorkerState, report: ports.Report
    ) -> _worker.WorkerState:
        listed = worker.next_listed
        if listed is None or listed.born_ms != report.born_ms:
            listed = worker.listed
        new_worker = _worker.WorkerState(listed, self._context.new_lease())
        new_worker.born_ms = report.born_ms
        new_worker.unlisted_since_s = worker.unlisted_since_s
        return new_worker

    def _transfer(
        self,
        run: _run.Run,
        worker: _worker.WorkerState,
        new_worker: _worker.WorkerState,
    ) -> None:
        if run.name not in worker.runs:
            return
        worker.release(run)
        run.born_ms = new_worker.incarnation.born_ms
        run.is_trial = False
        new_worker.book(run)
        if run.task is not None and run.task.is_suspect:
            self._context.suspects.isolate(new_worker, run)

    def _discard_state(self, worker: _worker.WorkerState) -> None:
        """Drop health, pace and tickets of the former incarnation."""
        context = self._context
        context.health.forget(worker.worker_id)
        context.health.watch(worker.worker_id)
        context.forget_speed(worker.worker_id)
        context.advice.drop_worker(worker.worker_id)


def _is_outdated(
    worker: _worker.WorkerState, report: ports.Report, requested_s: float
) -> bool:
    """Return whether a report is from an earlier incarnation."""
    first_s = worker.first_report_s
    is_after = first_s is not None and requested_s >= first_s
    return not is_after and report.born_ms < (worker.born_ms or 0)


def _surviving_runs(
    worker: _worker.WorkerState, report: ports.Report, requested_s: float
) -> list[_run.Run]:
    """Return the runs that may belong to the new incarnation.

    Those that it lists, those that an earlier term planned for it, and those
    whose starts were answered after the report was requested. Of an incomplete
    report, those whose starts were answered: their ends may be missing.
    """
    listed = _reported_runs(report)
    kept = []
    for run in worker.runs.values():
        is_newer = (
            run.ordered_s is not None
            and run.reported_from_s is not None
            and run.reported_from_s > requested_s
        )
        was_restored = run.restored_s is not None and not _incarnation.differ(
            run.born_ms, report.born_ms
        )
        may_be_unlisted = (
            not report.is_complete and run.name not in worker.unanswered_starts
        )
        if run.name in listed or is_newer or was_restored or may_be_unlisted:
            kept.append(run)
    return kept


def _lost_incarnation_ms(
    worker: _worker.WorkerState, report: ports.Report
) -> int | None:
    """Return the start of an incarnation whose runs are missing."""
    listed = _reported_runs(report)
    for run in worker.runs.values():
        if _incarnation.differ(run.born_ms, report.born_ms):
            if run.name not in listed:
                return run.born_ms
    return None


def _reported_runs(report: ports.Report) -> set[ports.RunName]:
    return {row.run for row in report.running} | {e.run for e in report.ends}
