"""Sends orders to start and stop runs, and resolves unanswered ones."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import ports

__all__ = ('OrderSender',)

_LOG: typing.Final = logs.get_logger('orders')
_STARTS: typing.Final = metrics.Counter('starts', 'Start orders by outcome.')
# Delay between stop attempts; an unanswered one has already timed out.
_STOP_RETRY_S: typing.Final = 0.1
_UNANSWERED: typing.Final = 'start unanswered'
_NOT_STARTED: typing.Final = frozenset(
    {
        ports.OrderOutcome.OUTDATED,
        ports.OrderOutcome.EXPIRED,
        ports.OrderOutcome.NO_ROOM,
        ports.OrderOutcome.BAD_TICKET,
        ports.OrderOutcome.UNHEALTHY,
        ports.OrderOutcome.REJECTED,
        ports.OrderOutcome.UNSENT,
    }
)
_NO_ANSWER: typing.Final = frozenset(
    {ports.OrderOutcome.UNSENT, ports.OrderOutcome.UNKNOWN}
)
# Refusals that may be due to the task, not to the worker or its ticket.
_TASK_REFUSED: typing.Final = frozenset(
    {
        ports.OrderOutcome.OUTDATED,
        ports.OrderOutcome.EXPIRED,
        ports.OrderOutcome.NO_ROOM,
        ports.OrderOutcome.REJECTED,
    }
)
_WORKER_FAULTS: typing.Final = frozenset(
    {ports.OrderOutcome.UNHEALTHY, ports.OrderOutcome.UNSENT}
)


class OrderSender:
    """Sends orders, and tracks each until its outcome is certain."""

    __slots__ = (
        '_context',
        '_ends',
        'refused',
        'request_report',
        'started',
        'unanswered',
    )

    def __init__(
        self, context: _context.Context, ends: _ends.EndHandler
    ) -> None:
        self._context = context
        self._ends = ends
        # Requests a report now; set by the owner of the links.
        self.request_report: collections.abc.Callable[
            [_worker.WorkerState], collections.abc.Awaitable[None]
        ] = _no_report
        self.started = 0
        self.refused = 0
        self.unanswered = 0

    def launch(self, job: _state.JobProgress, runs: list[_run.Run]) -> None:
        """Store planned runs in the journal, then start them."""
        self._context.journal.note(job)
        self._context.spawn(self._launch, job, runs)

    def stop(self, run: _run.Run, reason: str) -> None:
        """Stop a run; its capacity is released once its end is reported."""
        if run.phase is _run.RunPhase.STOPPING:
            return
        was_planned = run.phase is _run.RunPhase.PLANNED
        run.phase = _run.RunPhase.STOPPING
        run.stop_reason = reason
        _LOG.info(
            'run.stopping',
            run=_ends.run_text(run.name),
            worker=run.worker_id,
            reason=reason,
        )
        if not was_planned:
            self._context.spawn(self._stop, run)

    async def _launch(
        self, job: _state.JobProgress, runs: list[_run.Run]
    ) -> None:
        await self._context.journal.saved(job)
        for run in runs:
            self._context.spawn(self._start, job, run)

    async def _start(self, job: _state.JobProgress, run: _run.Run) -> None:
        """Start a planned run, and let others start once it is answered."""
        worker = self._context.roster.worker_of(run)
        try:
            if worker is not None:
                async with worker.start_slots:
                    await self._order_start(job, run)
        finally:
            worker = self._context.roster.worker_of(run)
            if worker is not None:
                was_full = not worker.may_start_more(is_wide=True)
                worker.starting.discard(run.name)
                if was_full:
                    self._context.wake()

    async def _order_start(
        self, job: _state.JobProgress, run: _run.Run
    ) -> None:
        context = self._context
        worker = context.roster.worker_of(run)
        if worker is None:
            # The lease of its silent worker expired while its record was being
            # stored. The task may run elsewhere by now, and if the worker
            # answered again this order would start it twice.
            return
        if run.phase is not _run.RunPhase.PLANNED or job.state.final:
            # Stopped before the order was sent.
            self._ends.withdraw(run, 'stopped before start')
            return
        if worker.is_entry_mismatched:
            self._ends.withdraw(run, 'worker restarted')
            return
        if worker.is_overrun or worker.is_entry_stale:
            # Its capacity has shrunk since, or may have, and a worker does
            # not check it on start. A gang restarts as a whole.
            self._ends.withdraw(run, 'worker capacity shrank')
            return
        task = typing.cast(_state.TaskProgress, run.task)
        if not worker.lease.is_clock_known:
            self._ends.withdraw(run, 'worker clock unknown')
            return
        until_ms = context.grants.start(worker.lease)
        if until_ms is None:
            self._ends.withdraw(run, 'a newer term is possible')
            return
        run.phase = _run.RunPhase.ORDERED
        run.ordered_s = context.timer.now_s()
        worker.unanswered_starts.add(run.name)
        reply = await context.orders.start(
            worker.listed,
            ports.Start(
                run.name,
                job.document.payload,
                until_ms,
                worker.fencing_token(context.token),
                task.checkpoint,
                run.ticket,
            ),
        )
        self._apply_start_reply(run, worker, reply)

    def _apply_start_reply(
        self,
        run: _run.Run,
        worker: _worker.WorkerState,
        reply: ports.OrderReply,
    ) -> None:
        context = self._context
        now_s = context.timer.now_s()
        outcome = reply.outcome
        _STARTS.add(outcome.value)
        if outcome is not ports.OrderOutcome.UNKNOWN:
            worker.unanswered_starts.discard(run.name)
        if reply.clock_ms is not None:
            worker.lease.update_clock(reply.clock_ms, now_s)
            worker.record_answer(now_s)
        elif outcome in _NO_ANSWER:
            worker.record_no_answer(now_s)
        if outcome is ports.OrderOutcome.DONE and run.task is not None:
            self._ends.note_begun(run.task.step.job)
        if run.name not in worker.runs:
            return
        if outcome is ports.OrderOutcome.DONE:
            self.started += 1
            run.reported_from_s = now_s
            if run.phase is _run.RunPhase.ORDERED:
                run.phase = _run.RunPhase.RUNNING
                run.started_s = run.progress_changed_s = now_s
                resumes = run.task is not None and run.task.checkpoint
                if reply.clock_ms is not None and not resumes:
                    run.pace_sample = reply.clock_ms, 0.0, now_s
                    run.rate.begin(reply.clock_ms, now_s)
            return
        if outcome is ports.OrderOutcome.FENCED:
            context.on_deposed(
                f'worker {run.worker_id} has seen a newer token'
            )
            return
        _LOG.info(
            'run.start_failed',
            run=_ends.run_text(run.name),
            worker=run.worker_id,
            outcome=outcome.value,
            token=context.token,
        )
        if outcome is ports.OrderOutcome.OTHER_INCARNATION:
            self._ends.mark_gone(worker, 'another incarnation answered')
            return
        if outcome in _NOT_STARTED:
            self.refused += 1
            self._withdraw_refused(run, worker, outcome)
            return
        self.unanswered += 1
        self._back_off(run)
        # Placed there again at once, the task would get no answer again.
        self._ends.mark_worker_suspect(run.worker_id, outcome.value)
        if run.phase is _run.RunPhase.ORDERED:
            run.phase = _run.RunPhase.IN_DOUBT
            context.spawn(self._resolve_unanswered, run)

    def _withdraw_refused(
        self,
        run: _run.Run,
        worker: _worker.WorkerState,
        outcome: ports.OrderOutcome,
    ) -> None:
        context = self._context
        if outcome is ports.OrderOutcome.BAD_TICKET and run.task is not None:
            context.advice.invalidate(run.task.step.key, run.worker_id)
        if outcome in _TASK_REFUSED:
            self._back_off(run)
        if outcome in _WORKER_FAULTS:
            self._ends.mark_worker_suspect(run.worker_id, outcome.value)
            worker.answering = False
        self._ends.withdraw(run, outcome.value)

    def _back_off(self, run: _run.Run) -> None:
        """Back off a task whose starts fail repeatedly.

        A task refused by every worker would be planned again in each pass,
        at hundreds of orders and commits a second.
        """
        if run.task is not None:
            run.task.back_off(self._context.timer.now_s())

    async def _resolve_unanswered(self, run: _run.Run) -> None:
        """Block a run whose start got no answer, unless it is reported.

        The order may take effect many seconds later. Once the same worker
        has accepted a stop for that attempt it refuses the start for good;
        only then may the task start elsewhere.
        """
        worker = self._context.roster.worker_of(run)
        if worker is None:
            return
        await self.request_report(worker)
        if run.phase is _run.RunPhase.IN_DOUBT:
            self.stop(run, _UNANSWERED)

    async def _stop(self, run: _run.Run) -> None:
        context = self._context
        while True:
            worker = context.roster.worker_of(run)
            if worker is None:
                return
            if not worker.listed.address:
                # Known from the journal only: wait until it is listed again,
                # or its lease expires and ends the run.
                await context.timer.sleep(_STOP_RETRY_S)
                continue
            async with worker.stop_slots:
                reply = await context.orders.stop(
                    worker.listed,
                    run.name,
                    worker.fencing_token(context.token),
                )
            if worker.gone:
                # The answer may come from the next incarnation.
                await context.timer.sleep(_STOP_RETRY_S)
                continue
            now_s = context.timer.now_s()
            if reply.clock_ms is not None:
                worker.lease.update_clock(reply.clock_ms, now_s)
                worker.record_answer(now_s)
            if reply.outcome is ports.OrderOutcome.DONE:
                run.reported_from_s = now_s
                if run.stop_reason == _UNANSWERED:
                    await self.request_report(worker)
                return
            if reply.outcome is ports.OrderOutcome.FENCED:
                context.on_deposed(
                    f'worker {run.worker_id} has seen a newer token'
                )
                return
            if reply.outcome is ports.OrderOutcome.OTHER_INCARNATION:
                self._ends.mark_gone(worker, 'another incarnation answered')
                return
            _LOG.info(
                'run.stop_failed',
                run=_ends.run_text(run.name),
                worker=run.worker_id,
                outcome=reply.outcome.value,
            )
            await context.timer.sleep(_STOP_RETRY_S)


async def _no_report(_worker: _worker.WorkerState) -> None:
    """Request no report until the links are connected."""
