"""The waits of queues by cause, summed up from log lines."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

from walnutpoint_cli import _timeline

__all__ = (
    'QueueWaits',
    'Waits',
    'summarize',
)

# A wait without a logged cause: storing, planning and ordering.
_UNKNOWN_CAUSE: typing.Final = 'untold'
# The cause of a step that no worker may run.
_DENIED: typing.Final = 'denied'
# The cause of lost work, with the wait for the lease included.
_LOST_WORKER_CAUSE: typing.Final = 'a lost worker'


def _zero_by_default() -> collections.defaultdict[str, float]:
    return collections.defaultdict(float)


@dataclasses.dataclass(slots=True)
class QueueWaits:
    """One queue's jobs, waits, refusals and lost work."""

    jobs: int = 0
    starts: int = 0
    # The longest time from ready to placed. Includes steps that were never
    # placed, unless no worker may run them.
    longest_wait_s: float = 0.0
    # Seconds that steps waited, by cause.
    waits_s: collections.defaultdict[str, float] = dataclasses.field(
        default_factory=_zero_by_default
    )
    refusals: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Seconds of discarded runs, by the cause of their end.
    lost_s: collections.defaultdict[str, float] = dataclasses.field(
        default_factory=_zero_by_default
    )


@dataclasses.dataclass(slots=True)
class Waits:
    """All queues, refusals and terms by host, and calls to the store."""

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
    # Number of workers that each task lost, and the workers that each task
    # that was given up had crashed.
    lost_workers: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    given_up: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    # Seconds from the first line, queue and cause of each wait that began.
    wait_starts: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list
    )

    def queue(self, name: str) -> QueueWaits:
        """Return the entry of a queue, which is created if absent."""
        return self.queues.setdefault(name, QueueWaits())

    @property
    def jobs(self) -> int:
        """Return how many jobs were accepted."""
        return sum(queue.jobs for queue in self.queues.values())


class _Wait(typing.NamedTuple):
    since_s: float
    cause: str
    queue: str


class _LineCounter:
    """Sums up waits and runs from lines ordered by time."""

    def __init__(self, begin_s: float) -> None:
        self.result = Waits()
        self._begin_s = begin_s
        self._waiting_steps: dict[str, _Wait] = {}
        self._runs: dict[str, tuple[float, str]] = {}
        # Time of the first wait of each step without a run.
        self._wait_started_s: dict[str, float] = {}
        self._handlers: dict[
            str, collections.abc.Callable[[_timeline.LogLine], None]
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
            'store.calls': self._store_calls,
        }

    def process(self, line: _timeline.LogLine) -> None:
        """Count one line."""
        handler = self._handlers.get(line.event)
        if handler is not None:
            handler(line)

    def _accepted(self, line: _timeline.LogLine) -> None:
        self.result.queue(line.fields.get('queue', '')).jobs += 1

    def _refused(self, line: _timeline.LogLine) -> None:
        queue = self.result.queue(line.fields.get('queue', ''))
        kind = line.fields.get('kind', '')
        queue.refusals[kind] += 1
        self.result.refused[kind, line.source] += 1

    def _won(self, line: _timeline.LogLine) -> None:
        token = line.fields.get('token', '')
        row = (line.time_s - self._begin_s, line.source, token)
        self.result.terms.append(row)

    def _waits(self, line: _timeline.LogLine) -> None:
        step = line.fields.get('step', '')
        queue = line.fields.get('queue', '')
        cause = line.fields.get('cause', _UNKNOWN_CAUSE)
        self._end_wait(step, line.time_s)
        self._wait_started_s.setdefault(step, line.time_s)
        self._waiting_steps[step] = _Wait(line.time_s, cause, queue)
        row = (line.time_s - self._begin_s, queue, cause)
        self.result.wait_starts.append(row)

    def _placed(self, line: _timeline.LogLine) -> None:
        run = line.fields.get('run', '')
        queue = line.fields.get('queue', '')
        queue_waits = self.result.queue(queue)
        queue_waits.starts += 1
        waited_s = line.number('waited_s')
        queue_waits.longest_wait_s = max(queue_waits.longest_wait_s, waited_s)
        self._wait_started_s.pop(run.rpartition('.')[0], None)
        self._runs[run] = (line.time_s, queue)
        # ID.OCCURRENCE.STEP.INDEX#ATTEMPT
        self._end_wait(run.rpartition('.')[0], line.time_s)

    def _ended(self, line: _timeline.LogLine) -> None:
        placed = self._runs.pop(line.fields.get('run', ''), None)
        if placed is None or line.fields.get('how') == 'done':
            return
        placed_s, queue = placed
        reason = line.fields.get('stopped_for', '-')
        if reason == '-':
            reason = line.fields.get('how', '')
        self.result.queue(queue).lost_s[reason] += line.time_s - placed_s

    def _withdrawn(self, line: _timeline.LogLine) -> None:
        run = line.fields.get('run', '')
        placed = self._runs.pop(run, None)
        if line.fields.get('lost') != 'true':
            return
        self.result.lost_workers[run.partition('#')[0]] += 1
        if placed is not None:
            placed_s, queue = placed
            lost_s = line.time_s - placed_s
            self.result.queue(queue).lost_s[_LOST_WORKER_CAUSE] += lost_s

    def _given_up(self, line: _timeline.LogLine) -> None:
        workers = line.fields.get('workers', '').split(',')
        self.result.given_up[line.fields.get('task', '')] = tuple(workers)

    def _concluded(self, line: _timeline.LogLine) -> None:
        """End the waits of a concluded job."""
        job_id = line.fields.get('job', '')
        for step in list(self._waiting_steps):
            if step.partition('.')[0] == job_id:
                self._end_wait(step, line.time_s)
                self._wait_started_s.pop(step, None)

    def _store_calls(self, line: _timeline.LogLine) -> None:
        for part in line.fields.get('counts', '').split(','):
            purpose, _, count = part.rpartition('=')
            if purpose and count.isdigit():
                self.result.store_calls[purpose] += int(count)

    def _end_wait(self, step: str, time_s: float) -> None:
        wait = self._waiting_steps.pop(step, None)
        if wait is not None:
            queue = self.result.queue(wait.queue)
            queue.waits_s[wait.cause] += time_s - wait.since_s

    def end_all_waits(self, time_s: float) -> None:
        """End the waits that last until the end of the logs."""
        for step, wait in list(self._waiting_steps.items()):
            started_s = self._wait_started_s.get(step)
            if started_s is not None and wait.cause != _DENIED:
                queue_waits = self.result.queue(wait.queue)
                longest_s = max(queue_waits.longest_wait_s, time_s - started_s)
                queue_waits.longest_wait_s = longest_s
            self._end_wait(step, time_s)


def summarize(lines: collections.abc.Iterable[_timeline.LogLine]) -> Waits:
    """Return the waits, refusals and lost work of each queue."""
    ordered = sorted(lines, key=lambda line: line.time_s)
    if not ordered:
        return Waits()
    counter = _LineCounter(ordered[0].time_s)
    for line in ordered:
        counter.process(line)
    counter.end_all_waits(ordered[-1].time_s)
    return counter.result
