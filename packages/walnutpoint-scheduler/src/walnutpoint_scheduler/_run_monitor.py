"""Periodic checks of runs: stalls, stragglers, draining and pacing."""

from __future__ import annotations

import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _advice_requests
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _moves
from walnutpoint_scheduler import _orders
from walnutpoint_scheduler import _pacing
from walnutpoint_scheduler import _remaining
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _stall
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker

__all__ = ('RunMonitor',)

_LOG: typing.Final = logs.get_logger('watch')
_MS_PER_S: typing.Final = 1000.0
_PERIOD_S: typing.Final = 0.2
_FULL_PERCENT: typing.Final = 100.0
# An older report is no evidence that a task is stalled.
_REPORT_AGE_MAX_S: typing.Final = 0.9
# A lasting task starts up in less than a second.
_LASTING_STALL_S: typing.Final = 3.0
# Runs are stopped this long before a draining worker ends, so that they
# return their checkpoints.
_DRAIN_MARGIN_S: typing.Final = 0.9
# A run is a straggler this much beyond its estimate, if it needs the estimate
# once more: estimates are off by half either way.
_STRAGGLER_FACTOR: typing.Final = 1.3
_STRAGGLER_MARGIN_S: typing.Final = 0.2
_ACTIVE_PHASES: typing.Final = frozenset(
    {_run.RunPhase.ORDERED, _run.RunPhase.RUNNING}
)
# Tickets for the next step are requested when the rest of the previous step is
# shorter than their validity by this much.
_PREFETCH_MARGIN_S: typing.Final = 0.6


