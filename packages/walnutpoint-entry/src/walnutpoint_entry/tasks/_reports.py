"""Processing of the task reports of workers."""

from __future__ import annotations

import collections.abc
import typing

from walnutpoint_core import logs
from walnutpoint_core import timer as timers
from walnutpoint_entry.tasks import _cell
from walnutpoint_entry.tasks import _contact
from walnutpoint_entry.tasks import _entry
from walnutpoint_entry.tasks import _model
from walnutpoint_entry.tasks import _wire

__all__ = ('Reports',)

_PHASE = _entry.Phase
_STATE = _model.TaskState
_LOG = logs.get_logger(__name__)

_FINAL_STATES: typing.Final = {
    'finished': _STATE.FINISHED,
    'failed': _STATE.FAILED,
    'stopped': _STATE.STOPPED,
    'lapsed': _STATE.LAPSED,
}


class Reports:
    """Update the attempts from the reports of workers."""

    __slots__ = ('_allocator', '_stop_stray', '_timer')

    def __init__(
        self,
        timer: timers.Timer,
        allocator: _cell.Allocator,
        stop_stray: collections.abc.Callable[
            [_contact.WorkerLink, _wire.Attempt], object
        ],
    ) -> None:
        self._timer = timer
        self._allocator = allocator
        self._stop_stray = stop_stray

    def apply(
        self, link: _contact.WorkerLink, reply: _wire.WorkerReply
    ) -> None:
        """Apply a reply to an order."""
        now_s = self._timer.now_s()
        link.record_reply(reply.clock_s, now_s)
        self._allocator.mark_worker_responsive(link.worker)
        for task in reply.tasks:
            self._apply_task(link, task, now_s)

    def _apply_task(
        self,
        link: _contact.WorkerLink,
        task: _wire.WorkerTask,
        now_s: float,
    ) -> None:
        entry = self._allocator.live(task.key)
        if (
            entry is None
            or entry.attempt != task.attempt
            or entry.worker != link.worker
        ):
            self._apply_unmatched(link, task, now_s)
        elif task.state in ('running', 'stopping'):
            if entry.phase is not _PHASE.STARTING:
                entry.phase = _PHASE.RUNNING
            entry.update_usage(task, now_s)
            self._allocator.record_long_run(entry, now_s)
        elif task.state == 'unknown':
            self.end_unknown(entry, now_s)
        else:
            entry.update_usage(task, now_s)
            self._allocator.end(
                entry, _FINAL_STATES[task.state], task.exit_code, now_s
            )

    def _apply_unmatched(
        self,
        link: _contact.WorkerLink,
        task: _wire.WorkerTask,
        now_s: float,
    ) -> None:
        name = _wire.Attempt(task.key, task.attempt)
        if task.state in _FINAL_STATES:
            if task.note is not None and name not in link.acknowledged:
                self._allocator.record_ended(
                    task.note.shard, self._end_report(link, task)
                )
            return
        if task.state == 'unknown':
            if self._allocator.ended(name) is None:
                link.acknowledged.add(name)
            return
        # After the first report only this owner starts tasks here. A task
        # found later was dropped here or is in an outdated answer; adopted,
        # it could run beside a newer attempt.
        entry = None
        if not link.is_inventoried and self._allocator.ended(name) is None:
            entry = self._allocator.adopt(link.worker, task, now_s)
        if entry is not None:
            # The former owner has not renewed its lease since then.
            entry.lease_sent_s = link.acquired_s
            link.schedule_by(now_s)
            return
        _LOG.error(
            'stray_task',
            worker=link.worker,
            job=task.key.job,
            index=task.key.index,
            attempt=task.attempt,
        )
        self._stop_stray(link, name)

    def _end_report(
        self, link: _contact.WorkerLink, task: _wire.WorkerTask
    ) -> _model.TaskReport:
        return _model.TaskReport(
            key=task.key,
            attempt=task.attempt,
            worker=link.worker,
            domain=self._allocator.capacity.domain(link.worker),
            state=_FINAL_STATES[task.state],
            run_s=task.run_s,
            exit_code=task.exit_code,
            checkpoint=task.checkpoint,
        )

    def end_unknown(self, entry: _entry.Entry, now_s: float) -> None:
        """End an attempt that its worker does not know and will refuse."""
        is_doubtful = entry.phase is _PHASE.DOUBTFUL
        state = _STATE.STOPPED if is_doubtful else _STATE.LAPSED
        self._allocator.end(entry, state, None, now_s)

    def mark_inventoried(
        self, link: _contact.WorkerLink, is_open: bool = True
    ) -> None:
        """Record that the tasks of a worker are known."""
        if is_open:
            self._allocator.open_worker(link.worker)
        if not link.is_inventoried:
            link.is_inventoried = True
            self._allocator.open_slots(link.worker)
