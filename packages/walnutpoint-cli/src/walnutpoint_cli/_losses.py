"""Which jobs came late or never, at which step, and which could not."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import enum
import math
import statistics
import typing

from walnutpoint_cli import _availability
from walnutpoint_cli import _course

__all__ = (
    'Grade',
    'Loss',
    'Losses',
    'Place',
    'Window',
    'account',
    'worst_windows',
)

# A job that is shown within this many times its objective still counts.
_LATE_FACTOR: typing.Final = 3.0
# A run that takes longer than this many times what is usual in its step was
# held up; the tasks of a step differ by half.
_BEHIND_FACTOR: typing.Final = 2.0
# A job's work is taken for this many times as long as declared at most. The
# jobs in time of four days were 422, 394, 1425 and 1132 so; their callers
# counted 435, 385, 1401 and 1138.
_BEYOND_FACTOR: typing.Final = 4.0
_SERVED: typing.Final = frozenset({'done', 'failed'})
_UNTOLD: typing.Final = 'scheduler'
# The cause of a step that no worker may run.
_DENIED: typing.Final = 'denied'
# The attempt whose wait began when its step became ready.
_FIRST: typing.Final = '#1'
# What a late job is worth of one in time, for comparing seconds.
_LATE_WORTH: typing.Final = 0.2
# Of the windows that are compared, in seconds.
_WINDOW_S: typing.Final = 2.0


class Grade(enum.IntEnum):
    """What a caller got, the more the better."""

    NOTHING = 0
    LATE = 1
    IN_TIME = 2


class Place(enum.Enum):
    """Where most of the time of a job went that came too late."""

    REFUSED = 'not taken in'
    TAKING_IN = 'stored late'
    PLACING = 'placed late'
    AGAIN = 'run again'
    RUNNING = 'ran longer'
    SHOWING = 'shown late'


class Loss(typing.NamedTuple):
    """A job that could have been served better, or not."""

    job_id: str
    queue: str
    # Seconds since the first line of all logs at which its caller first asked.
    asked_s: float
    got: Grade
    # The most that anybody could have given.
    possible: Grade
    place: Place
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
    grades: tuple[tuple[float, Grade], ...]
    losses: tuple[Loss, ...]
    away: tuple[_availability.Span, ...]
    # When the schedulers won their terms.
    terms_s: tuple[float, ...]


@dataclasses.dataclass(slots=True)
class _Step:
    """The times of one step's runs."""

    waited_s: float = 0.0
    lost_s: float = 0.0
    # Of each run that ended as done.
    done_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def ran_s(self) -> float:
        """Return the longest run that is not far behind its neighbours."""
        if not self.done_s:
            return 0.0
        usual_s = statistics.median(self.done_s)
        return min(max(self.done_s), _BEHIND_FACTOR * usual_s)