class RunMonitor:
    """Checks all runs and workers periodically."""

    __slots__ = (
        '_advice_requests',
        '_context',
        '_drain_ends_s',
        '_moves',
        '_pacer',
        '_sender',
        'stalled_count',
    )

    def __init__(
        self, context: _context.Context, sender: _orders.OrderSender
    ) -> None:
        self._context = context
        self._sender = sender
        self._pacer = _pacing.Pacer(context)
        self._advice_requests = _advice_requests.AdviceRequests(context)
        self._moves = _moves.Moves(context, self._advice_requests)
        self._drain_ends_s: dict[str, float] = {}
        self.stalled_count = 0

    async def run(self) -> None:
        """Check until cancelled."""
        async for now_s in self._context.timer.subscribe(lambda: _PERIOD_S):
            for worker in list(self._context.roster.workers.values()):
                self._check_worker(worker, now_s)
            for job in list(self._context.open_jobs.values()):
                self._prefetch_advice(job, now_s)

    def _check_worker(self, worker: _worker.WorkerState, now_s: float) -> None:
        self._request_copies(worker, now_s)
        if not worker.answering:
            self._renew_advice(worker)
        if worker.listed.draining:
            self._drain(worker, now_s)
        else:
            self._drain_ends_s.pop(worker.worker_id, None)
        if (
            not worker.answering
            or now_s - worker.last_report_s > _REPORT_AGE_MAX_S
        ):
            return
        self._stop_slow_runs(worker, now_s)
        for run in list(worker.runs.values()):
            if run.task is None or run.phase is not _run.RunPhase.RUNNING:
                continue
            if self._is_stalled(worker, run, run.task):
                self._stop_stalled(run, run.task)
        self._pacer.check(worker, now_s)

    def _renew_advice(self, worker: _worker.WorkerState) -> None:
        """Request tickets while the lease of a silent worker runs out.

        Its tasks may start elsewhere the moment it expires; a request made
        only then adds up to a second.
        """
        context = self._context
        for step in {r.task.step for r in worker.runs.values() if r.task}:
            terms = context.queue_of(step.job).advice
            if terms is None or step.job.state.final:
                continue
            if not context.advice.has_valid_ticket(step.key):
                self._advice_requests.request_ahead(step, terms)

    def _request_copies(
        self, worker: _worker.WorkerState, now_s: float
    ) -> None:
        """Request copies of tasks that may be lost or take too long.

        Only where the client account allows two runs of a task at a time:
        otherwise the lease of a silent worker has to expire first.
        """
        if not self._context.settings.policies.copies:
            return
        is_silent = not worker.answering
        for run in worker.runs.values():
            task = run.task
            if task is None or not task.step.step.speculative:
                continue
            if task.is_suspect:
                continue
            if task.copy is not None or run.phase not in _ACTIVE_PHASES:
                continue
            if is_silent or self._is_late(
                run, task, now_s, _moves.Action.COPY
            ):
                self._context.copies_wanted[task.name] = task
                self._context.wake()

    def _is_late(
        self,
        run: _run.Run,
        task: _state.TaskProgress,
        now_s: float,
        action: _moves.Action,
    ) -> bool:
        """Return whether a run would end sooner on another worker."""
        if self._context.observed is not None:
            return self._is_worth_moving(run, task, now_s, action)
        usual_pace = self._context.pace.usual_pace(task.step.key)
        return _is_straggler(run, task, now_s, usual_pace) or (
            self._is_slow(run.worker_id, now_s)
            and _remaining.run_s(run, task, now_s)
            > task.step.step.expected_s + _moves.MOVE_COST_S
        )

    def _is_worth_moving(
        self,
        run: _run.Run,
        task: _state.TaskProgress,
        now_s: float,
        action: _moves.Action,
    ) -> bool:
        """Return whether a late run is expected to end sooner elsewhere.

        The caller then takes the action, which is logged here.
        """
        is_slow = self._is_slow(run.worker_id, now_s)
        if not is_slow and not _exceeds_expectation(run, task, now_s):
            return False
        move = self._moves.consider(run, task, now_s, action)
        if move is None or not move.gains:
            return False
        _log_outpaced(run, move, action)
        return True

    def _is_slow(self, worker_id: str, now_s: float) -> bool:
        context = self._context
        return context.settings.policies.slow_workers and context.pace.is_slow(
            worker_id, now_s
        )

    def _stop_slow_runs(
        self, worker: _worker.WorkerState, now_s: float
    ) -> None:
        """Move urgent tasks that a slow worker would finish late.

        Each is moved once: where the whole pool is slow, moving again would
        only throw work away.
        """
        if not self._is_slow(worker.worker_id, now_s):
            return
        for run in list(worker.runs.values()):
            task = run.task
            if task is None or run.phase is not _run.RunPhase.RUNNING:
                continue
            step = task.step.step
            if step.gang or step.lasting or task.copy is not None:
                continue
            if step.speculative and self._context.settings.policies.copies:
                continue
            is_urgent = not self._context.queue_of(task.step.job).priority
            is_first = run.name.attempt == task.failures + 1
            if (
                is_urgent
                and is_first
                and self._is_late(run, task, now_s, _moves.Action.STOP)
            ):
                self._sender.stop(run, 'worker is slow')

    def _is_stalled(
        self,
        worker: _worker.WorkerState,
        run: _run.Run,
        task: _state.TaskProgress,
    ) -> bool:
        # Up to the newest report: later progress is unknown.
        stalled_s = worker.last_report_s - run.progress_changed_s
        if task.step.step.lasting:
            return (
                run.progress_percent < _FULL_PERCENT
                and stalled_s > _LASTING_STALL_S
            )
        if run.pace_percent < _FULL_PERCENT:
            return False
        if not self._context.settings.policies.stall_stops:
            return False
        limit_s = _stall.limit_s(run, self._context.settings.stall_s)
        if stalled_s <= limit_s:
            return False
        return worker.last_report_s - _stall.last_progress_s(run) > limit_s

    def _stop_stalled(self, run: _run.Run, task: _state.TaskProgress) -> None:
        """Stop a run that makes no progress, to start it elsewhere.

        Its worker might hold it until the job is useless; the stop returns
        the checkpoint.
        """
        self.stalled_count += 1
        task.stalls += 1
        _LOG.info(
            'run.stalled',
            run=_ends.run_text(run.name),
            worker=run.worker_id,
            percent=run.progress_percent,
            stalls=task.stalls,
            gang=task.step.step.gang,
        )
        self._sender.stop(run, _ends.STALLED)
        if task.step.step.gang:
            for member in task.step.tasks:
                for other in member.runs:
                    self._sender.stop(other, 'a gang member is stalled')

    def _drain(self, worker: _worker.WorkerState, now_s: float) -> None:
        """Stop runs that would outlast a draining worker."""
        drain_end_s = self._drain_ends_s.get(worker.worker_id)
        if drain_end_s is None:
            remaining_s = worker.listed.remaining_s
            drain_end_s = now_s + (remaining_s or 0.0)
            self._drain_ends_s[worker.worker_id] = drain_end_s
        for run in list(worker.runs.values()):
            task = run.task
            if task is None or run.phase is not _run.RunPhase.RUNNING:
                continue
            if task.step.step.lasting:
                self._sender.stop(run, 'worker is draining')
            elif now_s > drain_end_s - _DRAIN_MARGIN_S and (
                now_s + _remaining.run_s(run, task, now_s) > drain_end_s
            ):
                self._sender.stop(run, 'worker is draining')

    def _prefetch_advice(self, job: _state.JobProgress, now_s: float) -> None:
        """Request the next step's advice while the previous step runs.

        A reply takes up to a second; requested at the end of a step, it would
        delay every step of the job.
        """
        context = self._context
        terms = context.queue_of(job).advice
        if terms is None or job.state.final:
            return
        if not context.settings.policies.asking_ahead:
            return
        for occurrence in job.occurrences.values():
            for step in occurrence.next_steps():
                before = [occurrence.steps[n] for n in step.step.after]
                remaining_s = max(
                    _remaining.step_s(s, now_s, context.run_times)
                    for s in before
                )
                if remaining_s > terms.valid_s - _PREFETCH_MARGIN_S:
                    continue
                if context.advice.has_valid_ticket(step.key):
                    continue
                self._advice_requests.request_ahead(step, terms)


