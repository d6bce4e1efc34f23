"""The course of a job, rebuilt from the log lines of several processes."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime
import re
import typing

__all__ = (
    'Course',
    'Line',
    'parse_line',
    'rebuild',
)

_FIELD: typing.Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_START: typing.Final = re.compile(r'\b(?:timestamp|level)=')
# Events that explain a wait of any job.
_GENERAL: typing.Final = frozenset(
    {
        'cell.applied',
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
# What decides a job's fate, the last of them first.
_DECISIVE: typing.Final = (
    'task.given_up',
    'job.concluded',
    'job.refused',
    'job.rejected',
    'job.cancel_stored',
)
# Events of the job's neighbourhood count within this time of its own.
_AROUND_S: typing.Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line: where it came from, when, and its fields."""

    source: str
    time_s: float
    event: str
    fields: dict[str, str]

    def number(self, name: str) -> float:
        """Return a field's number, or zero where it has none."""
        try:
            return float(self.fields.get(name, ''))
        except ValueError:
            return 0.0

    def text(self) -> str:
        """Return the inputs of the decision as text."""
        hidden = ('event', 'level', 'part', 'timestamp')
        return ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in hidden
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Course:
    """A job's lines in order, what was around them, and what decided."""

    own: tuple[Line, ...]
    around: tuple[Line, ...]
    decisive: Line | None
    # The longest wait between two of its lines, and the second of them.
    longest_wait_s: float
    waited_for: Line | None


def parse_line(text: str, source: str) -> Line | None:
    """Return a structured line, or None for any other text."""
    found = _START.search(text)
    if found is None:
        return None
    prefix = text[: found.start()].split()
    fields = {
        name: value.strip('"')
        for name, value in _FIELD.findall(text[found.start() :])
    }
    event = fields.get('event')
    if event is None:
        return None
    # Collectors put a time and a host's name before each line.
    if len(prefix) >= 2:
        source = prefix[1]
    return Line(source, _time_s(prefix, fields), event, fields)


def rebuild(lines: collections.abc.Iterable[Line], job_id: str) -> Course:
    """Return the course of one job."""
    ordered = sorted(lines, key=lambda line: line.time_s)
    own = tuple(line for line in ordered if _names(line, job_id))
    if not own:
        return Course((), (), None, 0.0, None)
    workers = {
        line.fields['worker'] for line in own if 'worker' in line.fields
    }
    begin_s = own[0].time_s - _AROUND_S
    end_s = own[-1].time_s + _AROUND_S
    around = tuple(
        line
        for line in ordered
        if begin_s <= line.time_s <= end_s
        and (
            line.event in _GENERAL
            or (
                line.event in _WORKER_EVENTS
                and line.fields.get('worker') in workers
            )
        )
    )
    wait_s, waited_for = _longest_wait(own)
    return Course(own, around, _decisive(own), wait_s, waited_for)


def _names(line: Line, job_id: str) -> bool:
    if line.fields.get('job') == job_id:
        return True
    for name in ('run', 'step', 'task'):
        if line.fields.get(name, '').partition('.')[0] == job_id:
            return True
    return False


def _decisive(own: tuple[Line, ...]) -> Line | None:
    for event in _DECISIVE:
        for line in reversed(own):
            if line.event == event:
                return line
    return None


def _longest_wait(own: tuple[Line, ...]) -> tuple[float, Line | None]:
    longest = 0.0
    waited_for: Line | None = None
    for before, after in zip(own, own[1:], strict=False):
        if after.time_s - before.time_s > longest:
            longest = after.time_s - before.time_s
            waited_for = after
    return longest, waited_for


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
