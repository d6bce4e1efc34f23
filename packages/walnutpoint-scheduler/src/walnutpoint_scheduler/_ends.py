"""Applies the ends of runs to tasks, jobs and worker health."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_core import slices
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _crash_odds
from walnutpoint_scheduler import _remaining
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _stall
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _suspects
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import ports

__all__ = (
    'EndHandler',
    'STALLED',
    'run_text',
)

_LOG: typing.Final = logs.get_logger('ends')
_RUN_ENDS: typing.Final = metrics.Counter('run_ends', 'Ends of runs by kind.')
_JOBS_ENDED: typing.Final = metrics.Counter(
    'jobs_ended', 'Jobs by final state.'
)
_WORKERS_LOST: typing.Final = metrics.Counter(
    'workers_lost', 'Workers that took runs with them, planned or not.'
)
_JOB_DURATION: typing.Final = metrics.Latency(
    'job', 'Time from accepting a job to its end, by final state.'
)
_MS_PER_S: typing.Final = 1000.0
# A failure within this share of a run's estimate counts against its worker: a
# bad worker fails tasks at once, a bad task fails at any time of its run.
_EARLY_FAILURE_SHARE: typing.Final = 0.2
# A lasting task that ran for this long started successfully.
_GOOD_START_S: typing.Final = 5.0
# Short, as the worker may be at fault and recover within seconds.
_RESTART_BACKOFF_MAX_S: typing.Final = 2.0
# Time by which a new term has had an answer from every live worker.
_FIRST_CONTACT_S: typing.Final = 0.25
# Runs of one job that are stopped before other work goes on.
_SLICE_RUNS: typing.Final = 200
# The reason of a stop that counts against the worker.
STALLED: typing.Final = 'stalled'


def run_text(run: ports.RunName) -> str:
    """Format a run's identity for log lines."""
    task = run.task
    return (
        f'{task.job_id}.{task.occurrence}.{task.step}.{task.ordinal}'
        f'#{run.attempt}'
    )


