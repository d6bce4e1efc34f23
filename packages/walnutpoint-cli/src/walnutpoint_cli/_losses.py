"""Which jobs came late or never, at which step, and which could not."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_cli import _availability
from walnutpoint_cli import _course
from walnutpoint_cli import _job_times

__all__ = (
    'Loss',
    'Losses',
    'Window',
    'account',
    'worst_windows',
)

# What a late job is worth of one in time, for comparing seconds.
_LATE_WORTH: typing.Final = 0.2
# Of the windows that are compared, in seconds.
_WINDOW_S: typing.Final = 2.0


class Loss(typing.NamedTuple):
    """A job that could have been served better, or not."""

    job_id: str
    queue: str
    # Seconds since the first line of all logs at which its caller first asked.
    asked_s: float
    got: _job_times.Grade
    # The most that anybody could have given.
    possible: _job_times.Grade
    place: _job_times.Place
    # What its steps waited for longest, where it was placed late.
    cause: str


class Window(typing.NamedTuple):
    """The jobs that were asked for in some seconds."""

    begin_s: float
    jobs: int
    # Shares of what was asked for: what callers got, and what they could have.
    got: float
    possible: float


class Losses(typing.NamedTuple):
    """All jobs with an objective, by when they were asked for."""

    # Seconds since the first line, and what each job got.
    grades: tuple[tuple[float, _job_times.Grade], ...]
    losses: tuple[Loss, ...]
    away: tuple[_availability.Span, ...]
    # When the schedulers won their terms.
    terms_s: tuple[float, ...]


class _Reader:
    """Follows all jobs through lines in the order of time."""

    __slots__ = ('jobs', 'terms_s')

    def __init__(self) -> None:
        self.jobs: dict[str, _job_times.JobTimes] = {}
        self.terms_s: list[float] = []

    def take(self, line: _course.Line) -> None:
        """Follow one line."""
        if line.event == 'scheduler.won':
            self.terms_s.append(line.time_s)
            return
        named = line.fields.get('run') or line.fields.get('step')
        job_id = line.fields.get('job') or (named or '').partition('.')[0]
        if not job_id:
            return
        job = self.jobs.get(job_id)
        if job is None:
            job = self.jobs[job_id] = _job_times.JobTimes(line.time_s)
        self._apply(job, line)

    def _apply(self, job: _job_times.JobTimes, line: _course.Line) -> None:
        match line.event:
            case 'job.accepted' | 'job.known' | 'job.refused':
                job.ask(line)
            case 'step.waits':
                job.wait(line)
            case 'run.placed':
                job.place(line)
            case 'run.ended' | 'run.withdrawn':
                job.end(line)
            case 'job.cancel_stored':
                job.is_cancelled = True
            case 'job.final':
                job.final_s = line.time_s
                job.state = line.fields.get('state', '')


def account(lines: collections.abc.Iterable[_course.Line]) -> Losses:
    """Return what callers got, and what was lost where.

    What was possible is a bound: of a job, only its longest chain counts,
    by declared times or those of its runs where they are longer, started as
    soon as anybody could store it and shown as soon as anybody could; neither
    room nor advice nor killed schedulers do.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    if not ordered:
        return Losses((), (), (), ())
    reader = _Reader()
    for line in ordered:
        reader.take(line)
    begin_s, end_s = ordered[0].time_s, ordered[-1].time_s
    away = _availability.find(ordered)
    owed = {
        job_id: job
        for job_id, job in reader.jobs.items()
        if job.objective_s is not None and not job.is_cancelled
    }
    losses = []
    for job_id, job in owed.items():
        if job.got is _job_times.Grade.IN_TIME or _is_open(job, end_s):
            continue
        place, cause = job.place_of_loss(end_s)
        losses.append(
            Loss(
                job_id,
                job.queue,
                job.asked_s - begin_s,
                job.got,
                max(job.got, job.possible(away)),
                place,
                cause,
            )
        )
    return Losses(
        tuple(
            (job.asked_s - begin_s, job.got)
            for job in owed.values()
            if not _is_open(job, end_s)
        ),
        tuple(losses),
        tuple(
            _availability.Span(span.begin_s - begin_s, span.end_s - begin_s)
            for span in away.spans
        ),
        tuple(time_s - begin_s for time_s in reader.terms_s),
    )


def worst_windows(found: Losses, count: int) -> list[Window]:
    """Return the windows in which callers got least, the worst first."""
    jobs: collections.Counter[int] = collections.Counter()
    got: collections.defaultdict[int, float] = _none_yet()
    reach: collections.defaultdict[int, float] = _none_yet()
    for asked_s, grade in found.grades:
        number = int(asked_s // _WINDOW_S)
        jobs[number] += 1
        got[number] += _worth(grade)
        reach[number] += _worth(grade)
    for loss in found.losses:
        number = int(loss.asked_s // _WINDOW_S)
        reach[number] += _worth(loss.possible) - _worth(loss.got)
    windows = [
        Window(
            number * _WINDOW_S,
            jobs[number],
            got[number] / jobs[number],
            reach[number] / jobs[number],
        )
        for number in jobs
    ]
    return sorted(windows, key=lambda window: window.got)[:count]


def _none_yet() -> collections.defaultdict[int, float]:
    return collections.defaultdict(float)


def _worth(grade: _job_times.Grade) -> float:
    return {
        _job_times.Grade.IN_TIME: 1.0,
        _job_times.Grade.LATE: _LATE_WORTH,
    }.get(grade, 0.0)


def _is_open(job: _job_times.JobTimes, end_s: float) -> bool:
    """Return whether a job may still come in time after the last line."""
    if job.final_s is not None or job.objective_s is None:
        return False
    return job.asked_s + job.objective_s > end_s
