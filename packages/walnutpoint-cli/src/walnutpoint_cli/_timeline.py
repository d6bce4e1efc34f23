"""The timeline of a job, built from the log lines of several processes."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import re
import typing

__all__ = (
    'LogLine',
    'Timeline',
    'build_timeline',
    'parse_line',
)

_FIELD_PATTERN: typing.Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_START_PATTERN: typing.Final = re.compile(r'\b(?:timestamp|level)=')
# Events that may explain the wait of any job.
_GLOBAL_EVENTS: typing.Final = frozenset(
    {
        'cell.applied',
        'intake.resynced',
        'journal.failing',
        'journal.regained',
        'process.started',
        'process.stopping',
        'scheduler.suspected',
        'scheduler.won',
        'settings.reloaded',
        'store.lost',
        'store.regained',
        'term.ended',
        'term.started',
    }
)
_WORKER_EVENTS: typing.Final = frozenset(
    {
        'tasks.cleared',
        'worker.answering',
        'worker.capacity_changed',
        'worker.draining',
        'worker.listed',
        'worker.runs_lost',
        'worker.silent',
        'worker.unlisted',
    }
)
# Events that decide the outcome of a job, by descending precedence.
_DECISIVE_EVENTS: typing.Final = (
    'task.given_up',
    'job.concluded',
    'job.refused',
    'job.rejected',
    'job.cancel_stored',
)
# Other events are included if this close to the job's own.
_CONTEXT_S: typing.Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """A log line with its source, time and fields."""

    source: str
    time_s: float
    event: str
    fields: dict[str, str]

    def number(self, name: str) -> float:
        """Return the number in a field, or zero without one."""
        try:
            return float(self.fields.get(name, ''))
        except ValueError:
            return 0.0

    def text(self) -> str:
        """Return the fields as text, without those of every line."""
        hidden = ('event', 'level', 'part', 'timestamp')
        return ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in hidden
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """The lines of a job, related lines, and the line that decided it."""

    job_lines: tuple[LogLine, ...]
    context_lines: tuple[LogLine, ...]
    decision: LogLine | None
    # The longest gap between two lines of the job, and the later line.
    longest_wait_s: float
    delayed_line: LogLine | None


def parse_line(text: str, source: str) -> LogLine | None:
    """Return a structured line, or None for any other text."""
    start_match = _START_PATTERN.search(text)
    if start_match is None:
        return None
    prefix = text[: start_match.start()].split()
    fields = {
        name: value.strip('"')
        for name, value in _FIELD_PATTERN.findall(text[start_match.start() :])
    }
    event = fields.get('event')
    if event is None:
        return None
    # Log collectors prefix each line with a time and a host name.
    if len(prefix) >= 2:
        source = prefix[1]
    return LogLine(source, _time_s(prefix, fields), event, fields)


def build_timeline(
    lines: collections.abc.Iterable[LogLine], job_id: str
) -> Timeline:
    """Return the timeline of one job."""
    ordered = sorted(lines, key=lambda line: line.time_s)
    job_lines = tuple(line for line in ordered if _concerns_job(line, job_id))
    if not job_lines:
        return Timeline((), (), None, 0.0, None)
    workers = {
        line.fields['worker'] for line in job_lines if 'worker' in line.fields
    }
    begin_s = job_lines[0].time_s - _CONTEXT_S
    end_s = job_lines[-1].time_s + _CONTEXT_S
    context_lines = tuple(
        line
        for line in ordered
        if begin_s <= line.time_s <= end_s
        and (
            line.event in _GLOBAL_EVENTS
            or (
                line.event in _WORKER_EVENTS
                and line.fields.get('worker') in workers
            )
        )
    )
    wait_s, delayed_line = _longest_wait(job_lines)
    return Timeline(
        job_lines, context_lines, _decisive(job_lines), wait_s, delayed_line
    )


def _concerns_job(line: LogLine, job_id: str) -> bool:
    if line.fields.get('job') == job_id:
        return True
    for name in ('run', 'step', 'task'):
        if line.fields.get(name, '').partition('.')[0] == job_id:
            return True
    return False


def _decisive(job_lines: tuple[LogLine, ...]) -> LogLine | None:
    for event in _DECISIVE_EVENTS:
        for line in reversed(job_lines):
            if line.event == event:
                return line
    return None


def _longest_wait(
    job_lines: tuple[LogLine, ...],
) -> tuple[float, LogLine | None]:
    longest_wait_s = 0.0
    delayed_line: LogLine | None = None
    for earlier, later in zip(job_lines, job_lines[1:], strict=False):
        if later.time_s - earlier.time_s > longest_wait_s:
            longest_wait_s = later.time_s - earlier.time_s
            delayed_line = later
    return longest_wait_s, delayed_line


def _time_s(prefix: list[str], fields: dict[str, str]) -> float:
    if prefix:
        try:
            return float(prefix[0])
        except ValueError:
            pass
    return _timestamp_s(fields.get('timestamp', ''))


def _timestamp_s(text: str) -> float:
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        return 0.0
