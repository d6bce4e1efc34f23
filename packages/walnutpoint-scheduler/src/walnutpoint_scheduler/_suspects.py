"""Tracks tasks that may crash their workers, and isolates their runs."""

from __future__ import annotations

import collections
import typing

from walnutpoint_core import logs
from walnutpoint_core import timer
from walnutpoint_scheduler import _crash_odds
from walnutpoint_scheduler import _incarnation
from walnutpoint_scheduler import _roster
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker

__all__ = (
    'Suspects',
    'has_settled',
    'task_text',
)

_LOG: typing.Final = logs.get_logger('suspects')
# Workers that fall silent within this time of each other are one loss: refused
# connections show within some ms, power failures within a report's wait.
_TOGETHER_S: typing.Final = 0.25
# How long a suspect must run before others may start on its worker: 1.5 times
# the longest that it ever took to lose a worker, within these bounds. The
# upper one doubles with each further loss: a crash beside newer runs proves
# nothing, and a closed worker serves nobody else.
_PROBATION_FACTOR: typing.Final = 1.5
_PROBATION_MIN_S: typing.Final = 0.3
_PROBATION_MAX_S: typing.Final = 3.0
_LONG_PROBATION_MAX_S: typing.Final = 30.0
# Runs that are older than a suspect's by this much did not start with it.
_SETTLED_MS: typing.Final = 100
# The delay before a suspect's third start, doubled with each further one, so
# that other tasks get a worker back in between.
_BACKOFF_S: typing.Final = 0.5
_BACKOFF_MAX_S: typing.Final = 4.0
# The same where only the proof is missing, which takes a worker's restart. A
# lasting task, which may be sound, keeps to the shorter bound.
_UNPROVEN_BACKOFF_S: typing.Final = 2.0
_UNPROVEN_BACKOFF_MAX_S: typing.Final = 32.0
# A lasting task that ran this long on a worker did not crash it.
_CLEARED_AFTER_S: typing.Final = 600.0


def task_text(task: _state.TaskProgress) -> str:
    """Format a task's identity for log lines."""
    name = task.name
    return f'{name.job_id}.{name.occurrence}.{name.step}.{name.ordinal}'


