"""The times of one job, collected from its log lines."""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
import statistics
import typing

from walnutpoint_cli import _availability
from walnutpoint_cli import _timeline

__all__ = (
    'Grade',
    'JobTimes',
    'Place',
)

# A job that ends within this many times its objective counts as late.
_LATE_FACTOR: typing.Final = 3.0
# Runs beyond this many times the median of their step do not count as work of
# the job: their worker was slow, or their end was listed late.
_STRAGGLER_FACTOR: typing.Final = 2.0
# Limits a job's work to this many times its declared time. On four days it
# gave 422, 394, 1425 and 1132 jobs in time; callers counted 435, 385, 1401
# and 1138.
_WORK_FACTOR_MAX: typing.Final = 4.0
_SERVED: typing.Final = frozenset({'done', 'failed'})
_UNKNOWN_CAUSE: typing.Final = 'scheduler'
# The cause of a step that no worker may run.
_DENIED: typing.Final = 'denied'
# The wait of a first attempt begins when its step becomes ready.
_FIRST_ATTEMPT_SUFFIX: typing.Final = '#1'


class Grade(enum.IntEnum):
    """The service that a caller got; higher is better."""

    NOTHING = 0
    LATE = 1
    IN_TIME = 2


class Place(enum.Enum):
    """The phase that took most of the time of a late job."""

    REFUSED = 'not taken in'
    INTAKE = 'stored late'
    PLACING = 'placed late'
    RERUN = 'run again'
    RUNNING = 'ran longer'
    REPORTING = 'shown late'


@dataclasses.dataclass(slots=True)
class _Step:
    """The times of one step's runs."""

    waited_s: float = 0.0
    lost_s: float = 0.0
    # Durations of the runs that ended as done.
    done_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def longest_run_s(self) -> float:
        """Return the longest run, limited against stragglers."""
        if not self.done_s:
            return 0.0
        median_s = statistics.median(self.done_s)
        return min(max(self.done_s), _STRAGGLER_FACTOR * median_s)