def _log_outpaced(
    run: _run.Run, move: _moves.Move, action: _moves.Action
) -> None:
    """Log a move, once per run and action.

    A copy is requested again with each check until it can be placed.
    """
    if run.outpaced_action == action.value:
        return
    run.outpaced_action = action.value
    _LOG.info(
        'run.outpaced',
        run=_ends.run_text(run.name),
        worker=run.worker_id,
        action=action.value,
        percent=run.progress_percent,
        remaining_s=round(move.remaining_s, 2),
        elsewhere_s=round(move.elsewhere_s, 2),
        probability=round(move.probability, 2),
        factor=round(move.factor, 2),
        slowdown_elsewhere=round(move.slowdown_elsewhere, 2),
    )


def _exceeds_expectation(
    run: _run.Run, task: _state.TaskProgress, now_s: float
) -> bool:
    """Return whether a run takes longer than expected on its worker."""
    if run.started_s is None:
        return False
    expected_s = _remaining.expected_s(run, task)
    limit_s = expected_s * _STRAGGLER_FACTOR + _STRAGGLER_MARGIN_S
    return now_s - run.started_s >= limit_s


def _is_straggler(
    run: _run.Run,
    task: _state.TaskProgress,
    now_s: float,
    usual_pace: float | None,
) -> bool:
    """Return whether a run takes much longer than expected.

    The pace of the other tasks of its step corrects the estimate: declared
    times are off by up to a factor of two, and with them alone nearly every
    second task of such a step would be run twice.
    """
    if run.started_s is None:
        return False
    expected_s = task.step.step.estimate_ms / _MS_PER_S / (usual_pace or 1.0)
    elapsed_s = now_s - run.started_s
    if elapsed_s < expected_s * _STRAGGLER_FACTOR + _STRAGGLER_MARGIN_S:
        return False
    return _remaining.run_s(run, task, now_s) > expected_s