class Suspects:
    """Attributes lost workers to the tasks that ran there."""

    __slots__ = (
        '_background',
        '_probations',
        '_roster',
        '_tasks_by_loss',
        '_timer',
    )

    def __init__(self, roster: _roster.Roster, clock: timer.Timer) -> None:
        self._roster = roster
        self._timer = clock
        self._background = _crash_odds.BackgroundRate(clock.now_s())
        # The tasks against which each lost incarnation counts.
        self._tasks_by_loss: collections.defaultdict[
            _incarnation.Incarnation, list[_state.TaskProgress]
        ] = collections.defaultdict(list)
        # The isolated suspect run of each worker.
        self._probations: dict[str, _run.Run] = {}

    def record_loss(
        self, worker: _worker.WorkerState, *, is_over: bool
    ) -> list[_state.TaskProgress]:
        """Weigh the loss of a worker, and return the tasks to give up.

        Its runs must still be booked. Draining workers, and runs whose start
        was never sent, are not counted. It is over if its incarnation is
        known to have ended.
        """
        now_s = self._timer.now_s()
        watched = sum(w.answering for w in self._roster.workers.values())
        self._background.observe(watched, now_s)
        if worker.listed.draining:
            return []
        lost_runs = self._lost_runs(worker, now_s)
        weights, unexplained = _crash_odds.weigh(
            [lost for _, lost in lost_runs]
        )
        if lost_runs:
            self._background.add(unexplained)
        culprits = []
        for (run, lost), weight in zip(lost_runs, weights, strict=True):
            task = typing.cast(_state.TaskProgress, run.task)
            loss = _crash_odds.Loss(
                worker.worker_id,
                weight,
                lost.age_min_s,
                lost.age_max_s,
                worker.incarnation.born_ms,
                on_probation=_crash_odds.is_suspect(lost.losses)
                and has_settled(worker, run.planned_ms, run.name.task.job_id),
                is_over=is_over,
                address=worker.listed.address,
            )
            self._add_loss(task, loss, now_s)
            if _crash_odds.is_culprit(task.losses):
                culprits.append(task)
        return culprits

    def confirm_losses(
        self, successor: _worker.WorkerState
    ) -> list[_state.TaskProgress]:
        """Confirm the losses of the incarnations before one that answers.

        They may have been recorded by an earlier term. Return the tasks.
        """
        confirmed = []
        for lost, tasks in list(self._tasks_by_loss.items()):
            open_tasks = [t for t in tasks if not t.step.job.state.final]
            if not open_tasks:
                del self._tasks_by_loss[lost]
                continue
            for task in open_tasks:
                losses = _crash_odds.confirm(
                    task.losses,
                    successor.incarnation,
                    successor.listed.address,
                )
                if losses != task.losses:
                    task.losses = losses
                    confirmed.append(task)
        return confirmed

    def confirm_forgotten(
        self, worker: _worker.WorkerState
    ) -> list[_state.TaskProgress]:
        """Confirm the loss of a worker that is not expected back."""
        tasks = [
            task
            for task in self._tasks_by_loss.get(worker.incarnation, ())
            if not task.step.job.state.final
        ]
        for task in tasks:
            task.losses = _crash_odds.mark_over(
                task.losses, worker.incarnation
            )
        return tasks

    def clear_loss(
        self, worker: _worker.WorkerState
    ) -> list[_state.TaskProgress]:
        """Undo the loss of a worker that was only unreachable."""
        cleared = self._tasks_by_loss.pop(worker.incarnation, [])
        for task in cleared:
            task.losses = [
                loss
                for loss in task.losses
                if loss.incarnation != worker.incarnation
            ]
        if cleared:
            _LOG.info(
                'tasks.cleared',
                worker=worker.worker_id,
                tasks=len(cleared),
                reason='the worker answers again',
            )
        return cleared

    def attribute_losses(
        self, culprit: _state.TaskProgress
    ) -> list[_state.TaskProgress]:
        """Attribute losses to their culprit, and clear the other tasks.

        Two tasks that start together on a worker are equally likely to have
        crashed it. Unless cleared, the innocent one would be given up after
        one more coincidence. The number of its losses stays.
        """
        cleared = []
        for lost in culprit.losses:
            for task in self._tasks_by_loss.get(lost.incarnation, ()):
                if task is culprit or task.step.job.state.final:
                    continue
                task.losses = _crash_odds.drop_weight(
                    task.losses, lost.incarnation
                )
                cleared.append(task)
        if cleared:
            _LOG.info(
                'tasks.cleared',
                worker=','.join(loss.worker_id for loss in culprit.losses),
                tasks=len(cleared),
                reason=f'{task_text(culprit)} crashed it',
            )
        return cleared

    def restore(self, task: _state.TaskProgress) -> None:
        """Restore the losses that an earlier term recorded for a task."""
        for loss in task.losses:
            self._tasks_by_loss[loss.incarnation].append(task)

    def count_lost_with(self, worker: _worker.WorkerState) -> int:
        """Return how many other workers were lost together with this one."""
        return len(self._roster.lost_together_with(worker, _TOGETHER_S))

    def isolate(self, worker: _worker.WorkerState, run: _run.Run) -> None:
        """Reserve a worker for a suspect's run during its probation."""
        worker.isolates_suspect = True
        self._probations[worker.worker_id] = run

    def end_probations(self) -> None:
        """Reopen workers whose suspects ended or passed their probation."""
        for worker_id, run in list(self._probations.items()):
            worker = self._roster.get(worker_id)
            if worker is None or self._is_probation_over(worker, run):
                del self._probations[worker_id]
                if worker is not None:
                    worker.isolates_suspect = False

    def isolated_count(self, pool: str | None = None) -> int:
        """Return how many workers isolate a suspect, in one pool or all."""
        self.end_probations()
        count = 0
        for worker_id in self._probations:
            worker = self._roster.get(worker_id)
            if worker is None or worker.silent_since_s is not None:
                continue
            count += pool is None or worker.listed.pool == pool
        return count

    def _is_probation_over(
        self, worker: _worker.WorkerState, run: _run.Run
    ) -> bool:
        """Return whether a run has ended or passed its probation."""
        if run.name not in worker.runs:
            return True
        if run.started_s is None or worker.last_contact_s is None:
            return False
        task = typing.cast(_state.TaskProgress, run.task)
        longest_s = max((loss.age_max_s for loss in task.losses), default=0.0)
        needed_s = max(longest_s * _PROBATION_FACTOR, _PROBATION_MIN_S)
        limit_s = min(
            _PROBATION_MAX_S * 2.0 ** (len(task.losses) - 1),
            _LONG_PROBATION_MAX_S,
        )
        healthy_s = worker.last_contact_s - run.started_s
        return healthy_s >= min(needed_s, limit_s)

    def _lost_runs(
        self, worker: _worker.WorkerState, now_s: float
    ) -> list[tuple[_run.Run, _crash_odds.LostRun]]:
        """Return the runs that may have started, with their possible ages."""
        silent_since_s = (
            now_s if worker.silent_since_s is None else worker.silent_since_s
        )
        rows = []
        for run in worker.runs.values():
            task = run.task
            if task is None or not run.may_have_begun(silent_since_s):
                continue
            age_min_s, age_max_s = _ages_s(worker, run, silent_since_s)
            shared = self._correlated_rate(
                worker, run.name.task.job_id, age_max_s - age_min_s
            )
            if task.step.step.lasting and age_min_s > _CLEARED_AFTER_S:
                task.losses = []
            rows.append(
                (
                    run,
                    _crash_odds.LostRun(
                        task.losses,
                        age_min_s,
                        age_max_s,
                        self._background.rate() + shared,
                    ),
                )
            )
        return rows

    def _correlated_rate(
        self, worker: _worker.WorkerState, job_id: str, span_s: float
    ) -> float:
        """Return the rate of losses that affect several workers at once.

        Workers that isolate a suspect, or have just started a task of the
        same job, are left out: that may have crashed them. Workers that never
        answered this term may have been lost separately within the span.
        """
        others = sum(
            not other.isolates_suspect
            and job_id not in other.recently_started_jobs
            for other in self._roster.lost_together_with(worker, _TOGETHER_S)
        )
        size = sum(
            not other.gone
            for other in self._roster.in_pool(worker.listed.pool)
        )
        moment_s = 2 * _TOGETHER_S
        if worker.last_contact_s is None:
            moment_s = max(moment_s, span_s)
        return others / max(1, size) / moment_s

    def _add_loss(
        self, task: _state.TaskProgress, loss: _crash_odds.Loss, now_s: float
    ) -> None:
        task.set_losses(_crash_odds.add_loss(task.losses, loss))
        self._tasks_by_loss[loss.incarnation].append(task)
        if not _crash_odds.is_suspect(task.losses):
            return
        if len(task.losses) > 1:
            task.backoff.delay_until(now_s + _pause_s(task))
        _LOG.info(
            'task.suspected',
            task=task_text(task),
            worker=loss.worker_id,
            age_min_s=round(loss.age_min_s, 3),
            age_max_s=round(loss.age_max_s, 3),
            losses=len(task.losses),
            on_probation=loss.on_probation,
            is_over=loss.is_over,
            odds=round(_crash_odds.odds(task.losses), 3),
            background=round(self._background.rate(), 5),
        )