class JobTimes:
    """Collects the times of one job from its lines."""

    __slots__ = (
        '_allowance_s',
        '_first_placed_s',
        '_placed_s',
        '_stretch',
        '_waits',
        'accepted_s',
        'asked_s',
        'caller_waits_until_s',
        'causes_s',
        'chain_s',
        'ended_s',
        'final_s',
        'is_cancelled',
        'queue',
        'state',
        'steps',
    )

    def __init__(self, asked_s: float) -> None:
        self.asked_s = asked_s
        self.queue = ''
        self.chain_s = 0.0
        # The objective is the chain times stretch plus allowance, if known.
        self._stretch: float | None = None
        self._allowance_s = 0.0
        # Time until which its caller waits, as far as known.
        self.caller_waits_until_s = asked_s
        self.accepted_s: float | None = None
        self.final_s: float | None = None
        self.ended_s: float | None = None
        self.state = ''
        self.is_cancelled = False
        self.steps: dict[str, _Step] = collections.defaultdict(_Step)
        self.causes_s: collections.Counter[str] = collections.Counter()
        self._waits: dict[str, tuple[float, str]] = {}
        self._placed_s: dict[str, float] = {}
        self._first_placed_s = math.inf

    def add_answer(self, line: _timeline.LogLine) -> None:
        """Record an answer to the caller."""
        fields = line.fields
        self.queue = fields.get('queue', '')
        self.asked_s = min(self.asked_s, line.time_s - line.number('held_s'))
        left_s = line.number('left_s')
        self.caller_waits_until_s = max(
            self.caller_waits_until_s, line.time_s + left_s
        )
        self.chain_s = line.number('chain_s')
        if fields.get('stretch', '-') != '-':
            self._stretch = line.number('stretch')
            self._allowance_s = line.number('allowance_s')
        if line.event != 'job.refused' and self.accepted_s is None:
            self.accepted_s = line.time_s

    def add_wait(self, line: _timeline.LogLine) -> None:
        """Record the start and cause of a wait."""
        step = line.fields.get('step', '')
        self._end_wait(step, line.time_s)
        cause = line.fields.get('cause', _UNKNOWN_CAUSE)
        self._waits[step] = (line.time_s, cause)

    def add_placement(self, line: _timeline.LogLine) -> None:
        """Record the placement of a run."""
        run = line.fields.get('run', '')
        step = run.rpartition('.')[0]
        self._end_wait(step, line.time_s)
        self._placed_s[run] = line.time_s
        self._first_placed_s = min(self._first_placed_s, line.time_s)
        if run.endswith(_FIRST_ATTEMPT_SUFFIX):
            row = self.steps[step]
            waited_s = line.number('waited_s')
            row.waited_s = max(row.waited_s, waited_s)

    def add_run_end(self, line: _timeline.LogLine) -> None:
        """Record the end or withdrawal of a run."""
        run = line.fields.get('run', '')
        started_s = self._placed_s.pop(run, None)
        if started_s is None:
            return
        self.ended_s = line.time_s
        row = self.steps[run.rpartition('.')[0]]
        run_s = line.time_s - started_s
        if line.fields.get('how') == 'done':
            row.done_s.append(run_s)
        else:
            row.lost_s = max(row.lost_s, run_s)

    @property
    def _current_cause(self) -> str:
        """Return the cause of a current wait, or an empty text."""
        return next((cause for _, cause in self._waits.values()), '')

    def _end_wait(self, step: str, now_s: float) -> None:
        waiting = self._waits.pop(step, None)
        if waiting is not None:
            self.causes_s[waiting[1]] += now_s - waiting[0]

    @property
    def work_s(self) -> float:
        """Return the time of the longest chain, declared or by its runs."""
        run_s = sum(step.longest_run_s for step in self.steps.values())
        if self.ended_s is not None:
            # Steps that ran in parallel do not add up.
            run_s = min(run_s, self.ended_s - self._first_placed_s)
        # Ends are listed late during an outage.
        return max(self.chain_s, min(run_s, self.chain_s * _WORK_FACTOR_MAX))

    @property
    def work_min_s(self) -> float:
        """Return a lower bound of the job's time on idle workers.

        This is its declared chain or, if shorter, the shortest run of its
        longest step. The order of steps is not logged; a bound that is too
        low never reports an avoidable loss as unavoidable.
        """
        done = [step.done_s for step in self.steps.values() if step.done_s]
        if not done:
            return self.chain_s
        longest_s = max(min(times_s) for times_s in done)
        return min(self.chain_s, longest_s)

    @property
    def objective_s(self) -> float | None:
        """Return the target duration, or None."""
        if self._stretch is None:
            return None
        return self.work_s * self._stretch + self._allowance_s

    def grade(self, final_s: float | None) -> Grade:
        """Return the grade of a job that ends at a time."""
        if final_s is None or self.objective_s is None:
            return Grade.NOTHING
        elapsed_s = final_s - self.asked_s
        if elapsed_s <= self.objective_s:
            return Grade.IN_TIME
        if elapsed_s <= self.objective_s * _LATE_FACTOR:
            return Grade.LATE
        return Grade.NOTHING

    @property
    def got(self) -> Grade:
        """Return the grade of the job."""
        return self.grade(self.final_s if self.state in _SERVED else None)

    def best_possible(self, outages: _availability.Outages) -> Grade:
        """Return the best grade that any scheduler could have achieved."""
        if self.final_s is None and self._current_cause == _DENIED:
            return Grade.NOTHING
        stored_s = outages.next_available_s(self.asked_s)
        if stored_s > self.caller_waits_until_s and self.accepted_s is None:
            return Grade.NOTHING
        return self.grade(outages.next_available_s(stored_s + self.work_min_s))

    def place_of_loss(self, end_s: float) -> tuple[Place, str]:
        """Return the phase with the longest time, and the cause of a wait."""
        if self.accepted_s is None:
            return Place.REFUSED, ''
        if self.final_s is None and self._current_cause:
            return Place.PLACING, self._current_cause
        steps = self.steps.values()
        final_or_end_s = end_s if self.final_s is None else self.final_s
        ended_s = final_or_end_s if self.ended_s is None else self.ended_s
        longest_s = sum(max(step.done_s, default=0.0) for step in steps)
        times_s = {
            Place.INTAKE: self.accepted_s - self.asked_s,
            Place.PLACING: sum(step.waited_s for step in steps),
            Place.RERUN: sum(step.lost_s for step in steps),
            Place.RUNNING: max(0.0, longest_s - self.work_s),
            Place.REPORTING: final_or_end_s - ended_s,
        }
        place = max(times_s, key=lambda name: times_s[name])
        if place is not Place.PLACING:
            return place, ''
        causes = self.causes_s.most_common(1)
        return place, causes[0][0] if causes else _UNKNOWN_CAUSE