class _Job:
    """What the lines of one job say."""

    def __init__(self, asked_s: float) -> None:
        self.asked_s = asked_s
        self.queue = ''
        self.chain_s = 0.0
        # Of the chain, and beside it; None where no objective is known.
        self._stretch: float | None = None
        self._allowance_s = 0.0
        # Until when its caller waits, as far as it was told.
        self.gone_s = asked_s
        self.accepted_s: float | None = None
        self.final_s: float | None = None
        self.ended_s: float | None = None
        self.state = ''
        self.is_cancelled = False
        self.steps: dict[str, _Step] = collections.defaultdict(_Step)
        self.causes_s: collections.Counter[str] = collections.Counter()
        self._waiting: dict[str, tuple[float, str]] = {}
        self._placed_s: dict[str, float] = {}
        self._first_s = math.inf

    def ask(self, line: _course.Line) -> None:
        """Take an answer to the caller."""
        fields = line.fields
        self.queue = fields.get('queue', '')
        self.asked_s = min(
            self.asked_s, line.time_s - _number(fields.get('held_s'))
        )
        left_s = _number(fields.get('left_s'))
        self.gone_s = max(self.gone_s, line.time_s + left_s)
        self.chain_s = _number(fields.get('chain_s'))
        if fields.get('stretch', '-') != '-':
            self._stretch = _number(fields['stretch'])
            self._allowance_s = _number(fields.get('allowance_s'))
        if line.event != 'job.refused' and self.accepted_s is None:
            self.accepted_s = line.time_s

    def wait(self, line: _course.Line) -> None:
        """Take the reason of a wait."""
        step = line.fields.get('step', '')
        self._close(step, line.time_s)
        cause = line.fields.get('cause', _UNTOLD)
        self._waiting[step] = (line.time_s, cause)

    def place(self, line: _course.Line) -> None:
        """Take a start."""
        run = line.fields.get('run', '')
        step = run.rpartition('.')[0]
        self._close(step, line.time_s)
        self._placed_s[run] = line.time_s
        self._first_s = min(self._first_s, line.time_s)
        if run.endswith(_FIRST):
            row = self.steps[step]
            waited_s = _number(line.fields.get('waited_s'))
            row.waited_s = max(row.waited_s, waited_s)

    def end(self, line: _course.Line) -> None:
        """Take the end of a run, or that it is over without one."""
        run = line.fields.get('run', '')
        began_s = self._placed_s.pop(run, None)
        if began_s is None:
            return
        self.ended_s = line.time_s
        row = self.steps[run.rpartition('.')[0]]
        ran_s = line.time_s - began_s
        if line.fields.get('how') == 'done':
            row.done_s.append(ran_s)
        else:
            row.lost_s = max(row.lost_s, ran_s)

    @property
    def _cause(self) -> str:
        """Return what a step still waits for, or nothing."""
        return next((cause for _, cause in self._waiting.values()), '')

    def _close(self, step: str, now_s: float) -> None:
        waiting = self._waiting.pop(step, None)
        if waiting is not None:
            self.causes_s[waiting[1]] += now_s - waiting[0]

    @property
    def work_s(self) -> float:
        """Return the longest chain, by its runs where they took longer."""
        ran_s = sum(step.ran_s for step in self.steps.values())
        if self.ended_s is not None:
            # Steps beside one another are no chain.
            ran_s = min(ran_s, self.ended_s - self._first_s)
        # Ends are listed late where nobody could read them.
        return max(self.chain_s, min(ran_s, self.chain_s * _BEYOND_FACTOR))

    @property
    def objective_s(self) -> float | None:
        """Return the time that is aimed at, if there is one."""
        if self._stretch is None:
            return None
        return self.work_s * self._stretch + self._allowance_s

    def grade(self, shown_s: float | None) -> Grade:
        """Return what an end shown at a time is to the caller."""
        if shown_s is None or self.objective_s is None:
            return Grade.NOTHING
        took_s = shown_s - self.asked_s
        if took_s <= self.objective_s:
            return Grade.IN_TIME
        if took_s <= self.objective_s * _LATE_FACTOR:
            return Grade.LATE
        return Grade.NOTHING

    @property
    def got(self) -> Grade:
        """Return what the caller got."""
        return self.grade(self.final_s if self.state in _SERVED else None)

    def possible(self, away: _availability.Availability) -> Grade:
        """Return the most that anybody could have given."""
        if self.final_s is None and self._cause == _DENIED:
            return Grade.NOTHING
        stored_s = away.next_s(self.asked_s)
        if stored_s > self.gone_s and self.accepted_s is None:
            return Grade.NOTHING
        return self.grade(away.next_s(stored_s + self.work_s))

    def place_of_loss(self, end_s: float) -> tuple[Place, str]:
        """Return where most of the time went, and the cause if it waited."""
        if self.accepted_s is None:
            return Place.REFUSED, ''
        if self.final_s is None and self._cause:
            return Place.PLACING, self._cause
        steps = self.steps.values()
        open_s = end_s if self.final_s is None else self.final_s
        ended_s = open_s if self.ended_s is None else self.ended_s
        longest_s = sum(max(step.done_s, default=0.0) for step in steps)
        times_s = {
            Place.TAKING_IN: self.accepted_s - self.asked_s,
            Place.PLACING: sum(step.waited_s for step in steps),
            Place.AGAIN: sum(step.lost_s for step in steps),
            Place.RUNNING: max(0.0, longest_s - self.work_s),
            Place.SHOWING: open_s - ended_s,
        }
        place = max(times_s, key=lambda name: times_s[name])
        if place is not Place.PLACING:
            return place, ''
        causes = self.causes_s.most_common(1)
        return place, causes[0][0] if causes else _UNTOLD


class _Reader:
    """Follows all jobs through lines in the order of time."""

    def __init__(self) -> None:
        self.jobs: dict[str, _Job] = {}
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
            job = self.jobs[job_id] = _Job(line.time_s)
        self._apply(job, line)

    def _apply(self, job: _Job, line: _course.Line) -> None:
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
        if job.got is Grade.IN_TIME or _is_open(job, end_s):
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


def _worth(grade: Grade) -> float:
    return {Grade.IN_TIME: 1.0, Grade.LATE: _LATE_WORTH}.get(grade, 0.0)


def _is_open(job: _Job, end_s: float) -> bool:
    """Return whether a job may still come in time after the last line."""
    if job.final_s is not None or job.objective_s is None:
        return False
    return job.asked_s + job.objective_s > end_s


def _number(text: str | None) -> float:
    try:
        return float(text or 0.0)
    except ValueError:
        return 0.0
