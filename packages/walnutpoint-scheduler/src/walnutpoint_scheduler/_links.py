"""Polls workers: renews leases and reconciles reports with booked runs."""

from __future__ import annotations

import asyncio
import typing

from walnutpoint_core import logs
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _orders
from walnutpoint_scheduler import _progress
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _run_samples
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import _worker_restart
from walnutpoint_scheduler import ports

__all__ = ('WorkerLinks',)

_LOG: typing.Final = logs.get_logger('links')
# Delay before polling a worker again that did not answer: some ten tries per
# lease, and a bounded load where many are unreachable.
_RETRY_S: typing.Final = 0.25
# The first report, and one after silence, must not wait for an end.
_FIRST_WAIT_S: typing.Final = 0.0
# Ends in a report that take more than some ms to apply.
_MANY_ENDS: typing.Final = 50
# Extra time for the first answer: a new scheduler connects to all workers
# while it loads and plans, and reads their answers late.
_FIRST_EXTRA_TIMEOUT_S: typing.Final = 0.6


class WorkerLinks:
    """Polls each worker for reports in a task of its own."""

    __slots__ = (
        '_context',
        '_ends',
        '_many_ends',
        '_sender',
        '_worker_restart',
        'reports',
    )

    def __init__(
        self,
        context: _context.Context,
        ends: _ends.EndHandler,
        sender: _orders.OrderSender,
    ) -> None:
        self._context = context
        self._ends = ends
        self._sender = sender
        self._worker_restart = _worker_restart.WorkerRestart(context, ends)
        # Held by the link that waits to apply a report with many ends.
        self._many_ends = asyncio.Lock()
        self.reports = 0

    def open(self, worker: _worker.WorkerState) -> None:
        """Poll one incarnation of a worker until it has ended."""
        worker.has_link = True
        self._context.spawn(self._poll_until_gone, worker)

    async def request_report(self, worker: _worker.WorkerState) -> None:
        """Request a report now, in parallel with the long poll."""
        context = self._context
        requested_s = context.timer.now_s()
        reply = await context.orders.renew(
            worker.listed,
            ports.Renewal(
                worker.fencing_token(context.token),
                # Ends are acknowledged by the long poll only.
                0,
                # Follows an unanswered order, so no lease is granted.
                None,
                0.0,
            ),
        )
        if isinstance(reply, ports.Report) and not worker.gone:
            self._apply_report(worker, reply, requested_s)

    async def _poll_until_gone(self, worker: _worker.WorkerState) -> None:
        """Restart polling after unexpected exceptions.

        An unpolled worker loses its lease with all its runs, its ends go
        unseen, and its runs block their jobs until the next term. The next
        report may be valid, or fail again at one call per _RETRY_S.
        """
        while not worker.gone:
            try:
                await self._poll(worker)
                return
            except Exception as error:
                _LOG.exception(
                    'link.failed', worker=worker.worker_id, error=repr(error)
                )
            await self._context.timer.sleep(_RETRY_S)

    async def _poll(self, worker: _worker.WorkerState) -> None:
        context = self._context
        wait_s = _FIRST_WAIT_S
        failures = 0
        while not worker.gone:
            requested_s = context.timer.now_s()
            # An unanswered renewal may have arrived. A silent worker is
            # granted no further lease; otherwise it would never certainly
            # expire, and its tasks would wait until the worker returns.
            until_ms = None
            if not failures:
                until_ms = context.grants.renew(worker.lease)
            acknowledged = 0 if failures else worker.pending_acknowledgement
            reply = await context.orders.renew(
                worker.listed,
                ports.Renewal(
                    worker.fencing_token(context.token),
                    acknowledged,
                    until_ms,
                    wait_s,
                    0.0 if worker.last_report_s else _FIRST_EXTRA_TIMEOUT_S,
                ),
            )
            if worker.gone:
                return
            if isinstance(reply, ports.Report):
                failures = 0
                if len(reply.ends) >= _MANY_ENDS:
                    await self._wait_for_turn()
                    if worker.gone:
                        return
                saving = self._apply_report(worker, reply, requested_s)
                worker.confirmed = max(worker.confirmed, acknowledged)
                wait_s = context.settings.report_wait_s
                if saving is not None:
                    last_number = max(end.number for end in reply.ends)
                    wait_s = await self._acknowledge(
                        worker, saving, last_number
                    )
                continue
            failures += 1
            worker.record_no_answer(context.timer.now_s())
            wait_s = _FIRST_WAIT_S
            if failures == 1 and reply.outcome is ports.OrderOutcome.UNKNOWN:
                # A single answer may get lost. Polling again at once costs
                # one call; waiting would delay the ends on that worker.
                continue
            if not self._handle_failure(worker, reply):
                return
            await context.timer.sleep(_RETRY_S)

    async def _wait_for_turn(self) -> None:
        """Wait until no other report with many ends is due to be applied.

        Tasks of equal length end on all workers at once. Applied one after
        the other, their ends would keep leases from being renewed.
        """
        async with self._many_ends:
            await asyncio.sleep(0)

    def _apply_report(
        self,
        worker: _worker.WorkerState,
        report: ports.Report,
        requested_s: float,
    ) -> asyncio.Future[typing.Any] | None:
        """Apply a report; return the saves to await before the ack."""
        context = self._context
        reporter = self._worker_restart.incarnation_of(
            worker, report, requested_s
        )
        if reporter is None:
            _LOG.info(
                'report.outdated',
                worker=worker.worker_id,
                born_ms=report.born_ms,
                known_born_ms=worker.born_ms,
            )
            return None
        if reporter is not worker:
            # Its own link rereads these ends and acknowledges them.
            self._apply_report(reporter, report, requested_s)
            self.open(reporter)
            return None
        now_s = context.timer.now_s()
        self.reports += 1
        worker.lease.update_clock(report.clock_ms, now_s)
        worker.last_report_s = now_s
        worker.record_answer(now_s)
        worker.set_reported_capacity(report.capacity)
        context.roster.check_entry_age(
            worker, now_s, context.settings.entry_trusted_s
        )
        if not worker.answering:
            worker.answering = True
            self._mark_others_gone(worker)
            self._ends.clear_loss(worker)
            self._ends.confirm_losses(worker)
            _LOG.info(
                'worker.answering',
                worker=worker.worker_id,
                address=worker.listed.address,
                born_ms=worker.born_ms,
                running=len(report.running),
                ends=len(report.ends),
                processed=worker.processed,
                token=context.token,
            )
            context.wake()
        affected = self._apply_ends(worker, report)
        listed = self._apply_running(worker, report)
        _progress.observe(context, worker, report)
        _run_samples.observe(context, worker, report)
        if report.is_complete:
            self._withdraw_missing(worker, listed, requested_s)
        else:
            _LOG.info(
                'report.incomplete',
                worker=worker.worker_id,
                ends=len(report.ends),
                runs_unlisted=len(worker.runs.keys() - listed),
                token=context.token,
            )
        if not report.ends:
            return None
        pending = [
            context.journal.saved(job)
            for job in affected.values()
            if job.saved_changes < job.changes
        ]
        return asyncio.gather(*pending)

    def _mark_others_gone(self, worker: _worker.WorkerState) -> None:
        """Mark other incarnations at an answering worker's address as gone.

        A crashed worker returns under another name and runs nothing. The
        directory alone does not show which incarnation is alive: an old one
        may stay or reappear in it, and ending the wrong one would start its
        tasks twice. A call names its incarnation, so an answer is proof.
        """
        address = worker.listed.address
        for other in list(self._context.roster.workers.values()):
            if other is not worker and other.listed.address == address:
                self._ends.mark_gone(other, 'address taken over')

    def _apply_ends(
        self, worker: _worker.WorkerState, report: ports.Report
    ) -> dict[str, _state.JobProgress]:
        context = self._context
        affected: dict[str, _state.JobProgress] = {}
        for end in report.ends:
            job = context.jobs.get(end.run.task.job_id)
            if job is not None:
                affected[job.document.job_id] = job
                self._ends.note_begun(job)
            if end.number <= worker.processed:
                continue
            worker.processed = end.number
            run = worker.runs.get(end.run)
            if run is not None:
                _run_samples.observe_end(context, worker, run, end, report)
                self._ends.apply_end(worker, run, end)
            else:
                # Stored by an earlier term, or already withdrawn.
                _LOG.info(
                    'run.end_ignored',
                    run=_ends.run_text(end.run),
                    worker=worker.worker_id,
                    how=end.kind.value,
                    number=end.number,
                )
        return affected

    def _apply_running(
        self, worker: _worker.WorkerState, report: ports.Report
    ) -> set[ports.RunName]:
        now_s = self._context.timer.now_s()
        listed: set[ports.RunName] = set()
        for reported in report.running:
            listed.add(reported.run)
            job = self._context.jobs.get(reported.run.task.job_id)
            if job is not None:
                self._ends.note_begun(job)
            run = worker.runs.get(reported.run)
            if run is None and reported.run in worker.recently_ended:
                # An older report, overtaken by the one with the end.
                continue
            if run is None:
                run = self._book_stray(worker, reported)
            if run.phase in _NOT_YET_RUNNING:
                run.phase = _run.RunPhase.RUNNING
                run.started_s = run.progress_changed_s = now_s
            if run.reported_from_s is None:
                # The start got no answer but took effect.
                run.reported_from_s = now_s
            if reported.progress_percent != run.progress_percent:
                run.progress_percent = reported.progress_percent
                run.progress_changed_s = now_s
            run.load = reported.load
            if run.is_trial and reported.progress_percent > 0.0:
                self._credit_worker(run, now_s)
            if run.task is not None and reported.checkpoint:
                run.task.checkpoint = reported.checkpoint
        return listed

    def _credit_worker(self, run: _run.Run, now_s: float) -> None:
        """Credit a worker with a run that makes progress.

        A lasting task never ends successfully: a suspect worker that runs
        one would otherwise get no other task for as long as it lasts.
        """
        if run.started_s is None or run.phase is not _run.RunPhase.RUNNING:
            return
        if self._context.health.has_started_well(now_s - run.started_s):
            self._ends.credit_worker(run)

    def _book_stray(
        self, worker: _worker.WorkerState, reported: ports.RunningTask
    ) -> _run.Run:
        """Book and stop a run that this term did not request.

        It stems from a late order of an earlier term, or from a job that has
        ended since: left running, it would use capacity that is counted as
        free, or run a task twice.
        """
        context = self._context
        task_name = reported.run.task
        job = context.jobs.get(task_name.job_id)
        need = worker.free
        charge = need
        if job is not None and task_name.step < len(job.document.steps):
            step = job.document.steps[task_name.step]
            need, charge = step.need, step.charge
        run = _run.Run(
            reported.run, worker.worker_id, need, context.timer.now_s(), None
        )
        run.charge = charge
        if job is not None:
            run.account = job.document.account
        run.phase = _run.RunPhase.RUNNING
        worker.book(run)
        self._sender.stop(run, 'not requested')
        return run

    def _withdraw_missing(
        self,
        worker: _worker.WorkerState,
        listed: set[ports.RunName],
        requested_s: float,
    ) -> None:
        """Withdraw the runs that are missing from a complete report."""
        for run in list(worker.runs.values()):
            if run.name in listed or run.reported_from_s is None:
                continue
            if requested_s >= run.reported_from_s:
                self._ends.withdraw(run, 'not listed by its worker')

    async def _acknowledge(
        self,
        worker: _worker.WorkerState,
        saving: asyncio.Future[typing.Any],
        last_number: int,
    ) -> float:
        """Acknowledge stored ends, and return the next report's wait time.

        An end is stored before it is acknowledged, as the worker then drops
        it and a later scheduler has no other source. While the store does
        not answer, the lease is renewed all the same. Only the ends of this
        report are acknowledged: a concurrent report may have brought newer
        ones, which are not stored yet.
        """
        done, _ = await asyncio.wait(
            [saving], timeout=self._context.settings.report_wait_s
        )
        if not done:
            return 0.0
        worker.acknowledged = max(worker.acknowledged, last_number)
        return self._context.settings.report_wait_s

    def _handle_failure(
        self, worker: _worker.WorkerState, reply: ports.OrderReply
    ) -> bool:
        """Handle a failed call, and return whether to keep polling."""
        context = self._context
        if reply.outcome is ports.OrderOutcome.FENCED:
            context.on_deposed(
                f'worker {worker.worker_id} has seen a newer token'
            )
            return False
        if reply.outcome is ports.OrderOutcome.OTHER_INCARNATION:
            self._ends.mark_gone(worker, 'another incarnation answered')
            context.wake()
            return False
        if worker.answering or not worker.last_report_s:
            _LOG.warning(
                'worker.silent',
                worker=worker.worker_id,
                address=worker.listed.address,
                outcome=reply.outcome.value,
                runs=len(worker.runs),
            )
        worker.answering = False
        # Even if a failed start has already cleared `answering`: that only
        # blocks placement, and its runs would wait forever.
        if worker.runs and not worker.lease_expiring:
            worker.lease_expiring = True
            context.spawn(self._lose_runs_after_lease, worker)
        return True

    async def _lose_runs_after_lease(
        self, worker: _worker.WorkerState
    ) -> None:
        """Lose the runs of a silent worker once its lease has expired."""
        context = self._context
        while not worker.answering and not worker.gone:
            left_s = worker.lease.remaining_s(context.timer.now_s())
            if left_s > 0.0:
                await context.timer.sleep(left_s)
                continue
            self._ends.lose_runs(
                worker, 'lease lapsed without an answer', is_over=False
            )
            context.wake()
            break
        worker.lease_expiring = False


_NOT_YET_RUNNING: typing.Final = frozenset(
    {
        _run.RunPhase.PLANNED,
        _run.RunPhase.ORDERED,
        _run.RunPhase.IN_DOUBT,
    }
)
