"""Late and lost jobs, their causes, and which losses were unavoidable."""

from __future__ import annotations

import collections
import collections.abc
import typing

from walnutpoint_cli import _availability
from walnutpoint_cli import _job_times
from walnutpoint_cli import _timeline

__all__ = (
    'Loss',
    'Losses',
    'Window',
    'analyze',
    'worst_windows',
)

# The value of a late job relative to one in time, to compare windows.
_LATE_VALUE: typing.Final = 0.2
# Length of the windows that are compared.
_WINDOW_S: typing.Final = 2.0


class Loss(typing.NamedTuple):
    """A job that was late or not served, whether avoidable or not."""

    job_id: str
    queue: str
    # Time of the first request, in seconds since the first line of all logs.
    asked_s: float
    got: _job_times.Grade
    # The best grade that any scheduler could have achieved.
    possible: _job_times.Grade
    place: _job_times.Place
    # For a late placement the cause of the longest wait.
    cause: str


class Window(typing.NamedTuple):
    """The jobs requested within a time window."""

    begin_s: float
    jobs: int
    # The achieved and the possible value, as shares of all jobs in time.
    got: float
    possible: float


class Losses(typing.NamedTuple):
    """The grades of all jobs with an objective, and the losses."""

    # Request time, in seconds since the first line, and grade of each job.
    grades: tuple[tuple[float, _job_times.Grade], ...]
    losses: tuple[Loss, ...]
    outages: tuple[_availability.Span, ...]
    # Start times of the schedulers' terms.
    terms_s: tuple[float, ...]


class _JobTracker:
    """Collects the times of all jobs from lines ordered by time."""

    __slots__ = ('jobs', 'terms_s')

    def __init__(self) -> None:
        self.jobs: dict[str, _job_times.JobTimes] = {}
        self.terms_s: list[float] = []

    def process(self, line: _timeline.LogLine) -> None:
        """Apply one line."""
        if line.event == 'scheduler.won':
            self.terms_s.append(line.time_s)
            return
        run_or_step = line.fields.get('run') or line.fields.get('step')
        job_id = (
            line.fields.get('job') or (run_or_step or '').partition('.')[0]
        )
        if not job_id:
            return
        job = self.jobs.get(job_id)
        if job is None:
            job = self.jobs[job_id] = _job_times.JobTimes(line.time_s)
        self._apply(job, line)

    def _apply(
        self, job: _job_times.JobTimes, line: _timeline.LogLine
    ) -> None:
        match line.event:
            case 'job.accepted' | 'job.known' | 'job.refused':
                job.add_answer(line)
            case 'step.waits':
                job.add_wait(line)
            case 'run.placed':
                job.add_placement(line)
            case 'run.ended' | 'run.withdrawn':
                job.add_run_end(line)
            case 'job.cancel_stored':
                job.is_cancelled = True
            case 'job.final':
                job.final_s = line.time_s
                job.state = line.fields.get('state', '')


def analyze(lines: collections.abc.Iterable[_timeline.LogLine]) -> Losses:
    """Return the grades of all jobs, and the losses with their causes.

    The best possible grade is a bound. It assumes that a job's longest chain,
    by declared times or those of its runs if longer, starts as soon as any
    host could store it and its end is shown as soon as any host could. It
    ignores capacity, advice and killed schedulers.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    if not ordered:
        return Losses((), (), (), ())
    tracker = _JobTracker()
    for line in ordered:
        tracker.process(line)
    begin_s, end_s = ordered[0].time_s, ordered[-1].time_s
    outages = _availability.find_outages(ordered)
    measured_jobs = {
        job_id: job
        for job_id, job in tracker.jobs.items()
        if job.objective_s is not None and not job.is_cancelled
    }
    losses = []
    for job_id, job in measured_jobs.items():
        if job.got is _job_times.Grade.IN_TIME or _is_open(job, end_s):
            continue
        place, cause = job.place_of_loss(end_s)
        losses.append(
            Loss(
                job_id,
                job.queue,
                job.asked_s - begin_s,
                job.got,
                max(job.got, job.best_possible(outages)),
                place,
                cause,
            )
        )
    return Losses(
        tuple(
            (job.asked_s - begin_s, job.got)
            for job in measured_jobs.values()
            if not _is_open(job, end_s)
        ),
        tuple(losses),
        tuple(
            _availability.Span(span.begin_s - begin_s, span.end_s - begin_s)
            for span in outages.spans
        ),
        tuple(time_s - begin_s for time_s in tracker.terms_s),
    )


def worst_windows(result: Losses, count: int) -> list[Window]:
    """Return the windows with the lowest achieved value, worst first."""
    jobs: collections.Counter[int] = collections.Counter()
    got: collections.defaultdict[int, float] = _zero_by_default()
    possible: collections.defaultdict[int, float] = _zero_by_default()
    for asked_s, grade in result.grades:
        window_index = int(asked_s // _WINDOW_S)
        jobs[window_index] += 1
        got[window_index] += _value(grade)
        possible[window_index] += _value(grade)
    for loss in result.losses:
        window_index = int(loss.asked_s // _WINDOW_S)
        possible[window_index] += _value(loss.possible) - _value(loss.got)
    windows = [
        Window(
            window_index * _WINDOW_S,
            jobs[window_index],
            got[window_index] / jobs[window_index],
            possible[window_index] / jobs[window_index],
        )
        for window_index in jobs
    ]
    return sorted(windows, key=lambda window: window.got)[:count]


def _zero_by_default() -> collections.defaultdict[int, float]:
    return collections.defaultdict(float)


def _value(grade: _job_times.Grade) -> float:
    return {
        _job_times.Grade.IN_TIME: 1.0,
        _job_times.Grade.LATE: _LATE_VALUE,
    }.get(grade, 0.0)


def _is_open(job: _job_times.JobTimes, end_s: float) -> bool:
    """Return whether a job could still end in time after the last line."""
    if job.final_s is not None or job.objective_s is None:
        return False
    return job.asked_s + job.objective_s > end_s
