"""Plans a run and books its resources on a worker."""

from __future__ import annotations

import math
import typing

from walnutpoint_core import logs
from walnutpoint_core import metrics
from walnutpoint_scheduler import _context
from walnutpoint_scheduler import _ends
from walnutpoint_scheduler import _run
from walnutpoint_scheduler import _state
from walnutpoint_scheduler import _worker
from walnutpoint_scheduler import _worker_selector
from walnutpoint_scheduler import cell
from walnutpoint_scheduler import ports

__all__ = ('plan',)

_LOG: typing.Final = logs.get_logger('placer')
_START_WAIT: typing.Final = metrics.Latency(
    'start_wait', 'Time from ready to placed, by priority of the queue.'
)


def plan(
    context: _context.Context,
    task: _state.TaskProgress,
    worker: _worker.WorkerState,
    queue: cell.Queue,
    attempt: int,
    selector: _worker_selector.WorkerSelector,
) -> _run.Run:
    """Book resources for a task's next run, with any ticket needed."""
    now_s = context.timer.now_s()
    task.attempt = attempt
    run = _run.Run(
        ports.RunName(task.name, attempt),
        worker.worker_id,
        task.step.step.need,
        now_s,
        task,
        context.now_ms(),
        worker.incarnation.born_ms,
    )
    if queue.advice is not None:
        ticket = context.advice.ticket(task.step.key, worker.worker_id)
        run.ticket = ticket or ''
    slowdown = context.run_times.slowdown(worker.listed)
    if context.observed is not None:
        step = task.step
        task_s = context.run_times.task_s(queue.name, step.key, step.step)
        # Without an expectation the declared time counts. By an infinite one
        # each failure of a lasting task would be an early one.
        if task_s < math.inf:
            run.expected_s = task_s * slowdown
    task.run = run
    task.state = _state.TaskState.ACTIVE
    worker.book(run)
    worker.starting.add(run.name)
    context.health.begin_trial(worker.worker_id, now_s)
    run.is_trial = True
    task.step.last_placed_s = now_s
    task.step.wait_cause = ''
    # A copy of a run from an earlier term has no ready time.
    ready_s = task.step.ready_s
    waited_s = 0.0 if ready_s is None else now_s - ready_s
    _START_WAIT.observe(str(queue.priority), waited_s)
    _LOG.info(
        'run.placed',
        run=_ends.run_text(run.name),
        queue=queue.name,
        account=run.account or '-',
        worker=worker.worker_id,
        free_millicores=worker.free.cpu_millicores,
        waited_s=round(waited_s, 3),
        slowdown=round(slowdown, 2),
        token=context.token,
        **selector.choices.decision(worker, task.step.key),
    )
    return run