def has_settled(
    worker: _worker.WorkerState, planned_ms: float, job_id: str
) -> bool:
    """Return whether the runs of other jobs are older than one by a margin."""
    return all(
        run.planned_ms + _SETTLED_MS <= planned_ms
        for run in worker.runs.values()
        if run.name.task.job_id != job_id
    )


def _pause_s(task: _state.TaskProgress) -> float:
    """Return how long a suspect waits before its next start."""
    first_s, max_s = _BACKOFF_S, _BACKOFF_MAX_S
    if _crash_odds.is_unproven(task.losses):
        first_s = _UNPROVEN_BACKOFF_S
        if not task.step.step.lasting:
            max_s = _UNPROVEN_BACKOFF_MAX_S
    return min(first_s * 2.0 ** (len(task.losses) - 2), max_s)


def _ages_s(
    worker: _worker.WorkerState, run: _run.Run, silent_since_s: float
) -> tuple[float, float]:
    """Return the least and the greatest possible age of a lost run.

    A run of an earlier term may have started any time after it was planned.
    """
    began_s = run.ordered_s
    if began_s is None:
        began_s = typing.cast(float, run.restored_s)
    contact_s = (
        began_s if worker.last_contact_s is None else worker.last_contact_s
    )
    age_min_s = max(0.0, contact_s - began_s)
    age_max_s = max(age_min_s, silent_since_s - began_s)
    return age_min_s, age_max_s + run.age_at_restore_s
