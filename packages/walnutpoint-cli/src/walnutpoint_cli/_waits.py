"""Where the time of queues went, added up from log lines."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

from walnutpoint_cli import _course

__all__ = (
    'QueueWaits',
    'Waits',
    'add_up',
)

# A wait that is not told of a reason: being stored, planned and ordered.
_UNTOLD: typing.Final = 'untold'
# The cause of a step that no worker may run.
_DENIED: typing.Final = 'denied'
# What ended a run whose worker was lost, the wait for its lease included.
_LOST_WORKER: typing.Final = 'a lost worker'


def _no_seconds() -> collections.defaultdict[str, float]:
    return collections.defaultdict(float)


@dataclasses.dataclass(slots=True)
class QueueWaits:
    """One queue's jobs, waits, refusals and lost work."""

    jobs: int = 0
    starts: int = 0
    # The longest from ready to placed; of steps that some worker may run,
    # also of those that were never placed.
    longest_wait_s: float = 0.0
    # Seconds that steps waited, by cause.
    waits_s: collections.defaultdict[str, float] = dataclasses.field(
        default_factory=_no_seconds
    )
    refusals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Seconds of runs that did not count, by what ended them.
    lost_s: collections.defaultdict[str, float] = dataclasses.field(
        default_factory=_no_seconds
    )


@dataclasses.dataclass(slots=True)
class Waits:
    """All queues, who refused and who scheduled, and calls to the store."""

    queues: dict[str, QueueWaits] = dataclasses.field(default_factory=dict)
    store_calls: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # By kind and host.
    refused: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Seconds from the first line, host and token of each term that began.
    terms: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list
    )
    # How often each task lost its worker, and what those that were given up
    # had crashed.
    lost_workers: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    given_up: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    # Seconds from the first line, queue and cause of each wait that began.
    begun: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list
    )

    def queue(self, name: str) -> QueueWaits:
        """Return a queue's figures, made when first asked for."""
        return self.queues.setdefault(name, QueueWaits())

    @property
    def jobs(self) -> int:
        """Return how many jobs were accepted."""
        return sum(queue.jobs for queue in self.queues.values())


class _Step(typing.NamedTuple):
    since_s: float
    cause: str
    queue: str


class _Adder:
    """Follows steps and runs through lines in the order of their times."""

    def __init__(self, begin_s: float) -> None:
        self.found = Waits()
        self._begin_s = begin_s
        self._steps: dict[str, _Step] = {}
        self._runs: dict[str, tuple[float, str]] = {}
        # When each step that has no run yet was first said to wait.
        self._began_s: dict[str, float] = {}
        self._handlers: dict[
            str, collections.abc.Callable[[_course.Line], None]
        ] = {
            'job.accepted': self._accepted,
            'job.refused': self._refused,
            'step.waits': self._waits,
            'run.placed': self._placed,
            'run.ended': self._ended,
            'run.withdrawn': self._withdrawn,
            'task.given_up': self._given_up,
            'job.concluded': self._concluded,
            'scheduler.won': self._won,
            'store.calls': self._called,
        }

    def take(self, line: _course.Line) -> None:
        """Count one line."""
        handler = self._handlers.get(line.event)
        if handler is not None:
            handler(line)

    def _accepted(self, line: _course.Line) -> None:
        self.found.queue(line.fields.get('queue', '')).jobs += 1

    def _refused(self, line: _course.Line) -> None:
        queue = self.found.queue(line.fields.get('queue', ''))
        kind = line.fields.get('kind', '')
        queue.refusals[kind] += 1
        self.found.refused[kind, line.source] += 1

    def _won(self, line: _course.Line) -> None:
        token = line.fields.get('token', '')
        row = (line.time_s - self._begin_s, line.source, token)
        self.found.terms.append(row)

    def _waits(self, line: _course.Line) -> None:
        step = line.fields.get('step', '')
        queue = line.fields.get('queue', '')
        cause = line.fields.get('cause', _UNTOLD)
        self._close(step, line.time_s)
        self._began_s.setdefault(step, line.time_s)
        self._steps[step] = _Step(line.time_s, cause, queue)
        row = (line.time_s - self._begin_s, queue, cause)
        self.found.begun.append(row)

    def _placed(self, line: _course.Line) -> None:
        run = line.fields.get('run', '')
        queue = line.fields.get('queue', '')
        figures = self.found.queue(queue)
        figures.starts += 1
        waited_s = line.number('waited_s')
        figures.longest_wait_s = max(figures.longest_wait_s, waited_s)
        self._began_s.pop(run.rpartition('.')[0], None)
        self._runs[run] = (line.time_s, queue)
        # ID.OCCURRENCE.STEP.INDEX#ATTEMPT
        self._close(run.rpartition('.')[0], line.time_s)

    def _ended(self, line: _course.Line) -> None:
        began = self._runs.pop(line.fields.get('run', ''), None)
        if began is None or line.fields.get('how') == 'done':
            return
        began_s, queue = began
        reason = line.fields.get('stopped_for', '-')
        if reason == '-':
            reason = line.fields.get('how', '')
        self.found.queue(queue).lost_s[reason] += line.time_s - began_s

    def _withdrawn(self, line: _course.Line) -> None:
        run = line.fields.get('run', '')
        began = self._runs.pop(run, None)
        if line.fields.get('lost') != 'true':
            return
        self.found.lost_workers[run.partition('#')[0]] += 1
        if began is not None:
            began_s, queue = began
            lost_s = line.time_s - began_s
            self.found.queue(queue).lost_s[_LOST_WORKER] += lost_s

    def _given_up(self, line: _course.Line) -> None:
        workers = line.fields.get('workers', '').split(',')
        self.found.given_up[line.fields.get('task', '')] = tuple(workers)

    def _concluded(self, line: _course.Line) -> None:
        """Count no more waits of a job that is over."""
        job_id = line.fields.get('job', '')
        for step in list(self._steps):
            if step.partition('.')[0] == job_id:
                self._close(step, line.time_s)
                self._began_s.pop(step, None)

    def _called(self, line: _course.Line) -> None:
        for part in line.fields.get('counts', '').split(','):
            purpose, _, count = part.rpartition('=')
            if purpose and count.isdigit():
                self.found.store_calls[purpose] += int(count)

    def _close(self, step: str, time_s: float) -> None:
        waited = self._steps.pop(step, None)
        if waited is not None:
            queue = self.found.queue(waited.queue)
            queue.waits_s[waited.cause] += time_s - waited.since_s

    def close_all(self, time_s: float) -> None:
        """Count what still waits at the end."""
        for step, waited in list(self._steps.items()):
            began_s = self._began_s.get(step)
            if began_s is not None and waited.cause != _DENIED:
                figures = self.found.queue(waited.queue)
                longest_s = max(figures.longest_wait_s, time_s - began_s)
                figures.longest_wait_s = longest_s
            self._close(step, time_s)


def add_up(lines: collections.abc.Iterable[_course.Line]) -> Waits:
    """Return where the time of each queue went."""
    ordered = sorted(lines, key=lambda line: line.time_s)
    if not ordered:
        return Waits()
    adder = _Adder(ordered[0].time_s)
    for line in ordered:
        adder.take(line)
    adder.close_all(ordered[-1].time_s)
    return adder.found