class EndHandler:
    """Applies ends and marks every changed job for the journal."""

    __slots__ = ('_context', 'done', 'failed', 'lost', 'stop')

    def __init__(self, context: _context.Context) -> None:
        self._context = context
        # Set by the owner of the order sender.
        self.stop: collections.abc.Callable[[_run.Run, str], None] = _no_stop
        self.done = 0
        self.failed = 0
        self.lost = 0

    def note_begun(self, job: _state.JobProgress) -> None:
        """Record that a worker has accepted, run or ended a task of a job."""
        if job.begun or job.state.final:
            return
        job.begun = True
        job.state = _state.JobState.RUNNING
        self._context.journal.note_later(job)

    def apply_end(
        self, worker: _worker.WorkerState, run: _run.Run, end: ports.End
    ) -> None:
        """Apply an end that a worker reports."""
        worker.release(run)
        task = run.task
        if task is None:
            return
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        _RUN_ENDS.add(end.kind.value)
        _LOG.info(
            'run.ended',
            run=run_text(run.name),
            worker=worker.worker_id,
            how=end.kind.value,
            number=end.number,
            stopped_for=run.stop_reason or '-',
        )
        self._record_health(worker, run, end.kind)
        self._detach(task, run)
        if end.kind is ports.EndKind.DONE:
            self.done += 1
            task.backoff.reset()
            self._complete_task(task)
        elif end.kind is ports.EndKind.FAILED:
            self.failed += 1
            self._count_failure(task, run)
        self._requeue(task)

    def withdraw(
        self, run: _run.Run, reason: str, *, is_lost: bool = False
    ) -> None:
        """Remove a run that never started or was lost with its worker."""
        worker = self._context.roster.worker_of(run)
        if worker is None:
            return
        worker.release(run)
        _LOG.info(
            'run.withdrawn',
            run=run_text(run.name),
            worker=run.worker_id,
            reason=reason,
            lost=is_lost,
            phase=run.phase.value,
            ordered_ago_s=self._ago_s(run.ordered_s),
        )
        if run.is_trial:
            self._context.health.cancel_trial(run.worker_id)
        task = run.task
        if task is None:
            return
        self._detach(task, run)
        if task.step.step.gang:
            self._stop_gang(task.step, 'a member did not start')
        self._requeue(task)

    def mark_gone(
        self,
        worker: _worker.WorkerState,
        reason: str,
        survivors: collections.abc.Collection[_run.Run] = (),
        *,
        is_over: bool = True,
    ) -> None:
        """Give an incarnation up, and lose its runs but the survivors.

        Survivors may continue under the next incarnation. It is over if
        another one has answered in its place.
        """
        if worker.gone:
            return
        worker.gone = True
        worker.answering = False
        self._context.orders.disconnect(worker.listed)
        term_age_s = self._context.timer.now_s() - self._context.started_s
        if worker.last_contact_s is None and term_age_s < _FIRST_CONTACT_S:
            left_s = _FIRST_CONTACT_S - term_age_s
            self._context.spawn(
                self._lose_runs_later, worker, reason, left_s, is_over
            )
        else:
            self.lose_runs(worker, reason, survivors, is_over=is_over)

    async def _lose_runs_later(
        self,
        worker: _worker.WorkerState,
        reason: str,
        left_s: float,
        is_over: bool,
    ) -> None:
        """Lose the runs of a worker that was lost before this term.

        Whether it was lost alone or with its rack shows only once the others
        were contacted; before, the loss would be attributed to its tasks.
        """
        await self._context.timer.sleep(left_s)
        self.lose_runs(worker, reason, is_over=is_over)

    def lose_runs(
        self,
        worker: _worker.WorkerState,
        reason: str,
        survivors: collections.abc.Collection[_run.Run] = (),
        *,
        is_over: bool,
    ) -> None:
        """Withdraw all runs of a worker that can no longer be running."""
        if worker.runs:
            _LOG.warning(
                'worker.runs_lost',
                worker=worker.worker_id,
                reason=reason,
                runs=len(worker.runs),
                draining=worker.listed.draining,
                heard_ago_s=self._ago_s(worker.last_contact_s),
                silent_ago_s=self._ago_s(worker.silent_since_s),
                together=self._context.suspects.count_lost_with(worker),
            )
            _WORKERS_LOST.add(
                'left' if worker.listed.draining else 'unplanned'
            )
        culprits = self._context.suspects.record_loss(worker, is_over=is_over)
        for run in list(worker.runs.values()):
            if run not in survivors:
                self.lost += 1
                self.withdraw(run, reason, is_lost=True)
        for task in culprits:
            self._give_up(task)

    def credit_worker(self, run: _run.Run) -> None:
        """Record a progressing or finished run in its worker's favor."""
        health = self._context.health
        if health.is_suspect(run.worker_id):
            _LOG.info('worker.trusted', worker=run.worker_id)
        health.record_success(
            run.worker_id,
            run.name.task.job_id,
            self._context.timer.now_s(),
            is_trial=run.is_trial,
        )
        run.is_trial = False

    def mark_worker_suspect(self, worker_id: str, reason: str) -> None:
        """Record a failed start or a stall against a worker."""
        health = self._context.health
        if not health.is_suspect(worker_id):
            _LOG.info('worker.doubted', worker=worker_id, reason=reason)
        health.record_failed_start(worker_id, self._context.timer.now_s())

    def confirm_losses(self, successor: _worker.WorkerState) -> None:
        """Give up tasks that crashed the incarnations before one."""
        self._judge(self._context.suspects.confirm_losses(successor))

    def forget(self, worker: _worker.WorkerState) -> None:
        """Mark a silent worker as gone that is not expected back."""
        worker.gone = True
        self._judge(self._context.suspects.confirm_forgotten(worker))

    def _judge(
        self, confirmed: collections.abc.Iterable[_state.TaskProgress]
    ) -> None:
        """Store confirmed losses, and give up the tasks that they prove."""
        for task in confirmed:
            self._context.journal.note(task.step.job, urgent=False)
            if _crash_odds.is_culprit(task.losses):
                self._give_up(task)

    def clear_loss(self, worker: _worker.WorkerState) -> None:
        """Clear the loss of a worker that answers after its lease expired."""
        for task in self._context.suspects.clear_loss(worker):
            if not task.step.job.state.final:
                self._context.journal.note(task.step.job, urgent=False)

    def _give_up(self, task: _state.TaskProgress) -> None:
        """Fail the job of a task that crashes its workers.

        Each restart would crash another worker with some eight runs of other
        jobs.
        """
        job = task.step.job
        if job.state.final:
            return
        crashes = sum(loss.is_over for loss in task.losses)
        job.reason = (
            f'task {_suspects.task_text(task)} crashed {crashes} workers'
        )
        _LOG.warning(
            'task.given_up',
            task=_suspects.task_text(task),
            queue=job.document.queue,
            workers=','.join(loss.worker_id for loss in task.losses),
            attempt=task.attempt,
        )
        for cleared in self._context.suspects.attribute_losses(task):
            self._context.journal.note(cleared.step.job, urgent=False)
        self._conclude(job, _state.JobState.FAILED)

    def cancel(self, job: _state.JobProgress) -> None:
        """End a job cancelled by its client account."""
        job.cancel_requested = True
        if job.state.final:
            return
        self._conclude(job, _state.JobState.CANCELLED)

    def conclude_if_finished(self, job: _state.JobProgress) -> None:
        """Conclude a job if all its tasks are done."""
        if not job.state.final and job.finished:
            self._conclude(job, _state.JobState.DONE)

    def _ago_s(self, at_s: float | None) -> float | str:
        """Return the age of an event for log lines."""
        if at_s is None:
            return '-'
        return round(self._context.timer.now_s() - at_s, 3)

    def _detach(self, task: _state.TaskProgress, run: _run.Run) -> None:
        if task.run is run:
            task.run, task.copy = task.copy, None
        elif task.copy is run:
            task.copy = None

    def _complete_task(self, task: _state.TaskProgress) -> None:
        step = task.step
        # The end of one member ends the whole gang.
        members = step.tasks if step.step.gang else [task]
        if step.step.lasting:
            return
        for member in members:
            if step.finish(member):
                for run in member.runs:
                    if not step.step.gang:
                        self.stop(run, 'another copy is done')
        task.checkpoint = ''

    def _count_failure(self, task: _state.TaskProgress, run: _run.Run) -> None:
        step = task.step
        if step.step.lasting:
            self._delay_restart(task, run)
            return
        if step.step.gang:
            # A gang attempt fails once, however many members report it.
            if run.name.attempt <= step.failed_attempt:
                return
            step.failed_attempt = run.name.attempt
            for member in step.tasks:
                member.failures += 1
        else:
            task.failures += 1
        limit = self._context.queue_of(step.job).attempts_max
        _LOG.info(
            'task.attempt_failed',
            task=_suspects.task_text(task),
            attempt=run.name.attempt,
            failures=task.failures,
            attempts_max=limit,
            gang=step.step.gang,
            token=self._context.token,
        )
        if task.failures >= limit and not step.job.state.final:
            self._conclude(step.job, _state.JobState.FAILED)

    def _delay_restart(self, task: _state.TaskProgress, run: _run.Run) -> None:
        """Back off a lasting task that fails soon after each start.

        Its attempts are unlimited: without a delay, one that fails at once
        would start some fourteen times a second.
        """
        now_s = self._context.timer.now_s()
        if run.started_s is not None and now_s - run.started_s > _GOOD_START_S:
            task.backoff.reset()
        task.back_off(now_s, _RESTART_BACKOFF_MAX_S)

    def _requeue(self, task: _state.TaskProgress) -> None:
        """Return a task whose run ended to the queue, unless it is done."""
        job = task.step.job
        job.may_have_ready_steps = True
        if task.state is not _state.TaskState.DONE and task.run is None:
            task.state = _state.TaskState.WAITING
            task.waiting_since_s = self._context.timer.now_s()
        for step in job.drop_if_over(task.step.occurrence):
            self._context.advice.drop_step(step.key)
        self.conclude_if_finished(job)
        self._context.journal.note(
            job, urgent=task.step.done or job.state.final
        )
        self._context.wake()

    def _conclude(
        self, job: _state.JobProgress, state: _state.JobState
    ) -> None:
        job.state = state
        self._context.open_jobs.pop(job.document.job_id, None)
        now_ms = self._context.now_ms()
        _JOBS_ENDED.add(state.value)
        _JOB_DURATION.observe(
            state.value, (now_ms - job.document.accepted_ms) / _MS_PER_S
        )
        _LOG.info(
            'job.concluded',
            job=job.document.job_id,
            queue=job.document.queue,
            state=state.value,
            after_ms=now_ms - job.document.accepted_ms,
            reason=job.reason or '-',
            token=self._context.token,
        )
        runs = job.runs()
        reason = f'job {state.value}'
        for run in runs[:_SLICE_RUNS]:
            self.stop(run, reason)
        if len(runs) > _SLICE_RUNS:
            self._context.spawn(self._stop_later, runs[_SLICE_RUNS:], reason)
        for step in job.steps():
            self._context.advice.drop_step(step.key)
        self._context.journal.note(job)
        self._context.wake()

    async def _stop_later(
        self, runs: collections.abc.Iterable[_run.Run], reason: str
    ) -> None:
        """Stop many runs, with other work in between."""
        async for run in slices.sliced(runs, _SLICE_RUNS):
            self.stop(run, reason)

    def _stop_gang(self, step: _state.StepProgress, reason: str) -> None:
        for task in step.tasks:
            for run in task.runs:
                self.stop(run, reason)

    def _record_health(
        self,
        worker: _worker.WorkerState,
        run: _run.Run,
        kind: ports.EndKind,
    ) -> None:
        health = self._context.health
        now_s = self._context.timer.now_s()
        name, job_id = worker.worker_id, run.name.task.job_id
        if kind is ports.EndKind.DONE:
            self.credit_worker(run)
            return
        if kind is ports.EndKind.FAILED:
            run_s = 0.0 if run.started_s is None else now_s - run.started_s
            estimate_s = 0.0
            if run.task is not None:
                estimate_s = _remaining.expected_s(run, run.task)
            health.record_failure(
                name,
                job_id,
                run_s,
                now_s,
                is_early=run_s <= estimate_s * _EARLY_FAILURE_SHARE,
                is_trial=run.is_trial,
            )
            return
        if run.is_trial:
            health.cancel_trial(name)
        if run.stop_reason == STALLED:
            # A task that hangs everywhere must not eject worker after worker.
            if run.task and run.task.stalls <= _stall.STALLS_BLAMED_ON_WORKER:
                self.mark_worker_suspect(name, STALLED)


def _no_stop(_run: _run.Run, _reason: str) -> None:
    """Ignore stops until the order sender is connected."""
