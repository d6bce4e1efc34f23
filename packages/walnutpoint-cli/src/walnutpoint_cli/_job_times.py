"""Where the time of one job went, by its log lines."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import statistics
import typing

from walnutpoint_cli import _availability
from walnutpoint_cli import _course

__all__ = (
    'Grade',
    'JobTimes',
    'Place',
)

# A job that is shown within this many times its objective still counts.
_LATE_FACTOR: typing.Final = 3.0
# A run that takes longer than this many times what is usual in its step is not
# taken for the job's own work: a slow worker's, or one that was listed late.
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


class JobTimes:
    """What the lines of one job say."""

    __slots__ = (
        '_allowance_s',
        '_first_s',
        '_placed_s',
        '_stretch',
        '_waiting',
        'accepted_s',
        'asked_s',
        'causes_s',
        'chain_s',
        'ended_s',
        'final_s',
        'gone_s',
        'is_cancelled',
        'queue',
        'state',
        'steps',
    )

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
        self.asked_s = min(self.asked_s, line.time_s - line.number('held_s'))
        left_s = line.number('left_s')
        self.gone_s = max(self.gone_s, line.time_s + left_s)
        self.chain_s = line.number('chain_s')
        if fields.get('stretch', '-') != '-':
            self._stretch = line.number('stretch')
            self._allowance_s = line.number('allowance_s')
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
            waited_s = line.number('waited_s')
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
    def least_s(self) -> float:
        """Return the least time that the job takes on workers of its own.

        Its declared chain, or the shortest runs of its longest step where
        they were shorter: which steps follow one another is not told, and a
        bound that is too low calls nothing out of reach that was not.
        """
        done = [step.done_s for step in self.steps.values() if step.done_s]
        if not done:
            return self.chain_s
        longest_s = max(min(times_s) for times_s in done)
        return min(self.chain_s, longest_s)

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
        return self.grade(away.next_s(stored_s + self.least_s))

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
